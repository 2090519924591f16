/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

#include <ev.h>
#include <functional>
#include <utility>

namespace saltvane::net {

/// A timer of the event loop.
class TimerWatcher {
public:
    TimerWatcher(struct ev_loop* loop, std::function<void()> onTime)
        : loop_(loop)
        , onTime_(std::move(onTime))
    {
        ev_timer_init(&watcher_, &TimerWatcher::run, 0, 0);
        watcher_.data = this;
    }
    ~TimerWatcher() { stop(); }
    TimerWatcher(const TimerWatcher&) = delete;
    TimerWatcher& operator=(const TimerWatcher&) = delete;

    void startOnce(Duration after) { start(toSeconds(after), 0); }
    void startRepeating(Duration period) { start(toSeconds(period), toSeconds(period)); }
    void stop() { ev_timer_stop(loop_, &watcher_); }
    [[nodiscard]] bool isActive() const { return ev_is_active(&watcher_); }

private:
    void start(double after, double repeat)
    {
        stop();
        ev_timer_set(&watcher_, after, repeat);
        ev_timer_start(loop_, &watcher_);
    }
    static void run(struct ev_loop* /*loop*/, ev_timer* watcher, int /*events*/)
    {
        static_cast<TimerWatcher*>(watcher->data)->onTime_();
    }

    struct ev_loop* loop_;
    std::function<void()> onTime_;
    ev_timer watcher_ {};
};

} // namespace saltvane::net
