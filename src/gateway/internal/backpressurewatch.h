/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/linebudget.h"
#include "gateway/internal/targetset.h"
#include "host/hosttypes.h"
#include "settings/routedhostsettings.h"

#include <utility>
#include <vector>

namespace saltvane::gateway {

/// Reads what targets say in their answers of how much they take.
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
        std::span<const model::Header> headers;
        Timestamp sentAt;
    };
    void note(const Answer& answer, Timestamp now);

    [[nodiscard]] std::vector<host::LogLine> takeLines() { return std::exchange(lines_, {}); }

private:
    static constexpr double LinesPerSecond = 5;
    static constexpr double MostSavedLines = 20;

    void noteLimit(GatewayTarget& target, const Answer& answer, Timestamp now);
    void log(const GatewayTarget& target, std::string_view event, std::string_view value, Timestamp now);

    settings::HeaderNames headers_;
    TargetSet& targets_;
    LineBudget lineBudget_ {{.perSecond = LinesPerSecond, .burst = MostSavedLines, .initial = MostSavedLines}};
    std::vector<host::LogLine> lines_;
};

} // namespace saltvane::gateway
