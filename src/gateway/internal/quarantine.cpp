/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/quarantine.h"

#include "base/logtext.h"

#include <algorithm>
#include <utility>

namespace saltvane::gateway {

namespace {

/// A request that was answered this recently is not considered fatal: its losses have other causes, such as a fatal
/// request at the same targets. Without this rule, popular requests lost up to 40 attempts by coincidence. A request
/// that does turn fatal while it is popular is detected later by this time.
constexpr Duration RecentAnswerWindow = 5s;

} // namespace

Quarantine::Quarantine(Options options)
    : options_(std::move(options))
    , table_(membership::SuspectTable::Limits {})
    , outbox_({.perSecond = MaxReportsPerSecond, .burst = MaxReportBurst})
    , prober_(options_.headers)
{
}

std::optional<Duration> Quarantine::retryDelay(const model::RequestDigest& digest, Timestamp now)
{
    if (!table_.isBlamed(digest))
        return std::nullopt;
    const Duration timeToTrial = table_.timeToTrial(digest, now);
    if (timeToTrial <= Duration::zero()) {
        table_.recordTrial(digest, now);
        outbox_.add(digest, table_);
        log(host::LogSeverity::Warning, LogText("request_trial").add("request", model::toString(digest)).text(), now);
        return std::nullopt;
    }
    if (table_.recordCallerRequest(digest, now))
        outbox_.add(digest, table_);
    return timeToTrial;
}

bool Quarantine::mayRetry(const model::RequestDigest& digest) const
{
    return table_.consecutiveFailures(digest) < MaxLostTargetsForRetry;
}

void Quarantine::onAnswered(const model::RequestDigest& digest, Timestamp now)
{
    lossRate_.recordAnswer(now);
    recentAnswers_.record(digest, now);
    clearLosses(digest, now);
}

void Quarantine::clearIfAnswered(const model::RequestDigest& digest, Timestamp now)
{
    const std::optional<Timestamp> firstFailureAt = table_.firstFailureAt(digest);
    if (firstFailureAt && recentAnswers_.wasAnsweredSince(digest, *firstFailureAt - RecentAnswerWindow))
        clearLosses(digest, now);
}

void Quarantine::clearLosses(const model::RequestDigest& digest, Timestamp now)
{
    const bool wasBlamed = table_.isBlamed(digest);
    if (!table_.recordAnswer(digest, now))
        return;
    outbox_.add(digest, table_);
    if (wasBlamed)
        log(host::LogSeverity::Warning, LogText("request_cleared").add("request", model::toString(digest)).text(), now);
}

void Quarantine::onConnectionLost(const LostRun& run, bool hasStopped, Timestamp now)
{
    const GatewayTarget* target = options_.targets.find(run.target);
    // The target announced that it is leaving: it would have stopped without any request.
    if (target != nullptr && target->record.isLeaving)
        return;
    lostRuns_.record(run);
    if (hasStopped || target == nullptr)
        return onTargetStopped(run.target, now);
    probe(*target, now);
}

void Quarantine::probe(const GatewayTarget& target, Timestamp now)
{
    prober_.probe(target, options_.probePathOf(target.record.service), now);
}

void Quarantine::onTargetStopped(const model::TargetIncarnation& target, Timestamp now)
{
    for (const LostRun& run : lostRuns_.removeLostAt(target))
        recordLoss(run, now);
}

void Quarantine::recordLoss(const LostRun& run, Timestamp now)
{
    const bool wasBlamed = table_.isBlamed(run.digest);
    const double expectedLossFraction = lossRate_.lossFraction(now);
    const bool isNew = table_.recordFailure(run.digest,
        {.target = model::incarnationHash(run.target),
            .sentAt = run.sentAt,
            .failedAt = run.lostAt,
            .usualShare = expectedLossFraction},
        now);
    const size_t inARow = table_.consecutiveFailures(run.digest);
    // Losses under a suspect request say nothing about other requests.
    if (inARow < MaxLostTargetsForRetry)
        lossRate_.recordLoss(now);
    if (!isNew)
        return;
    clearIfAnswered(run.digest, now);
    options_.counters.add(model::Counter::TargetsLostUnderRequests);
    outbox_.add(run.digest, table_);
    const bool isBlamed = table_.isBlamed(run.digest);
    LogText line("target_lost");
    line.add("request", model::toString(run.digest))
        .add("target", run.target.target.value())
        .addMilliseconds("after_ms", run.lostAt - run.sentAt)
        .add("in_a_row", inARow)
        .add("usual_percent", static_cast<int>(expectedLossFraction * 100))
        .add("blamed", isBlamed ? "yes" : "no");
    if (isBlamed && !wasBlamed)
        options_.counters.add(model::Counter::RequestsBlamed);
    log(host::LogSeverity::Warning, line.text(), now);
    reportExplained(now);
}

void Quarantine::handle(const model::SuspectReport& report, Timestamp now)
{
    for (const model::SuspectRequest& reported : report.requests) {
        const bool wasBlamed = table_.isBlamed(reported.digest);
        if (!table_.merge(reported, now))
            continue;
        clearIfAnswered(reported.digest, now);
        if (wasBlamed == table_.isBlamed(reported.digest))
            continue;
        LogText line(wasBlamed ? "request_cleared" : "request_blamed");
        line.add("request", model::toString(reported.digest)).add("ends", reported.ends.size());
        log(host::LogSeverity::Warning, line.text(), now);
    }
    reportExplained(now);
}

void Quarantine::reportExplained(Timestamp now)
{
    for (const model::RequestDigest& digest : table_.drainCleared()) {
        outbox_.add(digest, table_);
        log(host::LogSeverity::Warning, LogText("request_cleared").add("request", model::toString(digest)).text(), now);
    }
}

void Quarantine::handle(const requests::TargetEvent& event, Timestamp now)
{
    const std::optional<TargetProber::ProbeResult> result = prober_.handle(event);
    if (!result)
        return;
    if (result->status == TargetProber::Status::Alive)
        return onTargetAlive(result->target);
    if (GatewayTarget* target = options_.targets.find(result->target)) {
        target->onFailure(now, true);
        if (result->isRefused)
            options_.targets.onRefused(*target, now);
    }
    onTargetStopped(result->target, now);
}

void Quarantine::tick(Timestamp now)
{
    prober_.tick(now);
    lostRuns_.expire(now);
    table_.expire(now);
}

std::vector<model::SuspectRequest> Quarantine::drainReports(Timestamp now)
{
    if (outbox_.isEmpty())
        return {};
    return outbox_.drain(table_, now);
}

void Quarantine::log(host::LogSeverity severity, std::string text, Timestamp now)
{
    if (logLineBudget_.trySpend(now))
        logLines_.push_back({.severity = severity, .module = "gateway", .text = std::move(text)});
}

} // namespace saltvane::gateway
