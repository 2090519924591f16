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

/// The targets of a fleet. Each runs requests on a few slots. A request whose path contains FatalMark crashes the
/// target that runs it, with all other requests that run there. A target restarts after some seconds: with a new id, or
/// under its id, whether or not its reports state the start.
class CrashingTargets {
public:
    struct Options {
        size_t count = 18;
        uint32_t slots = 3;
        uint32_t queue = 9; ///< Number of requests that may wait for a slot; further ones are shed.
        Duration restartDelay = 2500ms;
        Duration minProcessingTime = 40ms;
        Duration maxProcessingTime = 250ms;
        /// Connections to a crashed target are neither closed nor refused; they time out.
        bool isUnresponsive = false;
        bool keepsId = false; ///< Targets retain their id across restarts.
        bool statesStart = true; ///< Targets that retain their id state their start in reports and calls.
        /// Each start reports to a registry host other than the one before it; false: all report to the leader.
        bool reportsToAnyRegistry = false;
        /// Requests per second that a target handles during its slow start, as stated in the plan; 0: none is slow.
        double slowStartPerSecond = 0;
        Duration slowStart {}; ///< After a restart.
    };
    CrashingTargets(Fleet& fleet, const Options& options, unsigned int seed);

    /// A request whose path contains this is fatal.
    static constexpr std::string_view FatalMark = "fatal";

    /// Handles an action of a gateway; returns false if the action does not concern a target.
    bool handleAction(size_t gateway, const requests::Action& action);
    void step();
    /// Drops everything that a stopped gateway had in flight.
    void dropGateway(size_t gateway);

    [[nodiscard]] size_t size() const { return targets_.size(); }
    [[nodiscard]] bool isUp(size_t target) const { return targets_.at(target).isUp; }
    /// Crashes a target for a reason other than a request.
    void crash(size_t target) { crash(target, options_.restartDelay); }
    /// It starts again after `restartDelay`. No effect while it is down.
    void crash(size_t target, Duration restartDelay);
    /// Nothing passes between the target and other hosts: its reports and responses are lost, and attempts to connect
    /// time out.
    void cutOff(size_t target, Duration duration);
    /// The target calls /leave, again each second until that is acknowledged. It goes on working until it crashes.
    void leave(size_t target);
    /// The target is in a slow start from now on, without a restart: work takes twice as long.
    void beginSlowStart(size_t target, Duration duration) { targets_.at(target).slowUntil = now() + duration; }
    [[nodiscard]] bool isSlowStarting(size_t target) const { return now() < targets_.at(target).slowUntil; }
    /// Reports that the target sends within `duration`, until it crashes, arrive `delay` later, each at a random
    /// registry host.
    void delayReports(size_t target, Duration delay, Duration duration);
    /// Number of reports that arrived after a report of a later start of their target.
    [[nodiscard]] size_t overtakenReports() const { return overtakenReports_; }
    [[nodiscard]] const std::string& zoneOf(size_t target) const { return targets_.at(target).zone; }
    /// While set, no request crashes a target.
    void setHarmless(bool isHarmless) { isHarmless_ = isHarmless; }

    /// How connections between one gateway and all targets fail during a partition.
    enum class Partition {
        None,
        Hang, ///< Nothing passes: attempts to connect time out, and open connections fall silent.
        Reset, ///< Open connections are reset and new ones are refused.
        RefuseNew ///< Open connections work; new ones are refused.
    };
    void setPartition(size_t gateway, Partition partition);
    /// The largest number of runs of any request that may run at most once.
    [[nodiscard]] size_t maxRunsOfAtMostOnce() const;
    /// Runs of the attempt with this request id on a route that allows one run.
    [[nodiscard]] size_t runsOfAtMostOnce(const std::string& request) const;

    /// What a target announces in its responses about the load that it accepts; stays the same across restarts.
    struct Signals {
        std::optional<double> limit; ///< Requests per second of all gateways together.
        std::optional<Duration> backoff; ///< The target rejects every request and requests this backoff.
        bool isLeaving = false;
    };
    void setSignals(size_t target, const Signals& signals);
    [[nodiscard]] const Signals& signalsOf(size_t target) const { return targets_.at(target).signals; }

    /// Second responses of targets. Each arrives in the place of the response to the gateway's next request, if that is
    /// sent within SurplusTime, while the target runs this request.
    struct Surplus {
        double rate = 0; ///< Fraction of the responses that are followed by a second one.
        double withoutId = 0; ///< Fraction of second responses, and of refusals, that carry no request id.
        double failed = 0; ///< Fraction of the runs that end with status 500.
    };
    void setSurplus(const Surplus& surplus) { surplus_ = surplus; }
    [[nodiscard]] size_t surplusSent() const { return surplusSent_; }
    static constexpr Duration SurplusTime = 600ms;
    /// Header of the response to a run: names the request and the status.
    static constexpr std::string_view DigestHeader = "Response-Digest";
    [[nodiscard]] static std::string digestOf(const std::string& request, int status)
    {
        return request + " " + std::to_string(status);
    }

