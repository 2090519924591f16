/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/backpressurewatch.h"

#include "base/logtext.h"
#include "requests/headerfilter.h"

namespace saltvane::gateway {

void BackpressureWatch::note(const Answer& answer, Timestamp now)
{
    if (GatewayTarget* target = targets_.find(answer.target))
        noteLimit(*target, answer, now);
}

void BackpressureWatch::noteLimit(GatewayTarget& target, const Answer& answer, Timestamp now)
{
    const NamedLimit named = readNamedLimit(answer.headers, headers_.limit);
    TargetBackpressure& known = target.backpressure;
    if (named.isNamed && !named.perSecond)
        return log(target, "target_limit_unreadable", requests::firstFieldValue(answer.headers, headers_.limit), now);
    // Answers overtake each other: one to a request sent before the limit was known may be older than the limit.
    if (!named.isNamed && (!known.limit || answer.sentAt <= known.limitAt))
        return;
    const std::optional<double> limit
        = named.perSecond.value_or(LargestLimit) < LargestLimit ? named.perSecond : std::nullopt;
    known.limitAt = now;
    if (std::exchange(known.limit, limit) != limit)
        log(target, "target_limit", limit ? decimalText(*limit) : "none", now);
}

void BackpressureWatch::log(const GatewayTarget& target, std::string_view event, std::string_view value, Timestamp now)
{
    if (!lineBudget_.trySpend(now))
        return;
    LogText line(event);
    line.add("target", target.id().value()).add("service", target.record.service.value()).add("per_second", value);
    lines_.push_back({.severity = host::LogSeverity::Info, .module = "gateway", .text = line.text()});
}

} // namespace saltvane::gateway
