/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/forwarder.h"

#include "requests/headerfilter.h"
#include "requests/internal/callerwriter.h"
#include "requests/internal/creditview.h"
#include "requests/internal/finalizer.h"
#include "requests/internal/keyedrequests.h"
#include "requests/internal/peerdeadline.h"
#include "requests/internal/retryrules.h"

#include <algorithm>

namespace saltvane::requests {
namespace {

constexpr size_t MaxWaitingForCredit = 1000;
/// How long the report on a cancelled attempt is accepted.
constexpr Duration CancelledAttemptRetention = 10s;
/// Separates the correlation ids of successive incarnations of this host.
constexpr int IncarnationShift = 32;
/// Time for a broken link to an issuer to reconnect before the request is forwarded again.
constexpr Duration IssuerRetryDelay = 200ms;

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
    exchange.hasReachedZoneChoice = true;
    if (now >= exchange.deadline)
        return context_.finalizer->finishForDeadline(exchange, now);
    steering::Refusal refusal;
    const std::optional<Placement> placement = choose(exchange, refusal, now);
    if (!placement)
        return waitOrRefuse(exchange, refusal, now);
    exchange.zone = context_.deployment->zone(placement->zone).name;
    exchange.owner = placement->owner;
    send(exchange, {.purpose = model::ForwardPurpose::Dispatch, .host = placement->owner, .holdsCredit = true}, now);
}

void Forwarder::startAtIssuer(Exchange& exchange, const HostId& issuer, Incarnation incarnation, Timestamp now)
{
    exchange.owner = issuer;
    exchange.issuerIncarnation = incarnation;
    send(exchange, {.purpose = model::ForwardPurpose::Mint, .host = issuer, .incarnation = incarnation}, now);
}

std::optional<Forwarder::Placement> Forwarder::choose(Exchange& exchange, steering::Refusal& refusal, Timestamp now)
{
    const model::Deployment& deployment = *context_.deployment;
    const auto service = deployment.findService(exchange.service);
    const auto region = deployment.findRegion(exchange.clientRegion);
    if (!service || !region) {
        refusal = {.reason = model::Reason::UnknownService};
        return std::nullopt;
    }
    membership::ICreditStore& credits = *context_.options.credits;
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
        const std::optional<HostId> owner = credits.useCredit(exchange.service, name, exchange.excludedOwners, now);
        if (owner)
            return Placement {.zone = zone, .owner = *owner};
        if (std::find(excludedZones.begin(), excludedZones.end(), zone) != excludedZones.end()) {
            refusal = {.reason = model::Reason::NoRoom};
            return std::nullopt;
        }
        excludedZones.push_back(zone);
    }
}

void Forwarder::requestCredits(const Exchange& exchange, Timestamp now)
{
    const model::Deployment& deployment = *context_.deployment;
    const auto service = deployment.findService(exchange.service);
    const auto region = deployment.findRegion(exchange.clientRegion);
    if (!service || !region)
        return;
    membership::ICreditStore& credits = *context_.options.credits;
    for (const ZoneIndex zone : context_.options.steering->entryZones(*service, *region)) {
        const ZoneName& name = deployment.zone(zone).name;
        if (!credits.hasCredit(exchange.service, name, now))
            credits.recordUnmetDemand(exchange.service, name, now);
    }
}

void Forwarder::waitOrRefuse(Exchange& exchange, const steering::Refusal& refusal, Timestamp now)
{
    const bool cannotSucceed
        = refusal.reason == model::Reason::ZoneClosed || refusal.reason == model::Reason::UnknownService;
    if (!exchange.creditWaitDeadline) {
        requestCredits(exchange, now);
        exchange.creditWaitDeadline = now + context_.options.maxCreditWait;
    }
    if (cannotSucceed || now >= *exchange.creditWaitDeadline || context_.table.waiting().size() >= MaxWaitingForCredit)
        return refuseWithoutOwner(exchange, refusal, now);
    exchange.phase = Phase::WaitingForCredit;
    context_.table.addWaiting(exchange);
}

void Forwarder::refuseWithoutOwner(Exchange& exchange, const steering::Refusal& refusal, Timestamp now)
{
    if (exchange.lastFailure) {
        const Completion failure = *exchange.lastFailure;
        return context_.finalizer->giveUp(exchange, failure.reason, failure.retryAfter, now);
    }
    context_.finalizer->giveUp(exchange, refusal.reason, refusal.retryAfter, now);
}

void Forwarder::send(Exchange& exchange, Attempt attempt, Timestamp now)
{
    attempt.correlation = {++lastCorrelation_};
    attempt.response = ResponseStream(retainLimit(exchange));
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
        const uint64_t end = std::min(body.received(), attempt.bodySendLimit);
        const uint64_t count = std::min(end - std::min(end, attempt.bodyBytesSent), MaxBodyFrameBytes);
        const bool isLast = body.isComplete() && attempt.bodyBytesSent + count == body.received();
        if (count == 0 && !isLast)
            break;
        context_.send(attempt.host,
            model::ForwardBody {.correlation = attempt.correlation,
                .direction = model::Direction::ToTarget,
                .offset = attempt.bodyBytesSent,
                .bytes = body.bytesAt(attempt.bodyBytesSent, count),
                .isLast = isLast});
        attempt.bodyBytesSent += count;
        attempt.isLastSent = isLast;
    }
    context_.writer->extendBodyWindow(exchange, exchange.body.release(attempt.bodyBytesAcknowledged));
}

