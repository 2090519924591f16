/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/backpressurewatch.h"

#include "base/logtext.h"
#include "requests/headerfilter.h"

namespace saltvane::gateway {

namespace {

constexpr size_t MostInAReport = 256;
/// The registry forgets a limit of which it has not heard for 120 s.
constexpr Duration RepeatPeriod = 30s;

} // namespace

void BackpressureWatch::note(const Answer& answer, Timestamp now)
{
    GatewayTarget* target = targets_.find(answer.target);
    if (target == nullptr)
        return;
    noteLimit(*target, answer, now);
    noteRest(*target, answer, now);
    noteLeaving(*target, answer, now);
}

void BackpressureWatch::noteRest(GatewayTarget& target, const Answer& answer, Timestamp now)
{
    constexpr int StatusUnavailable = 503;
    constexpr int StatusTooManyRequests = 429;
    // A 429 that the target ran is about the caller.
    const bool isTurnedAway
        = answer.status == StatusUnavailable || (answer.status == StatusTooManyRequests && answer.isNotRun);
    const WantedRest rest = isTurnedAway ? readWantedRest(answer.headers) : WantedRest {};
    if (!rest.isWanted)
        return;
    if (!rest.duration)
        return log(target,
            {.event = "target_rest_unreadable",
                .key = "seconds",
                .value = requests::firstFieldValue(answer.headers, requests::RetryAfterHeader)},
            now);
    // Answers overtake each other, so that a shorter time may be the older one.
    target.backpressure.restUntil = std::max(target.backpressure.restUntil, now + *rest.duration);
    log(target, {.event = "target_rest", .key = "seconds", .value = decimalText(toSeconds(*rest.duration))}, now);
}

void BackpressureWatch::noteLeaving(GatewayTarget& target, const Answer& answer, Timestamp now)
{
    constexpr std::string_view Leaves = "1";
    if (requests::firstFieldValue(answer.headers, headers_.leaving) != Leaves)
        return;
    if (!target.record.isLeaving) {
        log(target, {.event = "target_leaving", .key = "told_by", .value = "target"}, now);
        leaving_.push_back(target.start());
    }
    targets_.noteLeaving(target.start());
}

void BackpressureWatch::noteLimit(GatewayTarget& target, const Answer& answer, Timestamp now)
{
    const NamedLimit named = readNamedLimit(answer.headers, headers_.limit);
    TargetBackpressure& known = target.backpressure;
    if (named.isNamed && !named.perSecond)
        return log(target,
            {.event = "target_limit_unreadable",
                .key = "per_second",
                .value = requests::firstFieldValue(answer.headers, headers_.limit)},
            now);
    // Answers overtake each other: one to a request sent before the limit was known may be older than the limit.
    if (!named.isNamed && (!known.limit || answer.sentAt <= known.limitAt))
        return;
    const std::optional<double> limit
        = named.perSecond.value_or(LargestLimit) < LargestLimit ? named.perSecond : std::nullopt;
    known.limitAt = now;
    if (known.limit != limit || now - known.toldAt >= RepeatPeriod)
        news_.insert(target.start());
    setLimit(target, limit, now);
}

void BackpressureWatch::setLimit(GatewayTarget& target, const std::optional<double>& limit, Timestamp now)
{
    if (limit)
        limited_.insert(target.start());
    else
        limited_.erase(target.start());
    if (std::exchange(target.backpressure.limit, limit) == limit)
        return;
    target.backpressure.noCreditUntil = {};
    log(target, {.event = "target_limit", .key = "per_second", .value = limit ? decimalText(*limit) : "none"}, now);
}

void BackpressureWatch::handle(const model::BackpressureReport& report, Timestamp now)
{
    for (const model::BackpressureNotice& notice : report.notices) {
        GatewayTarget* target = targets_.find(notice.target);
        if (target == nullptr || now - notice.age <= target->backpressure.limitAt)
            continue;
        target->backpressure.limitAt = now - notice.age;
        target->backpressure.toldAt = now;
        setLimit(*target, notice.limit, now);
    }
}

void BackpressureWatch::addNotice(
    model::BackpressureReport& report, const model::TargetIncarnation& start, Timestamp now)
{
    GatewayTarget* target = targets_.find(start);
    if (target == nullptr)
        return;
    target->backpressure.toldAt = now;
    report.notices.push_back(
        {.target = start, .limit = target->backpressure.limit, .age = now - target->backpressure.limitAt});
}

model::BackpressureReport BackpressureWatch::takeNews(Timestamp now)
{
    model::BackpressureReport report;
    if (news_.empty() || !reportBudget_.trySpend(now))
        return report;
    for (size_t count = 0; count < MostInAReport && !news_.empty(); ++count)
        addNotice(report, news_.extract(news_.begin()).value(), now);
    return report;
}

model::BackpressureReport BackpressureWatch::known(Timestamp now)
{
    model::BackpressureReport report;
    std::erase_if(limited_, [&](const model::TargetIncarnation& start) { return targets_.find(start) == nullptr; });
    for (const model::TargetIncarnation& start : limited_)
        addNotice(report, start, now);
    return report;
}

void BackpressureWatch::log(const GatewayTarget& target, const Line& line, Timestamp now)
{
    if (!lineBudget_.trySpend(now))
        return;
    LogText text(line.event);
    text.add("target", target.id().value()).add("service", target.record.service.value()).add(line.key, line.value);
    lines_.push_back({.severity = host::LogSeverity::Info, .module = "gateway", .text = text.text()});
}

} // namespace saltvane::gateway
