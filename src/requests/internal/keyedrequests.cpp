/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/keyedrequests.h"

#include "requests/headerfilter.h"
#include "requests/internal/callerwriter.h"
#include "requests/internal/finalizer.h"
#include "requests/internal/fingerprint.h"
#include "requests/internal/forwarder.h"

#include <algorithm>
#include <utility>

namespace saltvane::requests {
namespace {

constexpr size_t MaxWaiters = 16;
/// Time after a run for which the record is retained even if its token expires sooner.
constexpr Duration MinRecordRetention = 60s;

} // namespace

KeyedRequests::KeyedRequests(EntryContext& context)
    : context_(context)
    , claims_(context)
{
}

void KeyedRequests::begin(Exchange& exchange, model::Reason admissionRefusal, Timestamp now)
{
    const KeyRecord* record = context_.keys.find(exchange.keyName());
    const bool isKnown = record && record->state != KeyState::Open;
    if (!isKnown && admissionRefusal != model::Reason::None) {
        // A stopping host still forwards to the issuer, because only the issuer knows whether the key has run.
        const bool canQueryIssuer
            = admissionRefusal == model::Reason::Stopping && identifyKey(exchange, now).kind == KeyKind::Foreign;
        if (!canQueryIssuer)
            return context_.finalizer->giveUp(exchange, admissionRefusal, DefaultRetryAfter, now);
    }
    if (!record)
        return beginWithoutRecord(exchange, now);
    onBodyReceived(exchange, now);
}

void KeyedRequests::beginWithoutRecord(Exchange& exchange, Timestamp now)
{
    const Identity identity = identifyKey(exchange, now);
    switch (identity.kind) {
    case KeyKind::Own:
    case KeyKind::CallerMade:
        return onBodyReceived(exchange, now);
    case KeyKind::Foreign:
        return startAtHolder(exchange, identity.issuer, identity.incarnation, now);
    case KeyKind::Expired:
        return refuseAsUnknown(exchange, model::Reason::KeyExpired, now);
    case KeyKind::Invalid:
        return context_.finalizer->refuse(exchange,
            {.outcome = model::Outcome::NotRun, .reason = model::Reason::BadRequest, .field = std::string(KeyHeader)},
            now);
    }
}

KeyedRequests::Identity KeyedRequests::identifyKey(const Exchange& exchange, Timestamp now) const
{
    const Result<TokenClaims, TokenError> token
        = context_.options.tokenIssuer->read(exchange.idempotencyKey, exchange.service, now);
    if (token) {
        const TokenClaims& claims = token.value();
        const membership::HostIdentity& self = context_.options.self;
        const bool isOwn = claims.issuer == self.host && claims.incarnation == self.incarnation;
        return {.kind = isOwn ? KeyKind::Own : KeyKind::Foreign,
            .issuer = claims.issuer,
            .incarnation = claims.incarnation,
            .expiry = claims.expiry};
    }
    switch (token.error()) {
    case TokenError::NotAToken:
        return {.kind = KeyKind::CallerMade};
    case TokenError::Expired:
        return {.kind = KeyKind::Expired};
    case TokenError::BadMac:
    case TokenError::OtherService:
        break;
    }
    return {.kind = KeyKind::Invalid};
}

void KeyedRequests::startAtHolder(Exchange& exchange, const HostId& holder, Incarnation incarnation, Timestamp now)
{
    const bool isSelf = holder == context_.options.self.host;
    const bool wasForwarded = std::holds_alternative<ForwardedOrigin>(exchange.origin);
    if (isSelf || wasForwarded || !context_.options.hosts->isAlive(holder, incarnation))
        return refuseAsUnknown(exchange, model::Reason::MinterGone, now);
    context_.forwarder->startAtIssuer(exchange, holder, incarnation, now);
}

void KeyedRequests::onBodyReceived(Exchange& exchange, Timestamp now)
{
    if (exchange.phase == Phase::Buffering && exchange.body.isFingerprintable())
        resolveRecord(exchange, now);
}

void KeyedRequests::resolveRecord(Exchange& exchange, Timestamp now)
{
    const uint64_t fingerprint = fingerprintOf(exchange.service.value(), exchange.method, exchange.path, exchange.body);
    KeyRecord* record = context_.keys.find(exchange.keyName());
    if (!record) {
        if (identifyKey(exchange, now).kind == KeyKind::Expired)
            return refuseAsUnknown(exchange, model::Reason::KeyExpired, now);
        record = addRecord(exchange, fingerprint, now);
    }
    if (!record)
        return context_.finalizer->giveUp(exchange, model::Reason::NoRoom, DefaultRetryAfter, now);
    if (record->fingerprint != fingerprint)
        return context_.finalizer->refuse(
            exchange, {.outcome = model::Outcome::NotRun, .reason = model::Reason::KeyConflict}, now);
    continueWithRecord(exchange, *record, now);
}

KeyRecord* KeyedRequests::addRecord(const Exchange& exchange, uint64_t fingerprint, Timestamp now)
{
    const Identity identity = identifyKey(exchange, now);
    KeyRecord* record = context_.keys.add(exchange.keyName(), fingerprint, identity.expiry);
    if (record)
        record->needsClaim = identity.kind == KeyKind::CallerMade;
    return record;
}

void KeyedRequests::continueWithRecord(Exchange& exchange, KeyRecord& record, Timestamp now)
{
    switch (record.state) {
    case KeyState::Open:
        return run(exchange, record, now);
    case KeyState::Answered:
        return replay(exchange, record, now);
    case KeyState::Unknown:
        return refuseAsUnknown(exchange, model::Reason::KeyInUse, now);
    case KeyState::Running:
        break;
    }
    if (record.waiters.size() >= MaxWaiters)
        return refuseAsUnknown(exchange, model::Reason::KeyInUse, now);
    record.waiters.push_back(exchange.id);
    exchange.phase = Phase::WaitingForRun;
}

void KeyedRequests::run(Exchange& exchange, KeyRecord& record, Timestamp now)
{
    record.state = KeyState::Running;
    record.runner = exchange.id;
    exchange.isRunner = true;
    if (!record.needsClaim || record.isClaimed)
        return context_.forwarder->start(exchange, now);
    if (context_.controlLeader.isEmpty())
        return context_.finalizer->giveUp(exchange, model::Reason::NoQuorum, DefaultRetryAfter, now);
    exchange.phase = Phase::Claiming;
    claims_.send(record, now);
}

void KeyedRequests::replay(Exchange& exchange, const KeyRecord& record, Timestamp now)
{
    if (!record.response)
        return refuseAsUnknown(exchange, model::Reason::KeyInUse, now);
    context_.counters->add(model::Counter::KeyReplays);
    context_.writer->writeComplete(exchange, record.response->head, record.response->body, true);
    context_.finalizer->finishAnswered(exchange, now);
}

void KeyedRequests::refuseAsUnknown(Exchange& exchange, model::Reason reason, Timestamp now)
{
    context_.finalizer->refuse(exchange, {.outcome = model::Outcome::Unknown, .reason = reason}, now);
}

void KeyedRequests::storeResponse(const Exchange& exchange, StoredResponse response)
{
    if (KeyRecord* record = context_.keys.find(exchange.keyName()))
        context_.keys.storeResponse(*record, std::move(response));
}

void KeyedRequests::completeRun(
    Exchange& exchange, const Completion& completion, bool isReportedToCaller, Timestamp now)
{
    exchange.isRunner = false;
    KeyRecord* record = context_.keys.find(exchange.keyName());
    if (!record || record->runner != exchange.id)
        return;
    const KeyName key = record->name;
    std::vector<ExchangeId> waiters = std::exchange(record->waiters, {});
    const bool hasRun = completion.outcome == model::Outcome::Answered;
    const bool isOpen = !hasRun && !exchange.mayHaveRun;
    record->retainUntil = now + MinRecordRetention;
    record->state = isOpen ? KeyState::Open : hasRun ? KeyState::Answered : KeyState::Unknown;
    if (isOpen && !(isReportedToCaller && completion.outcome == model::Outcome::NotRun))
        return rerun(std::move(waiters), key, now);
    notifyWaiters(std::move(waiters), key, completion, now);
}

void KeyedRequests::notifyWaiters(
    std::vector<ExchangeId> waiters, const KeyName& key, const Completion& completion, Timestamp now)
{
    for (const ExchangeId id : waiters) {
        Exchange* waiter = context_.table.find(id);
        if (!waiter || waiter->phase != Phase::WaitingForRun)
            continue;
        const KeyRecord* record = context_.keys.find(key);
        if (completion.outcome == model::Outcome::Answered && record)
            replay(*waiter, *record, now);
        else
            context_.finalizer->refuse(*waiter, completion, now);
    }
}

void KeyedRequests::rerun(std::vector<ExchangeId> waiters, const KeyName& key, Timestamp now)
{
    for (const ExchangeId id : waiters) {
        Exchange* waiter = context_.table.find(id);
        KeyRecord* record = context_.keys.find(key);
        if (waiter && record && waiter->phase == Phase::WaitingForRun)
            continueWithRecord(*waiter, *record, now);
    }
}

void KeyedRequests::reopen(const KeyName& key)
{
    KeyRecord* record = context_.keys.find(key);
    if (record && record->state == KeyState::Unknown)
        record->state = KeyState::Open;
}

void KeyedRequests::removeWaiter(const Exchange& exchange)
{
    if (KeyRecord* record = context_.keys.find(exchange.keyName()))
        std::erase(record->waiters, exchange.id);
}

bool KeyedRequests::isKnownNotRun(const Exchange& exchange, Timestamp now) const
{
    const KeyRecord* record = context_.keys.find(exchange.keyName());
    if (!record) {
        const KeyKind kind = identifyKey(exchange, now).kind;
        return kind == KeyKind::Own || kind == KeyKind::Invalid;
    }
    const bool isOwnRun = record->state == KeyState::Running && record->runner == exchange.id;
    if (record->state != KeyState::Open && !isOwnRun)
        return false;
    return !record->needsClaim || record->isClaimed;
}

void KeyedRequests::tick(Timestamp now)
{
    claims_.tick(now);
    context_.keys.tick(now);
}

} // namespace saltvane::requests