void Forwarder::extendWindow(Exchange& exchange, uint64_t bytes)
{
    Attempt& attempt = *exchange.attempt;
    attempt.bodyBytesAcknowledged = std::min(attempt.bodyBytesAcknowledged + bytes, attempt.bodyBytesSent);
    attempt.bodySendLimit = attempt.bodyBytesAcknowledged + InitialBodyWindow;
    pumpBody(exchange);
}

void Forwarder::onAttemptFailed(Exchange& exchange, const Completion& completion, Timestamp now)
{
    const bool wasAtIssuer = exchange.attempt->purpose == model::ForwardPurpose::Mint;
    exchange.excludedOwners.push_back(exchange.attempt->host);
    endAttempt(exchange, now);
    if (wasAtIssuer)
        return onIssuerFailed(exchange, completion, now);

    const bool isFirstUnknown = completion.outcome == model::Outcome::Unknown && !exchange.mayHaveRun;
    if (isFirstUnknown || !exchange.mayHaveRun)
        exchange.lastFailure = completion;
    if (completion.outcome == model::Outcome::Unknown)
        exchange.mayHaveRun = true;
    if (canRetry(exchange, completion, now)) {
        if (context_.options.retryBudget->trySpend(now)) {
            context_.counters->add(model::Counter::Retries);
            context_.counters->addRetry(completion.reason);
            return start(exchange, now);
        }
        context_.counters->addRetry(model::Reason::RetryBudgetSpent);
    }
    const Completion failure = *exchange.lastFailure;
    context_.finalizer->giveUp(exchange, failure.reason, failure.retryAfter, now);
}

void Forwarder::onIssuerFailed(Exchange& exchange, const Completion& completion, Timestamp now)
{
    const bool isLost = completion.outcome == model::Outcome::Unknown && completion.reason == model::Reason::PeerLost;
    if (!isLost || !isSendable(exchange, now))
        return context_.finalizer->refuse(exchange, completion, now);
    exchange.phase = Phase::WaitingForIssuer;
    issuerRetries_.insert({now + IssuerRetryDelay, exchange.id});
}

/// Forwarding to the issuer again is safe: it knows the key and runs it once.
void Forwarder::retryIssuers(Timestamp now)
{
    while (!issuerRetries_.empty() && issuerRetries_.begin()->first <= now) {
        Exchange* exchange = context_.table.find(issuerRetries_.begin()->second);
        issuerRetries_.erase(issuerRetries_.begin());
        if (!exchange || exchange->phase != Phase::WaitingForIssuer)
            continue;
        const HostId issuer = exchange->owner;
        const Incarnation incarnation = exchange->issuerIncarnation;
        if (!context_.options.hosts->isAlive(issuer, incarnation)) {
            context_.finalizer->giveUp(*exchange, model::Reason::MinterGone, Duration::zero(), now);
            continue;
        }
        context_.counters->add(model::Counter::Retries);
        context_.counters->addRetry(model::Reason::PeerLost);
        startAtIssuer(*exchange, issuer, incarnation, now);
    }
}

bool Forwarder::isSendable(const Exchange& exchange, Timestamp now) const
{
    if (exchange.attempts >= context_.options.maxAttempts || now >= exchange.deadline)
        return false;
    return !exchange.isHeadSent && exchange.body.isReplayable();
}

bool Forwarder::canRetry(const Exchange& exchange, const Completion& completion, Timestamp now) const
{
    return isSendable(exchange, now) && isRetryAllowed(completion.outcome, completion.reason, exchange.isRepeatable);
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
    CancelledAttempt& cancelled = cancelled_[attempt.correlation];
    cancelled = {.host = attempt.host, .expiresAt = now + CancelledAttemptRetention};
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
    context_.options.credits->returnCredit(attempt.host, exchange.service, now);
    context_.isCreditFreed = true;
}

bool Forwarder::handleCancelledEnd(const HostId& from, const model::ForwardEnd& end)
{
    const auto found = cancelled_.find(end.correlation);
    if (found == cancelled_.end() || found->second.host != from)
        return false;
    if (end.outcome == model::Outcome::NotRun && found->second.key)
        context_.keyed->reopen(*found->second.key);
    cancelled_.erase(found);
    return true;
}

void Forwarder::onHostLost(const HostId& host)
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
        const bool cannotSucceed = !isTick
            && std::find(withoutCredit.begin(), withoutCredit.end(), exchange->service) != withoutCredit.end();
        if (cannotSucceed)
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
    std::erase_if(cancelled_, [now](const auto& entry) { return now >= entry.second.expiresAt; });
    retryIssuers(now);
    serveWaiting(now, true);
}

uint64_t Forwarder::retainLimit(const Exchange& exchange) const
{
    return exchange.isRunner ? std::min(context_.options.maxStoredResponseBytes, InitialBodyWindow) : 0;
}

} // namespace saltvane::requests
