/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "crashingtargets.h"
#include "peernetwork.h"

#include <memory>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace saltvane::fleet::test {

/// Callers whose requests are harmless.
struct CallerOptions {
    double requestsPerSecond = 60; ///< Requests per second of all callers together.
    bool haveObjects = false; ///< Each request names an object, one per path.
};

/// A fleet with targets that crash on fatal requests, callers that send harmless requests, and callers that send fatal
/// requests repeatedly, all at random gateways.
class TrafficFleet {
public:
    explicit TrafficFleet(unsigned int seed, const CrashingTargets::Options& targets = {},
        const FleetOptions& fleet = {}, const CallerOptions& callers = {});

    [[nodiscard]] Fleet& fleet() { return fleet_; }
    [[nodiscard]] CrashingTargets& targets() { return *targets_; }
    [[nodiscard]] const PeerNetwork& peers() const { return peers_; }
    [[nodiscard]] Timestamp now() { return fleet_.registries().now(); }

    /// Adds a caller that sends its request each `interval` and retries it once if it fails.
    void addFatalCaller(const std::string& path, Duration interval = 250ms);
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
    /// Sends a request to a gateway, without a retry. Returns its number for outcomeOf().
    uint64_t sendRequest(size_t gateway, const Request& request);
    struct Outcome {
        int status = 0; ///< 0 until there is a response.
        std::string reason;
        double retryAfter = 0; ///< Seconds; 0 if the response has no Retry-After.
    };
    [[nodiscard]] Outcome outcomeOf(uint64_t number) const;

    struct Tally {
        size_t requested = 0; ///< Completed requests of harmless callers.
        size_t served = 0;
        size_t quarantined = 0; ///< Attempts refused as quarantined requests.
    };
    [[nodiscard]] const Tally& tally() const { return tally_; }
    void clearTally();
    /// The fraction of the harmless callers' first attempts at these gateways that were served, of those sent since the
    /// tally was cleared and completed.
    [[nodiscard]] double firstAttemptsServed(std::span<const size_t> gateways) const;
    /// Attempts on routes that allow one run which were refused as not run although a target ran them.
    [[nodiscard]] size_t untrueRefusals() const;

    /// Responses of targets that callers got for another request, or with a status other than the target's, and
    /// successes that no target sent.
    [[nodiscard]] size_t misattributedResponses() const { return misattributed_; }

    /// Number of runs of this request that started later than ConvergenceTime after the start of its third run.
    [[nodiscard]] size_t runsAfterThird(const std::string& path) const;
    [[nodiscard]] size_t runsOf(const std::string& path) const;

    /// Time after a fault from which a gateway must keep to the bound again.
    static constexpr Duration ConvergenceTime = 3s;

private:
    struct FatalCaller {
        std::string path;
        Duration interval {};
        Timestamp nextAt;
    };
    struct Attempt {
        size_t gateway = 0;
        Request request;
        bool isHarmless = false;
        bool isLastAttempt = false; ///< Of a harmless caller: its second attempt.
        Outcome outcome;
    };
    struct FirstAttempts {
        size_t completed = 0;
        size_t served = 0;
    };
    struct Retry {
        Timestamp at;
        uint64_t number = 0;
    };

    void step();
    void sendHarmless();
    uint64_t send(size_t gateway, const Request& request, bool isHarmless, bool isLastAttempt);
    void handleAction(size_t gateway, const requests::Action& action);
    void onOutcome(uint64_t number);
    void recordAttempt(uint64_t number, const Attempt& attempt);
    [[nodiscard]] size_t randomGateway();

    Fleet fleet_;
    PeerNetwork peers_;
    CallerOptions callers_;
    std::mt19937 random_;
    std::unique_ptr<CrashingTargets> targets_;
    std::vector<FatalCaller> fatalCallers_;
    std::map<uint64_t, Attempt> attempts_;
    std::vector<Retry> retries_;
    Tally tally_;
    std::map<size_t, FirstAttempts> firstAttempts_; ///< By gateway.
    uint64_t talliedFrom_ = 0; ///< Number of the last attempt before the tally was cleared.
    std::set<std::string> refusedAtMostOnce_; ///< Request ids.
    size_t misattributed_ = 0;
    uint64_t lastNumber_ = 0;
    uint64_t harmlessSent_ = 0;
    double harmlessPending_ = 0;
    bool areCallersActive_ = false;
};

} // namespace saltvane::fleet::test
