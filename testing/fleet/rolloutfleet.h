/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "fleet.h"

#include <random>
#include <set>
#include <vector>

namespace saltvane::fleet::test {

/// How the new version of a rollout behaves.
struct NewVersion {
    double failedFraction = 0; ///< Of its answers.
    double slowdown = 1; ///< Multiple of the usual processing time.
    Duration badAfter {}; ///< From the order until it behaves so.
    uint32_t badFromLoad = 0; ///< It behaves so only with at least as many requests at the target.
    bool isOnOneRouteOnly = false;
    [[nodiscard]] bool isBad() const { return failedFraction > 0 || slowdown > 1; }
};

struct RolloutFleetOptions {
    FleetOptions fleet {.registries = 6, .gateways = 8};
    NewVersion newVersion;
    size_t targets = 24; ///< Of each version.
    uint32_t slots = 4;
    double requestsPerSecond = 240;
    Duration timeLimit = 15s;
    Duration targetsLead {}; ///< How long before the order the targets of the new version start.
};

/// A fleet with a service whose targets of another version are started beside the present ones, callers with objects at
/// random gateways, and a rollout. Once it is completed the former targets are stopped without notice.
class RolloutFleet {
public:
    RolloutFleet(unsigned int seed, const RolloutFleetOptions& options);

    /// Starts the new version's targets and orders the rollout; false if the order was not acknowledged.
    [[nodiscard]] bool start();
    void run(Duration duration) { fleet_.run(duration); }
    [[nodiscard]] Fleet& fleet() { return fleet_; }
    [[nodiscard]] Timestamp now() { return fleet_.registries().now(); }
    /// The state that a control host tells; empty if none does.
    [[nodiscard]] std::string state();
    [[nodiscard]] bool isEnded() const { return !endState_.empty(); }

    struct Figures {
        size_t requests = 0; ///< That reached a target of the service between the order and its time limit.
        size_t toNewVersion = 0;
        size_t badAnswers = 0; ///< Of the new version.
        Duration latestAfterBad {}; ///< Latest request to the new version after its 50th bad answer.
        Duration endedAfter {}; ///< From the order until its state was told as ended.
        size_t lostAtStop = 0; ///< Requests at former targets when they were stopped.
        std::string endState;
    };
    [[nodiscard]] Figures figures() const;

    static constexpr size_t BadAnswersToRollBack = 50;

private:
    struct Target {
        std::string id;
        bool isNew = false;
        bool isRunning = false;
        size_t inFlight = 0;
        uint64_t sequence = 0;
        std::set<std::string> warmObjects;
    };
    struct Run {
        Timestamp endsAt;
        size_t gateway = 0;
        size_t target = 0;
        requests::DispatchId dispatch;
        std::string id;
        int status = 200;
    };

    void step();
    void report();
    void sendRequests();
    void finishRuns();
    void pollState();
    void stopFormerTargets();
    void accept(size_t gateway, const requests::TargetStart& start);
    void recordArrival(const Target& target);
    [[nodiscard]] bool behavesBadly(const Target& target, const requests::TargetStart& start);

    RolloutFleetOptions options_;
    Fleet fleet_;
    std::mt19937 random_;
    std::vector<Target> targets_;
    std::vector<Run> runs_;
    std::optional<Timestamp> orderedAt_;
    std::optional<Timestamp> manyBadAt_; ///< Time of the new version's 50th bad answer.
    Figures figures_;
    std::string endState_;
    double pendingRequests_ = 0;
    uint64_t lastRequest_ = 0;
    bool areCallersActive_ = false;
    Timestamp nextReportAt_ {};
    Timestamp nextPollAt_ {};
};

} // namespace saltvane::fleet::test
