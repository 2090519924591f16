/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/tokenbucket.h"
#include "gateway/internal/targetset.h"
#include "host/hosttypes.h"
#include "model/limitmessages.h"
#include "settings/routedhostsettings.h"

#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace saltvane::gateway {

/// Reads the limits, backoff times, slow starts and leaving notices in targets' responses, and shares them with other
/// gateways through the registry. docs/design/0018-target-limits.md
class BackpressureMonitor {
public:
    BackpressureMonitor(settings::HeaderNames headers, TargetSet& targets)
        : headers_(std::move(headers))
        , targets_(targets)
    {
    }

    /// A target's response to a request that was sent at `sentAt`.
    struct Response {
        model::TargetIncarnation target;
        int status = 0;
        std::span<const model::Header> headers;
        bool isNotRun = false; ///< The target refused the request without running it.
        Timestamp sentAt;
    };
    void onResponse(const Response& response, Timestamp now);

    void handle(const model::BackpressureReport& report, Timestamp now);
    /// Reports the target's limit again, because a registry host did not know it.
    void reportAgain(const model::TargetIncarnation& target) { pendingReports_.insert(target); }

    /// Changes to report to the registry; a bounded number per call, the rest later.
    [[nodiscard]] model::BackpressureReport drainReports(Timestamp now);
    /// All known limits, for a registry host that may have lost them.
    [[nodiscard]] model::BackpressureReport knownLimits(Timestamp now);

    /// Targets that announced since the last call that they are leaving.
    [[nodiscard]] std::vector<model::TargetIncarnation> drainLeaving() { return std::exchange(leaving_, {}); }
    /// Targets of earlier calls that no registry host lists as leaving yet, about once a second: the notice may have
    /// been lost with a registry host.
    [[nodiscard]] std::vector<model::TargetIncarnation> drainUnconfirmedLeaving(Timestamp now);

    /// Records of targets that stated since the last call that they are in a slow start.
    [[nodiscard]] std::vector<model::TargetRecord> drainSlowStarts() { return std::exchange(slowStarts_, {}); }

    [[nodiscard]] std::vector<host::LogLine> drainLogLines() { return std::exchange(logLines_, {}); }

private:
    static constexpr double MaxLogLinesPerSecond = 5;
    static constexpr double MaxLogLineBurst = 20;
    static constexpr double MaxReportsPerSecond = 10;
    static constexpr double MaxReportBurst = 10;

    void updateLimit(GatewayTarget& target, const Response& response, Timestamp now);
    void updateBackoff(GatewayTarget& target, const Response& response, Timestamp now);
    void updateLeaving(GatewayTarget& target, const Response& response, Timestamp now);
    void updateSlowStart(GatewayTarget& target, const Response& response, Timestamp now);
    void setLimit(GatewayTarget& target, const std::optional<double>& limit, Timestamp now);
    void addNotice(model::BackpressureReport& report, const model::TargetIncarnation& targetIncarnation, Timestamp now);
    struct Line {
        std::string_view event;
        std::string_view key;
        std::string_view value;
    };
    void log(const GatewayTarget& target, const Line& line, Timestamp now);

    settings::HeaderNames headers_;
    TargetSet& targets_;
    /// Targets that state a limit; may include targets that were removed.
    std::set<model::TargetIncarnation> limited_;
    std::set<model::TargetIncarnation> pendingReports_;
    std::vector<model::TargetIncarnation> leaving_;
    std::vector<model::TargetIncarnation> unconfirmedLeaving_;
    Timestamp nextLeavingAt_ {}; ///< When the unconfirmed ones are due again.
    std::vector<model::TargetRecord> slowStarts_;
    TokenBucket reportBudget_ {{.perSecond = MaxReportsPerSecond, .burst = MaxReportBurst}};
    TokenBucket logLineBudget_ {{.perSecond = MaxLogLinesPerSecond, .burst = MaxLogLineBurst}};
    std::vector<host::LogLine> logLines_;
};

} // namespace saltvane::gateway
