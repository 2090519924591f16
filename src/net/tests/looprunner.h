/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/hosttypes.h"

#include <chrono>
#include <ev.h>
#include <functional>
#include <vector>

namespace saltvane::net::tests {

/// Runs an event loop until a condition holds, for 10 s at most.
class LoopRunner {
public:
    LoopRunner()
        : loop_(ev_loop_new(EVFLAG_AUTO))
    {
        ev_timer_init(
            &ticker_, [](struct ev_loop*, ev_timer* timer, int) { ++*static_cast<int*>(timer->data); }, Tick, Tick);
        ticker_.data = &ticks_;
        ev_timer_start(loop_, &ticker_);
    }
    ~LoopRunner()
    {
        ev_timer_stop(loop_, &ticker_);
        ev_loop_destroy(loop_);
    }
    LoopRunner(const LoopRunner&) = delete;
    LoopRunner& operator=(const LoopRunner&) = delete;

    [[nodiscard]] struct ev_loop* loop() const { return loop_; }

    [[nodiscard]] bool runUntil(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            ev_run(loop_, EVRUN_ONCE);
        }
        return true;
    }
    /// Runs some loop iterations, to check that something does not happen.
    void runTurns(int turns)
    {
        for (int i = 0; i < turns; ++i)
            ev_run(loop_, EVRUN_ONCE);
    }

    /// Loop iterations per tick of the loop's timer while nothing else should happen: about 1, or far more if something
    /// keeps the loop busy.
    [[nodiscard]] double turnsPerTick()
    {
        constexpr int Ticks = 20;
        const int end = ticks_ + Ticks;
        int turns = 0;
        for (; ticks_ < end; ++turns)
            ev_run(loop_, EVRUN_ONCE);
        return static_cast<double>(turns) / Ticks;
    }

private:
    static constexpr double Tick = 0.002;
    struct ev_loop* loop_;
    int ticks_ = 0;
    ev_timer ticker_ {};
};

/// Records all events of a sink and finds those of one type.
struct EventLog {
    std::vector<host::Event> events;

    template <typename Group, typename T> [[nodiscard]] std::vector<T> all() const
    {
        std::vector<T> found;
        for (const host::Event& event : events) {
            const auto* group = std::get_if<Group>(&event);
            if (group != nullptr && std::holds_alternative<T>(*group))
                found.push_back(std::get<T>(*group));
        }
        return found;
    }
    template <typename T> [[nodiscard]] std::vector<T> http() const { return all<requests::HttpEvent, T>(); }
    template <typename T> [[nodiscard]] std::vector<T> target() const { return all<requests::TargetEvent, T>(); }
    template <typename T> [[nodiscard]] std::vector<T> plain() const
    {
        std::vector<T> found;
        for (const host::Event& event : events) {
            if (const auto* item = std::get_if<T>(&event))
                found.push_back(*item);
        }
        return found;
    }
};

} // namespace saltvane::net::tests
