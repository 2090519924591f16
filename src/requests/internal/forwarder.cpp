/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/forwarder.h"

#include "requests/headerfilter.h"
#include "requests/internal/callerwriter.h"
#include "requests/internal/creditview.h"
#include "requests/internal/keyedrequests.h"
#include "requests/internal/peerdeadline.h"
#include "requests/internal/retryrules.h"
#include "requests/internal/settler.h"

#include <algorithm>

namespace saltvane::requests {
namespace {

constexpr size_t LargestWaiting = 1000;
/// How long the end of a cancelled attempt is waited for.
constexpr Duration CancelledMemory = 10s;
/// Places the correlation ids of two starts of this host far apart.
constexpr int IncarnationShift = 32;
/// A broken link to a minter gets so long to come back.
constexpr Duration MinterRetryDelay = 200ms;

std::string millisecondsText(Duration duration)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return std::to_string(std::max<int64_t>(milliseconds, 1));
}

} // namespace

Forwarder::Forwarder(EntryContext& context)
    : context_(context)
    , lastCorrelation_(context.options.self.incarnation.value << IncarnationShift)
{
}

void Forwarder::start(Exchange& exchange, Timestamp now)
{
    exchange.isOffered = true;
    if (now >= exchange.deadline)
        return context_.settler->endForDeadline(exchange, now);
    steering::Refusal refusal;
    const std::optional<Place> place = choose(exchange, refusal, now);
    if (!place)
        return waitOrGiveUp(exchange, refusal, now);
    exchange.zone = context_.deployment->zone(place->zone).name;
    exchange.owner = place->owner;
    send(exchange, {.purpose = model::ForwardPurpose::Dispatch, .host = place->owner, .holdsCredit = true}, now);
}

void Forwarder::startAtMinter(Exchange& exchange, const HostId& minter, Incarnation incarnation, Timestamp now)
{
    exchange.owner = minter;
    exchange.minterIncarnation = incarnation;
    send(exchange, {.purpose = model::ForwardPurpose::Mint, .host = minter, .incarnation = incarnation}, now);
}

std::optional<Forwarder::Place> Forwarder::choose(Exchange& exchange, steering::Refusal& refusal, Timestamp now)
{
    const model::Deployment& deployment = *context_.deployment;
    const auto service = deployment.findService(exchange.service);
    const auto region = deployment.findRegion(exchange.clientRegion);
    if (!service || !region) {
        refusal = {.reason = model::Reason::UnknownService};
        return std::nullopt;
    }
    membership::ICreditWallet& credits = *context_.options.credits;
    const CreditView view(deployment, credits, now);
    std::vector<ZoneIndex> excludedZones;
    while (true) {
        const Result<steering::Choice, steering::Refusal> choice
            = context_.options.steering->choose({.service = *service,
                                                    .clientRegion = *region,
                                                    .excludedZones = excludedZones,
                                                    .isRetry = exchange.attempts > 0 || !excludedZones.empty(),
                                                    .rowZone = deployment.findZone(exchange.rowZone)},
                view, now);
        const std::optional<ZoneIndex> rowZone = choice ? choice.value().rowZone : choice.error().rowZone;
        if (rowZone)
            exchange.rowZone = deployment.zone(*rowZone).name;
        if (!choice) {
            refusal = choice.error();
            return std::nullopt;
        }
        const ZoneIndex zone = choice.value().zone;
        const ZoneName& name = deployment.zone(zone).name;
        const std::optional<HostId> owner = credits.take(exchange.service, name, exchange.excludedOwners, now);
        if (owner)
            return Place {.zone = zone, .owner = *owner};
        if (std::find(excludedZones.begin(), excludedZones.end(), zone) != excludedZones.end()) {
            refusal = {.reason = model::Reason::NoRoom};
            return std::nullopt;
        }
        excludedZones.push_back(zone);
    }
}

void Forwarder::noteWanted(const Exchange& exchange, Timestamp now)
{
    const model::Deployment& deployment = *context_.deployment;
    const auto service = deployment.findService(exchange.service);
    const auto region = deployment.findRegion(exchange.clientRegion);
    if (!service || !region)
        return;
    membership::ICreditWallet& credits = *context_.options.credits;
    for (const ZoneIndex zone : context_.options.steering->entryZones(*service, *region)) {
        const ZoneName& name = deployment.zone(zone).name;
        if (!credits.hasCredit(exchange.service, name, now))
            credits.noteWanted(exchange.service, name, now);
    }
}

void Forwarder::waitOrGiveUp(Exchange& exchange, const steering::Refusal& refusal, Timestamp now)
{
    const bool isHopeless
        = refusal.reason == model::Reason::ZoneClosed || refusal.reason == model::Reason::UnknownService;
    if (!exchange.creditWaitEnd) {
        noteWanted(exchange, now);
        exchange.creditWaitEnd = now + context_.options.creditWait;
    }
    if (isHopeless || now >= *exchange.creditWaitEnd || context_.table.waiting().size() >= LargestWaiting)
        return giveUpChoice(exchange, refusal, now);
    exchange.phase = Phase::WaitingForCredit;
    context_.table.addWaiting(exchange);
}

