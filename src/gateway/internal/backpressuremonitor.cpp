/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/backpressuremonitor.h"

#include "base/logtext.h"
#include "requests/headerfilter.h"

namespace saltvane::gateway {

namespace {

constexpr size_t MaxNoticesPerReport = 256;
/// The registry drops a limit that was not reported for 120 s.
constexpr Duration RepeatInterval = 30s;
/// Longer than a notice takes to a registry host and the target's record takes back.
constexpr Duration LeavingRepeatInterval = 1s;
/// A slow start that is known already may be stated again with this difference.
constexpr Duration SlowStartPrecision = 200ms;

} // namespace

void BackpressureMonitor::onResponse(const Response& response, Timestamp now)
{
    GatewayTarget* target = targets_.find(response.target);
    if (target == nullptr)
        return;
    updateLimit(*target, response, now);
    updateBackoff(*target, response, now);
    updateLeaving(*target, response, now);
    updateSlowStart(*target, response, now);
}

void BackpressureMonitor::updateBackoff(GatewayTarget& target, const Response& response, Timestamp now)
{
    constexpr int StatusUnavailable = 503;
    constexpr int StatusTooManyRequests = 429;
    // A 429 from a request that the target ran is about the caller, not about the target.
    const bool isRefusal
        = response.status == StatusUnavailable || (response.status == StatusTooManyRequests && response.isNotRun);
    const RequestedBackoff backoff = isRefusal ? readRequestedBackoff(response.headers) : RequestedBackoff {};
    if (!backoff.isRequested)
        return;
    if (!backoff.duration)
        return log(target,
            {.event = "target_rest_unreadable",
                .key = "seconds",
                .value = requests::firstFieldValue(response.headers, requests::RetryAfterHeader)},
            now);
    // Responses may arrive out of order, so a shorter time may be the older one.
    target.backpressure.backoffUntil = std::max(target.backpressure.backoffUntil, now + *backoff.duration);
    log(target, {.event = "target_rest", .key = "seconds", .value = shortestDecimal(toSeconds(*backoff.duration))},
        now);
}

void BackpressureMonitor::updateLeaving(GatewayTarget& target, const Response& response, Timestamp now)
{
    constexpr std::string_view Leaves = "1";
    if (requests::firstFieldValue(response.headers, headers_.leaving) != Leaves)
        return;
    if (!target.record.isLeaving) {
        log(target, {.event = "target_leaving", .key = "told_by", .value = "target"}, now);
        leaving_.push_back(target.targetIncarnation());
        if (unconfirmedLeaving_.empty())
            nextLeavingAt_ = now + LeavingRepeatInterval;
        unconfirmedLeaving_.push_back(target.targetIncarnation());
    }
    targets_.markLeaving(target.targetIncarnation());
}

std::vector<model::TargetIncarnation> BackpressureMonitor::drainUnconfirmedLeaving(Timestamp now)
{
    if (unconfirmedLeaving_.empty() || now < nextLeavingAt_)
        return {};
    nextLeavingAt_ = now + LeavingRepeatInterval;
    std::erase_if(unconfirmedLeaving_, [&](const model::TargetIncarnation& targetIncarnation) {
        const GatewayTarget* target = targets_.find(targetIncarnation);
        return target == nullptr || target->isListedAsLeaving;
    });
    return unconfirmedLeaving_;
}

void BackpressureMonitor::updateSlowStart(GatewayTarget& target, const Response& response, Timestamp now)
{
    const std::string_view text = requests::firstFieldValue(response.headers, headers_.slowStartLeftMs);
    if (text.empty())
        return;
    const std::optional<Duration> left = readSlowStartLeft(text);
    if (!left)
        return log(target, {.event = "target_slow_start_unreadable", .key = "left_ms", .value = text}, now);
    // The target may have started again since the slow start that is known.
    if (*left <= Duration::zero() || now + *left <= target.slowUntil + SlowStartPrecision)
        return;
    log(target, {.event = "target_slow_start", .key = "left_ms", .value = text}, now);
    targets_.startSlowStart(target, *left, now);
    slowStarts_.push_back(target.record);
    slowStarts_.back().slowStartLeft = *left;
}

void BackpressureMonitor::updateLimit(GatewayTarget& target, const Response& response, Timestamp now)
{
    const StatedLimit stated = readStatedLimit(response.headers, headers_.limit);
    TargetBackpressure& known = target.backpressure;
    if (stated.isStated && !stated.perSecond)
        return log(target,
            {.event = "target_limit_unreadable",
                .key = "per_second",
                .value = requests::firstFieldValue(response.headers, headers_.limit)},
            now);
    const std::optional<double> limit
        = stated.perSecond.value_or(MaxLimitPerSecond) < MaxLimitPerSecond ? stated.perSecond : std::nullopt;
    // Responses may arrive out of order: the response to a request that was sent before the limit was known may be
    // older than the limit.
    const bool isRaised = known.limit && limit.value_or(MaxLimitPerSecond) > *known.limit;
    if (isRaised && response.sentAt <= known.limitUpdatedAt)
        return;
    if (!stated.isStated && !known.limit)
        return;
    known.limitUpdatedAt = now;
    if (known.limit != limit || now - known.reportedAt >= RepeatInterval)
        pendingReports_.insert(target.targetIncarnation());
    setLimit(target, limit, now);
}

void BackpressureMonitor::setLimit(GatewayTarget& target, const std::optional<double>& limit, Timestamp now)
{
    if (limit)
        limited_.insert(target.targetIncarnation());
    else
        limited_.erase(target.targetIncarnation());
    if (std::exchange(target.backpressure.limit, limit) == limit)
        return;
    target.backpressure.noCreditUntil = {};
    log(target, {.event = "target_limit", .key = "per_second", .value = limit ? shortestDecimal(*limit) : "none"}, now);
}

void BackpressureMonitor::handle(const model::BackpressureReport& report, Timestamp now)
{
    for (const model::BackpressureNotice& notice : report.notices) {
        GatewayTarget* target = targets_.find(notice.target);
        if (target == nullptr || now - notice.age <= target->backpressure.limitUpdatedAt)
            continue;
        target->backpressure.limitUpdatedAt = now - notice.age;
        target->backpressure.reportedAt = now;
        setLimit(*target, notice.limit, now);
    }
}

void BackpressureMonitor::addNotice(
    model::BackpressureReport& report, const model::TargetIncarnation& targetIncarnation, Timestamp now)
{
    GatewayTarget* target = targets_.find(targetIncarnation);
    if (target == nullptr)
        return;
    target->backpressure.reportedAt = now;
    report.notices.push_back({.target = targetIncarnation,
        .limit = target->backpressure.limit,
        .age = now - target->backpressure.limitUpdatedAt});
}

model::BackpressureReport BackpressureMonitor::drainReports(Timestamp now)
{
    model::BackpressureReport report;
    if (pendingReports_.empty() || !reportBudget_.trySpend(now))
        return report;
    for (size_t count = 0; count < MaxNoticesPerReport && !pendingReports_.empty(); ++count)
        addNotice(report, pendingReports_.extract(pendingReports_.begin()).value(), now);
    return report;
}

model::BackpressureReport BackpressureMonitor::knownLimits(Timestamp now)
{
    model::BackpressureReport report;
    std::erase_if(limited_,
        [&](const model::TargetIncarnation& targetIncarnation) { return targets_.find(targetIncarnation) == nullptr; });
    for (const model::TargetIncarnation& targetIncarnation : limited_)
        addNotice(report, targetIncarnation, now);
    return report;
}

void BackpressureMonitor::log(const GatewayTarget& target, const Line& line, Timestamp now)
{
    if (!logLineBudget_.trySpend(now))
        return;
    LogText text(line.event);
    text.add("target", target.id().value()).add("service", target.record.service.value()).add(line.key, line.value);
    logLines_.push_back({.severity = host::LogSeverity::Info, .module = "gateway", .text = text.text()});
}

} // namespace saltvane::gateway