    /// A request that reaches a target, or its response as it reaches the gateway.
    struct Exchange {
        size_t target = 0;
        std::string incarnation; ///< Id of the target's incarnation.
        size_t gateway = 0;
        bool isProbe = false;
        bool isMisdirected = false; ///< Intended for another incarnation.
    };
    std::vector<std::function<void(const Exchange&)>> onArrival;
    /// `needs`: as announced in the response.
    std::vector<std::function<void(const Exchange&, const Signals& signals)>> onResponse;

    /// An execution of a fatal request.
    struct FatalRun {
        std::string path; ///< Prefixed with the client account, if any.
        Timestamp startedAt;
        size_t gateway = 0;
    };
    [[nodiscard]] const std::vector<FatalRun>& fatalRuns() const { return fatalRuns_; }

private:
    struct Run {
        size_t gateway = 0;
        requests::DispatchId dispatch;
        std::string id; ///< Request id of the caller's attempt.
        bool isFatal = false;
        bool isProbe = false;
        bool isOnNewConnection = false;
        Timestamp completesAt; ///< Valid once the run has started.
        bool hasStarted = false;
        std::string path;
    };
    struct SurplusResponse {
        Timestamp lostAt; ///< The connection is closed if no request is sent on it until then.
        requests::TargetResponseHead head;
    };
    struct Target {
        model::Address address;
        std::string zone;
        std::string id;
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
        bool hasReported = false; ///< A report of this start arrived without delay.
        Signals signals;
        bool isUp = false;
        Timestamp restartsAt; ///< Valid while the target is down.
        Timestamp slowUntil {}; ///< End of its slow start.
        Timestamp nextReportAt;
        size_t registry = 0; ///< The host to which it reports, if not to the leader.
        Timestamp cutOffUntil {};
        bool isRetiring = false; ///< It called /leave.
        Timestamp nextLeaveCallAt; ///< Valid until a call is acknowledged.
        std::optional<requests::HttpHandle> leaveCall;
        bool isLeaveAcknowledged = false;
        Duration reportDelay {};
        Timestamp reportsDelayedUntil {};
        std::vector<Run> runs;
        std::map<size_t, SurplusResponse> surplus; ///< By gateway.
    };
    struct LateReport {
        Timestamp at;
        size_t target = 0;
        uint64_t incarnation = 0;
        std::string path;
        std::string body;
    };
    struct PendingEvent {
        Timestamp at;
        size_t gateway = 0;
        requests::TargetEvent event;
        /// Set for a response head: what the target announces in it.
        std::optional<std::pair<Exchange, Signals>> response;
    };

    void accept(size_t gateway, const requests::TargetStart& start);
    /// Whether the partition of the gateway, if any, lets the request pass. If not, its failure is scheduled.
    bool passesPartition(size_t gateway, const requests::TargetStart& start);
    [[nodiscard]] Partition partitionOf(size_t gateway) const;
    void startRuns(Target& target);
    void completeRuns(Target& target);
    void start(Target& target);
    void crash(Target& target, Duration restartDelay);
    void report(Target& target);
    void callLeave(Target& target);
    [[nodiscard]] bool statesStart() const { return options_.keepsId && options_.statesStart; }
    [[nodiscard]] bool isCutOff(const Target& target) const { return now() < target.cutOffUntil; }
    /// The registry host to which the target reports now; none if it is down.
    [[nodiscard]] std::optional<size_t> registryFor(Target& target);
    [[nodiscard]] size_t registryOtherThan(size_t registry);
    void deliverLateReports();
    void sendEvent(size_t gateway, requests::TargetEvent event, Duration delay = 10ms);
    void respond(Target& target, const Run& run, int status, bool isNotRun);
    /// Sends the second response of an earlier request, if there is one, in the place of the response to this request.
    void sendSurplus(Target& target, const Run& run);
    void keepSurplus(Target& target, const Run& run, requests::TargetResponseHead head);
    [[nodiscard]] bool draw(double probability) { return std::bernoulli_distribution(probability)(random_); }
    [[nodiscard]] Exchange exchangeOf(const Target& target, const Run& run) const;
    [[nodiscard]] Timestamp now() const { return fleet_.registries().now(); }

    Fleet& fleet_;
    Options options_;
    std::mt19937 random_;
    std::vector<Target> targets_;
    std::vector<PendingEvent> pendingEvents_;
    std::vector<LateReport> lateReports_;
    std::vector<FatalRun> fatalRuns_;
    std::map<size_t, Partition> partitions_; ///< By gateway.
    std::map<std::string, size_t> atMostOnceRuns_; ///< By request id.
    uint64_t incarnations_ = 0;
    bool isHarmless_ = false;
    Surplus surplus_;
    size_t surplusSent_ = 0;
    size_t overtakenReports_ = 0;
};

} // namespace saltvane::fleet::test
