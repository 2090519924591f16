/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <ev.h>
#include <functional>
#include <utility>

namespace saltvane::net {

/// Watches one file descriptor for readiness. Must be stopped before the descriptor is closed.
class IoWatcher {
public:
    IoWatcher(struct ev_loop* loop, std::function<void(int)> onReady)
        : loop_(loop)
        , onReady_(std::move(onReady))
    {
        ev_io_init(&watcher_, &IoWatcher::run, -1, 0);
        watcher_.data = this;
    }
    ~IoWatcher() { stop(); }
    IoWatcher(const IoWatcher&) = delete;
    IoWatcher& operator=(const IoWatcher&) = delete;

    /// Watches `fd` for `events` (EV_READ, EV_WRITE); 0 stops.
    void watch(int fd, int events)
    {
        if (ev_is_active(&watcher_) && fd == fd_ && events == events_)
            return;
        stop();
        fd_ = fd;
        events_ = events;
        if (events == 0)
            return;
        ev_io_set(&watcher_, fd, events);
        ev_io_start(loop_, &watcher_);
    }
    void stop() { ev_io_stop(loop_, &watcher_); }

private:
    static void run(struct ev_loop* /*loop*/, ev_io* watcher, int events)
    {
        static_cast<IoWatcher*>(watcher->data)->onReady_(events);
    }

    struct ev_loop* loop_;
    std::function<void(int)> onReady_;
    ev_io watcher_ {};
    int fd_ = -1;
    int events_ = 0;
};

} // namespace saltvane::net
