/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "endingtargets.h"

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace saltvane::fleet::test {

/// Callers that do no harm.
struct CallerOptions {
    double perSecond = 60; ///< Requests of all of them.
    bool haveObjects = false; ///< Each path is an object.
};

/// A fleet with targets that end under some requests, callers whose requests do no harm, and callers that send the
/// harmful ones again and again, at any gateway.
class FatalFleet {
public:
    explicit FatalFleet(unsigned int seed, const EndingTargets::Options& targets = {}, const FleetOptions& fleet = {},
        const CallerOptions& callers = {});

    [[nodiscard]] Fleet& fleet() { return fleet_; }
    [[nodiscard]] EndingTargets& targets() { return *targets_; }
    [[nodiscard]] Timestamp now() { return fleet_.registries().now(); }

    /// A caller that sends its request each `period`, and once more where it failed.
    void addFatalCaller(const std::string& path, Duration period = 250ms);
    void removeFatalCallers() { fatalCallers_.clear(); }
    void run(Duration duration);
    void restartGateway(size_t gateway);

    struct Request {
        std::string path;
        std::string account;
        std::string body;
        std::string object;
        bool isAtMostOnce = false;
    };
    /// One request at one gateway; the number by which `outcomeOf` knows it.
    uint64_t ask(size_t gateway, const Request& request);
    struct Outcome {
        int status = 0; ///< 0: none yet.
        std::string reason;
        double retryAfter = 0; ///< Seconds; 0: not told.
    };
    [[nodiscard]] Outcome outcomeOf(uint64_t number) const;

    struct Tally {
        size_t asked = 0; ///< By callers that do no harm, as far as they ended.
        size_t served = 0;
        size_t quarantined = 0; ///< Tries refused for what they are, not for want of room.
    };
    [[nodiscard]] const Tally& tally() const { return tally_; }
    void clearTally() { tally_ = {}; }

    /// Runs of this request that began so long after the end of its third run at the earliest.
    [[nodiscard]] size_t runsAfterThird(const std::string& path) const;
    [[nodiscard]] size_t runsOf(const std::string& path) const;

    /// A gateway is held to the bound once it has been free of faults for so long.
    static constexpr Duration ContactTime = 3s;

private:
    struct FatalCaller {
        std::string path;
        Duration period {};
        Timestamp nextAt;
    };
    struct Try {
        size_t gateway = 0;
        Request request;
        bool isHarmless = false;
        bool isSecond = false;
        Outcome outcome;
    };
    struct Return {
        Timestamp at;
        uint64_t number = 0;
    };

    void step();
    void sendHarmless();
    uint64_t send(size_t gateway, const Request& request, bool isHarmless, bool isSecond);
    void take(size_t gateway, const requests::Action& action);
    void noteOutcome(uint64_t number);
    [[nodiscard]] size_t drawGateway();

    Fleet fleet_;
    CallerOptions callers_;
    std::mt19937 random_;
    std::unique_ptr<EndingTargets> targets_;
    std::vector<FatalCaller> fatalCallers_;
    std::map<uint64_t, Try> tries_;
    std::vector<Return> returns_;
    Tally tally_;
    uint64_t lastNumber_ = 0;
    uint64_t harmless_ = 0;
    double harmlessDue_ = 0;
    bool isCalling_ = false;
};

} // namespace saltvane::fleet::test