void Forwarder::giveUpChoice(Exchange& exchange, const steering::Refusal& refusal, Timestamp now)
{
    if (exchange.lastFailure) {
        const Ending failure = *exchange.lastFailure;
        return context_.settler->giveUp(exchange, failure.reason, failure.retryAfter, now);
    }
    context_.settler->giveUp(exchange, refusal.reason, refusal.retryAfter, now);
}

void Forwarder::send(Exchange& exchange, Attempt attempt, Timestamp now)
{
    attempt.correlation = {++lastCorrelation_};
    attempt.answer = AnswerStream(keepLimit(exchange));
    exchange.attempt = std::move(attempt);
    exchange.phase = Phase::Forwarding;
    ++exchange.attempts;
    context_.table.removeWaiting(exchange);
    context_.table.bindAttempt(exchange);
    context_.counters->add(model::Counter::ForwardsSent);
    const bool isToOwner = exchange.attempt->purpose == model::ForwardPurpose::Dispatch;
    const Duration deadline = peerDeadline(*context_.deployment, context_.options.self.zone,
        isToOwner ? exchange.zone : ZoneName(), exchange.deadline - now);
    std::vector<model::Header> headers = exchange.headers;
    if (isToOwner)
        headers.push_back({.name = std::string(DeadlineHeader), .value = millisecondsText(deadline)});
    context_.send(exchange.attempt->host,
        model::ForwardRequest {.correlation = exchange.attempt->correlation,
            .purpose = exchange.attempt->purpose,
            .request = exchange.request,
            .service = exchange.service,
            .clientRegion = exchange.clientRegion,
            .method = exchange.method,
            .path = exchange.path,
            .headers = std::move(headers),
            .bodyLength = exchange.body.declaredLength(),
            .deadline = deadline,
            .isRepeatable = exchange.isRepeatable,
            .idempotencyKey = exchange.isRepeatable ? std::string() : exchange.idempotencyKey,
            .excludedTargets = exchange.excludedTargets});
    pumpBody(exchange);
}

void Forwarder::pumpBody(Exchange& exchange)
{
    if (!exchange.attempt || exchange.body.declaredLength() == 0)
        return;
    Attempt& attempt = *exchange.attempt;
    const RequestBody& body = exchange.body;
    while (!attempt.isLastSent) {
        const uint64_t end = std::min(body.received(), attempt.bodyAllowed);
        const uint64_t count = std::min(end - std::min(end, attempt.bodySent), LargestBodyFrame);
        const bool isLast = body.isComplete() && attempt.bodySent + count == body.received();
        if (count == 0 && !isLast)
            break;
        context_.send(attempt.host,
            model::ForwardBody {.correlation = attempt.correlation,
                .direction = model::Direction::ToTarget,
                .offset = attempt.bodySent,
                .bytes = body.bytesAt(attempt.bodySent, count),
                .isLast = isLast});
        attempt.bodySent += count;
        attempt.isLastSent = isLast;
    }
    context_.writer->allowBody(exchange, exchange.body.release(attempt.bodyPassedOn));
}

void Forwarder::extendWindow(Exchange& exchange, uint64_t bytes)
{
    Attempt& attempt = *exchange.attempt;
    attempt.bodyPassedOn = std::min(attempt.bodyPassedOn + bytes, attempt.bodySent);
    attempt.bodyAllowed = attempt.bodyPassedOn + InitialBodyWindow;
    pumpBody(exchange);
}

void Forwarder::attemptFailed(Exchange& exchange, const Ending& ending, Timestamp now)
{
    const bool isAtMinter = exchange.attempt->purpose == model::ForwardPurpose::Mint;
    exchange.excludedOwners.push_back(exchange.attempt->host);
    endAttempt(exchange, now);
    if (isAtMinter)
        return minterFailed(exchange, ending, now);

    const bool isFirstUnknown = ending.outcome == model::Outcome::Unknown && !exchange.mayHaveRun;
    if (isFirstUnknown || !exchange.mayHaveRun)
        exchange.lastFailure = ending;
    if (ending.outcome == model::Outcome::Unknown)
        exchange.mayHaveRun = true;
    if (canRetry(exchange, ending, now)) {
        if (context_.options.retryBudget->trySpend(now)) {
            context_.counters->add(model::Counter::Retries);
            context_.counters->addRetry(ending.reason);
            return start(exchange, now);
        }
        context_.counters->addRetry(model::Reason::RetryBudgetSpent);
    }
    const Ending failure = *exchange.lastFailure;
    context_.settler->giveUp(exchange, failure.reason, failure.retryAfter, now);
}

