/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/tokenbucket.h"
#include "gateway/internal/lostruntracker.h"
#include "gateway/internal/recentanswers.h"
#include "gateway/internal/targetlossrate.h"
#include "gateway/internal/targetprober.h"
#include "gateway/internal/targetset.h"
#include "host/hosttypes.h"
#include "membership/suspectoutbox.h"
#include "membership/suspecttable.h"
#include "model/counters.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace saltvane::gateway {

/// Detects requests that crash the targets that run them, and stops sending them to targets. All gateways share their
/// observations, so that such a request costs three targets in total instead of two per attempt of its caller.
/// docs/design/0013-fatal-requests.md
class Quarantine {
public:
    struct Options {
        settings::HeaderNames headers;
        TargetSet& targets;
        model::Counters& counters;
        /// Path at which a service's targets answer probes; empty if unknown.
        std::function<std::string(const ServiceName&)> probePathOf;
    };
    explicit Quarantine(Options options);

    /// A request that lost two targets is not retried by this host: the third target would be lost to the same attempt,
    /// before any other gateway learns of the first two. The caller may send it again.
    static constexpr size_t MaxLostTargetsForRetry = 2;

    /// Called before a request is sent to a target. Returns the retry delay if the request must not be sent.
    [[nodiscard]] std::optional<Duration> retryDelay(const model::RequestDigest& digest, Timestamp now);
    /// Whether the request is known to make the targets fail that run it.
    [[nodiscard]] bool isBlamed(const model::RequestDigest& digest) const { return table_.isBlamed(digest); }
    /// Whether an attempt that lost its target may continue at another one.
    [[nodiscard]] bool mayRetry(const model::RequestDigest& digest) const;

    /// The complete response was received.
    void onAnswered(const model::RequestDigest& digest, Timestamp now);
    /// The target answered some request or probe.
    void onTargetAlive(const model::TargetIncarnation& target) { lostRuns_.forget(target); }
    /// The run's connection was lost. `hasStopped`: the target is known to have stopped.
    void onConnectionLost(const LostRun& run, bool hasStopped, Timestamp now);
    /// The run was abandoned, and its target has answered nothing since it was sent.
    void onRunAbandoned(const LostRun& run) { lostRuns_.record(run); }
    /// This incarnation of a target has stopped.
    void onTargetStopped(const model::TargetIncarnation& target, Timestamp now);

    void handle(const model::SuspectReport& report, Timestamp now);
    /// Handles an event of a probe.
    void handle(const requests::TargetEvent& event, Timestamp now);
    [[nodiscard]] std::optional<TargetProber::SentProbe> findSentProbe(const requests::TargetResponseHead& head) const
    {
        return prober_.findSentProbe(head);
    }
    void tick(Timestamp now);
    /// Sends a probe to the target.
    void probe(const GatewayTarget& target, Timestamp now);

    /// Changes to report to all registry hosts.
    [[nodiscard]] std::vector<model::SuspectRequest> drainReports(Timestamp now);
    /// All blamed requests, for a registry host that may have lost them.
    [[nodiscard]] std::vector<model::SuspectRequest> blamedRequests(Timestamp now) const { return table_.blamed(now); }
    [[nodiscard]] std::vector<requests::Action> drainActions() { return prober_.drainActions(); }
    [[nodiscard]] std::vector<host::LogLine> drainLogLines() { return std::exchange(logLines_, {}); }

private:
    /// When a third of 1,356 targets stop within one second, this many requests lose their targets at one gateway in a
    /// second; reporting them to nine registry hosts takes less than a tenth of a 2.6 Mbit/s link.
    static constexpr double MaxReportsPerSecond = 100;
    static constexpr double MaxReportBurst = 50;
    static constexpr double MaxLogLinesPerSecond = 5;
    static constexpr double MaxLogLineBurst = 20;

    void recordLoss(const LostRun& run, Timestamp now);
    /// Discards the losses if this gateway received a response to the request since the first of them, or shortly
    /// before.
    void clearIfAnswered(const model::RequestDigest& digest, Timestamp now);
    void clearLosses(const model::RequestDigest& digest, Timestamp now);
    void reportExplained(Timestamp now);
    void log(host::LogSeverity severity, std::string text, Timestamp now);

    Options options_;
    membership::SuspectTable table_;
    membership::SuspectOutbox outbox_;
    TargetLossRate lossRate_;
    RecentAnswers recentAnswers_;
    LostRunTracker lostRuns_;
    TargetProber prober_;
    TokenBucket logLineBudget_ {{.perSecond = MaxLogLinesPerSecond, .burst = MaxLogLineBurst}};
    std::vector<host::LogLine> logLines_;
};

} // namespace saltvane::gateway
