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

/// A request that was answered so lately doesn't end targets all at once: its ends have other causes, such as a fatal
/// request beside it. Requests that are asked for each second lost up to 40 tries to such a coincidence without it. One
/// that does turn fatal while it is asked for is found that much later.
constexpr Duration AnswerSpeaksFor = 5s;

} // namespace

Quarantine::Quarantine(Options options)
    : options_(std::move(options))
    , table_(membership::SuspectTable::Limits {})
    , outbox_({.perSecond = ToldPerSecond, .burst = MostToldAtOnce})
    , prober_(options_.headers)
{
}

std::optional<Duration> Quarantine::refusal(const model::RequestDigest& digest, Timestamp now)
{
    if (!table_.isBlamed(digest))
        return std::nullopt;
    const Duration untilTrial = table_.untilTrial(digest, now);
    if (untilTrial <= Duration::zero()) {
        table_.noteTrial(digest, now);
        outbox_.add(digest, table_);
        log(host::LogSeverity::Warning, LogText("request_trial").add("request", model::toString(digest)).text(), now);
        return std::nullopt;
    }
    if (table_.noteAsked(digest, now))
        outbox_.add(digest, table_);
    return untilTrial;
}

bool Quarantine::mayRepeat(const model::RequestDigest& digest) const
{
    return table_.endsInARow(digest) < MostLostToARepeat;
}

void Quarantine::noteAnswered(const model::RequestDigest& digest, Timestamp now)
{
    endRate_.noteAnswered(now);
    answered_.note(digest, now);
    makeVoid(digest, now);
}

void Quarantine::clearAnswered(const model::RequestDigest& digest, Timestamp now)
{
    const std::optional<Timestamp> firstEndAt = table_.firstEndAt(digest);
    if (firstEndAt && answered_.wasAnsweredSince(digest, *firstEndAt - AnswerSpeaksFor))
        makeVoid(digest, now);
}

void Quarantine::makeVoid(const model::RequestDigest& digest, Timestamp now)
{
    const bool wasBlamed = table_.isBlamed(digest);
    if (!table_.noteAnswered(digest, now))
        return;
    outbox_.add(digest, table_);
    if (wasBlamed)
        log(host::LogSeverity::Warning, LogText("request_cleared").add("request", model::toString(digest)).text(), now);
}

void Quarantine::noteBroken(const LostRun& run, bool isGone, Timestamp now)
{
    const GatewayTarget* target = options_.targets.find(run.target);
    // Its end is announced: it would have come without any request.
    if (target != nullptr && target->record.isLeaving)
        return;
    watch_.note(run);
    if (isGone || target == nullptr)
        return noteGone(run.target, now);
    prober_.probe(*target, options_.probePathOf(target->record.service), now);
}

void Quarantine::noteGone(const model::TargetIncarnation& target, Timestamp now)
{
    for (const LostRun& run : watch_.takeLostAt(target))
        noteEnded(run, now);
}

void Quarantine::noteEnded(const LostRun& run, Timestamp now)
{
    const bool wasBlamed = table_.isBlamed(run.digest);
    const double usual = endRate_.share(now);
    const bool isNews = table_.noteEnd(run.digest,
        {.target = model::incarnationHash(run.target),
            .sentAt = run.sentAt,
            .endedAt = run.lostAt,
            .usualShare = usual},
        now);
    const size_t inARow = table_.endsInARow(run.digest);
    // What a suspect ends says nothing of how others fare.
    if (inARow < MostLostToARepeat)
        endRate_.noteEnded(now);
    if (!isNews)
        return;
    clearAnswered(run.digest, now);
    options_.counters.add(model::Counter::TargetsLostUnderRequests);
    outbox_.add(run.digest, table_);
    const bool isBlamed = table_.isBlamed(run.digest);
    LogText line("target_lost");
    line.add("request", model::toString(run.digest))
        .add("target", run.target.target.value())
        .addMilliseconds("after_ms", run.lostAt - run.sentAt)
        .add("in_a_row", inARow)
        .add("usual_percent", static_cast<int>(usual * 100))
        .add("blamed", isBlamed ? "yes" : "no");
    if (isBlamed && !wasBlamed)
        options_.counters.add(model::Counter::RequestsBlamed);
    log(host::LogSeverity::Warning, line.text(), now);
    tellExplained(now);
}

void Quarantine::handle(const model::SuspectReport& report, Timestamp now)
{
    for (const model::SuspectRequest& told : report.requests) {
        const bool wasBlamed = table_.isBlamed(told.digest);
        if (!table_.merge(told, now))
            continue;
        clearAnswered(told.digest, now);
        if (wasBlamed == table_.isBlamed(told.digest))
            continue;
        LogText line(wasBlamed ? "request_cleared" : "request_blamed");
        line.add("request", model::toString(told.digest)).add("ends", told.ends.size());
        log(host::LogSeverity::Warning, line.text(), now);
    }
    tellExplained(now);
}

void Quarantine::tellExplained(Timestamp now)
{
    for (const model::RequestDigest& digest : table_.takeExplained()) {
        outbox_.add(digest, table_);
        log(host::LogSeverity::Warning, LogText("request_cleared").add("request", model::toString(digest)).text(), now);
    }
}

void Quarantine::handle(const requests::TargetEvent& event, Timestamp now)
{
    const std::optional<TargetProber::Probed> probed = prober_.handle(event);
    if (!probed)
        return;
    if (probed->finding == TargetProber::Finding::Alive)
        return noteAlive(probed->target);
    if (GatewayTarget* target = options_.targets.find(probed->target))
        target->noteFailure(now, true);
    noteGone(probed->target, now);
}

void Quarantine::tick(Timestamp now)
{
    prober_.tick(now);
    watch_.expire(now);
    table_.expire(now);
}

std::vector<model::SuspectRequest> Quarantine::takeNews(Timestamp now)
{
    if (outbox_.isEmpty())
        return {};
    return outbox_.take(table_, now);
}

void Quarantine::log(host::LogSeverity severity, std::string text, Timestamp now)
{
    if (lineBudget_.trySpend(now))
        lines_.push_back({.severity = severity, .module = "gateway", .text = std::move(text)});
}

} // namespace saltvane::gateway