void Forwarder::minterFailed(Exchange& exchange, const Ending& ending, Timestamp now)
{
    const bool isLost = ending.outcome == model::Outcome::Unknown && ending.reason == model::Reason::PeerLost;
    if (!isLost || !isSendable(exchange, now))
        return context_.settler->refuse(exchange, ending, now);
    exchange.phase = Phase::WaitingForMinter;
    minterRetries_.insert({now + MinterRetryDelay, exchange.id});
}

/// The minter knows the key, so that sending it again runs nothing twice.
void Forwarder::retryMinters(Timestamp now)
{
    while (!minterRetries_.empty() && minterRetries_.begin()->first <= now) {
        Exchange* exchange = context_.table.find(minterRetries_.begin()->second);
        minterRetries_.erase(minterRetries_.begin());
        if (!exchange || exchange->phase != Phase::WaitingForMinter)
            continue;
        const HostId minter = exchange->owner;
        const Incarnation incarnation = exchange->minterIncarnation;
        if (!context_.options.hosts->isAlive(minter, incarnation)) {
            context_.settler->giveUp(*exchange, model::Reason::MinterGone, Duration::zero(), now);
            continue;
        }
        context_.counters->add(model::Counter::Retries);
        context_.counters->addRetry(model::Reason::PeerLost);
        startAtMinter(*exchange, minter, incarnation, now);
    }
}

bool Forwarder::isSendable(const Exchange& exchange, Timestamp now) const
{
    if (exchange.attempts >= context_.options.largestAttempts || now >= exchange.deadline)
        return false;
    return !exchange.isHeadOut && exchange.body.isReplayable();
}

bool Forwarder::canRetry(const Exchange& exchange, const Ending& ending, Timestamp now) const
{
    return isSendable(exchange, now) && isRetryAllowed(ending.outcome, ending.reason, exchange.isRepeatable);
}

void Forwarder::cancel(Exchange& exchange, model::Reason reason, Timestamp now)
{
    sendCancel(exchange, reason, now);
    exchange.mayHaveRun = true;
    endAttempt(exchange, now);
}

void Forwarder::sendCancel(const Exchange& exchange, model::Reason reason, Timestamp now)
{
    const Attempt& attempt = *exchange.attempt;
    context_.send(attempt.host, model::ForwardCancel {.correlation = attempt.correlation, .reason = reason});
    Cancelled& cancelled = cancelled_[attempt.correlation];
    cancelled = {.host = attempt.host, .until = now + CancelledMemory};
    if (exchange.isRunner)
        cancelled.key = exchange.keyName();
}

void Forwarder::endAttempt(Exchange& exchange, Timestamp now)
{
    context_.table.unbindAttempt(exchange);
    const Attempt attempt = std::move(*exchange.attempt);
    exchange.attempt.reset();
    if (!attempt.holdsCredit)
        return;
    context_.options.credits->giveBack(attempt.host, exchange.service, now);
    context_.isCreditFreed = true;
}

bool Forwarder::noteCancelledEnd(const HostId& from, const model::ForwardEnd& end)
{
    const auto found = cancelled_.find(end.correlation);
    if (found == cancelled_.end() || found->second.host != from)
        return false;
    if (end.outcome == model::Outcome::NotRun && found->second.key)
        context_.keyed->reopen(*found->second.key);
    cancelled_.erase(found);
    return true;
}

void Forwarder::noteHostLost(const HostId& host)
{
    std::erase_if(cancelled_, [&host](const auto& entry) { return entry.second.host == host; });
}

void Forwarder::serveWaiting(Timestamp now, bool isTick)
{
    context_.isCreditFreed = false;
    std::vector<ServiceName> withoutCredit;
    const std::vector<ExchangeId> waiting(context_.table.waiting().begin(), context_.table.waiting().end());
    for (const ExchangeId id : waiting) {
        Exchange* exchange = context_.table.find(id);
        if (!exchange || exchange->phase != Phase::WaitingForCredit)
            continue;
        const bool isHopeless = !isTick
            && std::find(withoutCredit.begin(), withoutCredit.end(), exchange->service) != withoutCredit.end();
        if (isHopeless)
            continue;
        context_.table.removeWaiting(*exchange);
        const ServiceName service = exchange->service;
        start(*exchange, now);
        if (exchange->phase == Phase::WaitingForCredit)
            withoutCredit.push_back(service);
    }
}

void Forwarder::tick(Timestamp now)
{
    std::erase_if(cancelled_, [now](const auto& entry) { return now >= entry.second.until; });
    retryMinters(now);
    serveWaiting(now, true);
}

uint64_t Forwarder::keepLimit(const Exchange& exchange) const
{
    return exchange.isRunner ? std::min(context_.options.largestStoredAnswer, InitialBodyWindow) : 0;
}

} // namespace saltvane::requests
