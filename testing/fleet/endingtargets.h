/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "fleet.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace saltvane::fleet::test {

/// The targets of a fleet: they run requests on a few slots, and a request whose path is marked as fatal ends each of
/// them that runs it, with all else that it runs. They are back after some seconds, with a new id.
class EndingTargets {
public:
    struct Options {
        size_t count = 18;
        uint32_t slots = 3;
        uint32_t queue = 9; ///< Requests that wait for a slot; more are shed.
        Duration downFor = 2500ms;
        Duration workLeast = 40ms;
        Duration workMost = 250ms;
        /// Connections of a target that ended neither close nor are refused.
        bool isSilent = false;
        /// Targets keep their id, and tell the time of their start.
        bool keepsId = false;
    };
    EndingTargets(Fleet& fleet, const Options& options, unsigned int seed);

    /// A request with it in its path is fatal.
    static constexpr std::string_view FatalMark = "fatal";

    /// What a gateway does to a target; false: it is about something else.
    bool take(size_t gateway, const requests::Action& action);
    void step();
    /// A gateway is gone with all that it had in flight.
    void forgetGateway(size_t gateway);

    [[nodiscard]] size_t size() const { return targets_.size(); }
    [[nodiscard]] bool isUp(size_t target) const { return targets_.at(target).isUp; }
    /// It ends for another reason.
    void end(size_t target);
    /// From now on no request ends a target.
    void setHarmless(bool isHarmless) { isHarmless_ = isHarmless; }

    /// What a target's answers say of how much it takes, at its address over all of its starts.
    struct Needs {
        std::optional<double> limit; ///< Requests a second of all gateways together.
        std::optional<Duration> rest; ///< Every request is turned away, and nothing wanted for so long.
        bool isLeaving = false;
    };
    void setNeeds(size_t target, const Needs& needs);
    [[nodiscard]] const Needs& needsOf(size_t target) const { return targets_.at(target).needs; }

    /// A request that reaches a target, or its answer as it reaches the gateway.
    struct Contact {
        size_t target = 0;
        std::string start; ///< Id of the target's start.
        size_t gateway = 0;
        bool isProbe = false;
    };
    std::vector<std::function<void(const Contact&)>> onArrival;
    /// `needs`: as the answer told them.
    std::vector<std::function<void(const Contact&, const Needs& needs)>> onAnswered;

    /// A run of a fatal request.
    struct FatalRun {
        std::string path; ///< With the account, where it has one.
        Timestamp beganAt;
        size_t gateway = 0;
    };
    [[nodiscard]] const std::vector<FatalRun>& fatalRuns() const { return fatalRuns_; }

private:
    struct Run {
        size_t gateway = 0;
        requests::DispatchId dispatch;
        std::string id; ///< Of the caller's try.
        bool isFatal = false;
        bool isProbe = false;
        Timestamp endsAt; ///< Once it began.
        bool hasBegun = false;
        std::string path;
    };
    struct Target {
        model::Address address;
        std::string zone;
        std::string id;
        uint64_t start = 0;
        uint64_t sequence = 0;
        Needs needs;
        bool isUp = false;
        Timestamp upAt; ///< While it is down.
        Timestamp nextReportAt;
        std::vector<Run> runs;
    };
    struct Late {
        Timestamp at;
        size_t gateway = 0;
        requests::TargetEvent event;
        std::optional<std::pair<Contact, Needs>> answer; ///< Of a head: what it tells.
    };

    void accept(size_t gateway, const requests::TargetStart& start);
    void beginRuns(Target& target);
    void endRuns(Target& target);
    void start(Target& target);
    void end(Target& target);
    void report(Target& target);
    void tell(size_t gateway, requests::TargetEvent event, Duration after = 10ms);
    void answer(const Target& target, const Run& run, int status, bool isNotRun);
    [[nodiscard]] Contact contactOf(const Target& target, const Run& run) const;
    [[nodiscard]] Timestamp now() const { return fleet_.registries().now(); }

    Fleet& fleet_;
    Options options_;
    std::mt19937 random_;
    std::vector<Target> targets_;
    std::vector<Late> late_;
    std::vector<FatalRun> fatalRuns_;
    uint64_t starts_ = 0;
    bool isHarmless_ = false;
};

} // namespace saltvane::fleet::test
