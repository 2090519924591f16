/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/iwaitqueue.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// Compares the orders of the wait queue in a seeded simulation in virtual time: requests arrive at the slots of one
/// owner, and the score is the number of responses within the deadline as a fraction of what the slots can serve.
namespace saltvane::steering {
namespace {

constexpr int Slots = 36;
constexpr Duration MeanServiceTime = 20ms;
constexpr Duration SimulatedTime = 120s;
/// Fraction of the mean by which service times vary either way.
constexpr double ServiceTimeSpread = 0.5;

struct Scenario {
    const char* name;
    double factor; ///< Offered load, as a multiple of what the slots can serve.
    std::vector<Duration> deadlines; ///< Times to the deadline; each request gets one of them at random.
    size_t capacity;
    double expectedServiceFactor = 1; ///< Service time that the queue expects, as a multiple of the mean.
};

struct Score {
    double goodput = 0; ///< Responses in time, as a fraction of the responses that the slots could give.
    double wasted = 0; ///< Fraction of the served requests that were too late.
    Duration medianWait {};
};

class Simulation {
public:
    Simulation(QueueOrder order, const Scenario& scenario, uint64_t seed)
        : scenario_(scenario)
        , queue_(makeWaitQueue(order, scenario.capacity))
        , random_(seed)
    {
    }

    Score run()
    {
        const double rate = scenario_.factor * Slots / toSeconds(MeanServiceTime);
        std::exponential_distribution<double> interarrivalTime(rate);
        Timestamp now {};
        while (now < Timestamp {SimulatedTime}) {
            now += fromSeconds(interarrivalTime(random_));
            finishUntil(now);
            arrive(now);
        }
        return score();
    }

private:
    void arrive(Timestamp now)
    {
        const auto timeToDeadline = scenario_.deadlines[random_() % scenario_.deadlines.size()];
        const auto waiter = next_++;
        arrivals_.emplace(waiter, WaitingRequest {.since = now, .deadline = now + timeToDeadline});
        if (busy_.size() < Slots && queue_->size() == 0) {
            serve(waiter, now);
            return;
        }
        if (!queue_->push(waiter, now + timeToDeadline, now))
            arrivals_.erase(waiter);
    }

    void finishUntil(Timestamp now)
    {
        while (!busy_.empty() && busy_.top() <= now) {
            const auto freed = busy_.top();
            busy_.pop();
            if (const auto waiter
                = queue_->pop(fromSeconds(toSeconds(MeanServiceTime) * scenario_.expectedServiceFactor), freed))
                serve(*waiter, freed);
        }
    }

    void serve(WaiterId waiter, Timestamp now)
    {
        std::uniform_real_distribution<double> spread(1 - ServiceTimeSpread, 1 + ServiceTimeSpread);
        const auto end = now + fromSeconds(toSeconds(MeanServiceTime) * spread(random_));
        busy_.push(end);
        const auto& waiting = arrivals_.at(waiter);
        (end <= waiting.deadline ? inTime_ : late_) += 1;
        waits_.push_back(now - waiting.since);
        arrivals_.erase(waiter);
    }

    Score score()
    {
        const double possible = Slots * toSeconds(SimulatedTime) / toSeconds(MeanServiceTime);
        const auto middle = waits_.begin() + static_cast<std::ptrdiff_t>(waits_.size() / 2);
        std::nth_element(waits_.begin(), middle, waits_.end());
        return {.goodput = inTime_ / possible, .wasted = late_ / (inTime_ + late_), .medianWait = *middle};
    }

    struct WaitingRequest {
        Timestamp since;
        Timestamp deadline;
    };

    const Scenario& scenario_;
    std::unique_ptr<IWaitQueue> queue_;
    std::mt19937_64 random_;
    std::priority_queue<Timestamp, std::vector<Timestamp>, std::greater<>> busy_;
    std::map<WaiterId, WaitingRequest> arrivals_;
    std::vector<Duration> waits_;
    WaiterId next_ = 1;
    double inTime_ = 0;
    double late_ = 0;
};

void compare(const Scenario& scenario)
{
    const std::map<std::string, QueueOrder> orders {{"fifo", QueueOrder::Fifo},
        {"lifo_under_overload", QueueOrder::LifoUnderOverload}, {"earliest_deadline", QueueOrder::EarliestDeadline}};
    for (const auto& [name, order] : orders) {
        const auto score = Simulation(order, scenario, 1).run();
        std::printf("%s %s goodput=%.4f wasted=%.4f median_wait_ms=%.1f\n", scenario.name, name.c_str(), score.goodput,
            score.wasted, toSeconds(score.medianWait) * 1000);
    }
}

} // namespace
} // namespace saltvane::steering

int main()
{
    using namespace saltvane::steering;
    using namespace std::chrono_literals;
    compare({.name = "load_0.9", .factor = 0.9, .deadlines = {2s}, .capacity = 256});
    compare({.name = "load_2.0_one_deadline", .factor = 2, .deadlines = {500ms}, .capacity = 4096});
    compare({.name = "load_2.0_mixed_deadlines", .factor = 2, .deadlines = {100ms, 500ms, 2s}, .capacity = 4096});
    compare({.name = "load_2.0_mixed_deadlines_longest_service_expected",
        .factor = 2,
        .deadlines = {100ms, 500ms, 2s},
        .capacity = 4096,
        .expectedServiceFactor = 1.5});
    compare({.name = "load_2.0_short_queue", .factor = 2, .deadlines = {100ms, 500ms, 2s}, .capacity = 72});
    compare({.name = "load_1.1_mixed_deadlines", .factor = 1.1, .deadlines = {100ms, 500ms, 2s}, .capacity = 4096});
}
