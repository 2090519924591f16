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

/// Order of deferred tasks within a loop iteration: after all I/O; links are flushed last.
enum class TaskOrder : int { AfterIo = -1, Last = EV_MINPRI };

/// A task that runs later in the same loop iteration, before the loop blocks. Scheduling it twice runs it once.
class LoopTask {
public:
    LoopTask(struct ev_loop* loop, TaskOrder order, std::function<void()> work)
        : loop_(loop)
        , work_(std::move(work))
    {
        ev_init(&watcher_, &LoopTask::run);
        ev_set_priority(&watcher_, static_cast<int>(order));
        watcher_.data = this;
    }
    ~LoopTask() { ev_clear_pending(loop_, &watcher_); }
    LoopTask(const LoopTask&) = delete;
    LoopTask& operator=(const LoopTask&) = delete;

    void schedule() { ev_feed_event(loop_, &watcher_, EV_CUSTOM); }

private:
    static void run(struct ev_loop* /*loop*/, ev_prepare* watcher, int /*events*/)
    {
        static_cast<LoopTask*>(watcher->data)->work_();
    }

    struct ev_loop* loop_;
    std::function<void()> work_;
    ev_prepare watcher_ {};
};

} // namespace saltvane::net
