/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/inetadapters.h"
#include "standin/targetlist.h"

#include <boost/random/mersenne_twister.hpp>
#include <ev.h>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace saltvane::standin {

/// Counters of a stand-in target; measurement programs read and check them.
struct TargetCounts {
    uint64_t runs = 0;
    uint64_t answered = 0;
    uint64_t shed = 0;
    uint64_t cancelled = 0;
    uint64_t overfills = 0; ///< Requests that arrived while all slots were busy.
    uint64_t doubleRuns = 0; ///< Requests other than GET whose idempotency key had run before.
    uint32_t maxInFlight = 0;
};

/// Idempotency keys that any target of the process has run: a request must run on one target only.
class ExecutedKeys {
public:
    /// Returns false if the key ran before.
    bool insert(const std::string& key) { return keys_.insert(key).second; }

private:
    std::set<std::string> keys_;
};

/// A target that follows docs/TARGETS.md: slots, cold start, load shedding, leaving.
class StandInTarget {
public:
    struct Options {
        struct ev_loop* loop = nullptr;
        TargetSpec spec;
        ExecutedKeys* executedKeys = nullptr;
        uint32_t coldResponses = 0; ///< Number of initial responses that are slower, by a factor that falls to 1.
        double coldFactor = 8; ///< Slowdown of the first response.
        uint64_t seed = 1;
    };
    static Result<std::unique_ptr<StandInTarget>, IoError> start(Options options);
    ~StandInTarget();
    StandInTarget(const StandInTarget&) = delete;
    StandInTarget& operator=(const StandInTarget&) = delete;

    [[nodiscard]] const TargetSpec& spec() const { return options_.spec; }
    [[nodiscard]] const TargetCounts& counts() const { return counts_; }
    [[nodiscard]] bool isLeaving() const { return isLeaving_; }
    [[nodiscard]] uint32_t busySlots() const { return inFlight_; }
    void leave() { isLeaving_ = true; }

private:
    struct Exchange;

    explicit StandInTarget(Options options);
    void handle(const host::Event& event);
    void begin(const requests::HttpRequestStarted& started);
    void serve(Exchange& exchange);
    void respond(Exchange& exchange);
    void sendMore(Exchange& exchange);
    void finish(requests::HttpHandle handle, bool isSuccessful);
    void respondToControl(const requests::HttpRequestStarted& started);
    [[nodiscard]] double serviceSeconds();
    static void onTimer(struct ev_loop* loop, ev_timer* timer, int events);

    Options options_;
    boost::random::mt19937_64 random_;
    std::unique_ptr<net::IHttpServer> server_;
    model::Counters counters_;
    std::map<requests::HttpHandle, std::unique_ptr<Exchange>> exchanges_;
    TargetCounts counts_;
    uint32_t inFlight_ = 0;
    bool isLeaving_ = false;
};

} // namespace saltvane::standin
