/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/ratebudget.h"
#include "gateway/internal/targetset.h"
#include "host/hosttypes.h"
#include "model/limitmessages.h"
#include "settings/routedhostsettings.h"

#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace saltvane::gateway {

/// Reads what targets say in their answers of how much they take, and shares it with other gateways by way of the
/// registry. docs/design/0018-target-limits.md
class BackpressureWatch {
public:
    BackpressureWatch(settings::HeaderNames headers, TargetSet& targets)
        : headers_(std::move(headers))
        , targets_(targets)
    {
    }

    /// An answer of this start of a target to a request that was sent to it then.
    struct Answer {
        model::TargetIncarnation target;
        int status = 0;
        std::span<const model::Header> headers;
        bool isNotRun = false; ///< It turned the request away.
        Timestamp sentAt;
    };
    void note(const Answer& answer, Timestamp now);

    void handle(const model::BackpressureReport& report, Timestamp now);
    /// No registry host knows of the target's limit.
    void noteUnknown(const model::TargetIncarnation& target) { news_.insert(target); }

    /// What the registry is to hear: some at a time, the rest later.
    [[nodiscard]] model::BackpressureReport takeNews(Timestamp now);
    /// For a registry host that may know nothing.
    [[nodiscard]] model::BackpressureReport known(Timestamp now);

    /// Targets that said that they leave, since the last call.
    [[nodiscard]] std::vector<model::TargetIncarnation> takeLeaving() { return std::exchange(leaving_, {}); }

    [[nodiscard]] std::vector<host::LogLine> takeLines() { return std::exchange(lines_, {}); }

private:
    static constexpr double LinesPerSecond = 5;
    static constexpr double MostSavedLines = 20;
    static constexpr double ReportsPerSecond = 10;
    static constexpr double MostSavedReports = 10;

    void noteLimit(GatewayTarget& target, const Answer& answer, Timestamp now);
    void noteRest(GatewayTarget& target, const Answer& answer, Timestamp now);
    void noteLeaving(GatewayTarget& target, const Answer& answer, Timestamp now);
    void setLimit(GatewayTarget& target, const std::optional<double>& limit, Timestamp now);
    void addNotice(model::BackpressureReport& report, const model::TargetIncarnation& start, Timestamp now);
    struct Line {
        std::string_view event;
        std::string_view key;
        std::string_view value;
    };
    void log(const GatewayTarget& target, const Line& line, Timestamp now);

    settings::HeaderNames headers_;
    TargetSet& targets_;
    std::set<model::TargetIncarnation> limited_; ///< Those that name a limit, and some that are gone.
    std::set<model::TargetIncarnation> news_;
    std::vector<model::TargetIncarnation> leaving_;
    RateBudget reportBudget_ {{.perSecond = ReportsPerSecond, .burst = MostSavedReports}};
    RateBudget lineBudget_ {{.perSecond = LinesPerSecond, .burst = MostSavedLines}};
    std::vector<host::LogLine> lines_;
};

} // namespace saltvane::gateway
