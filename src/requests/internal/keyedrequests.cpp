/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/keyedrequests.h"

#include "requests/headerfilter.h"
#include "requests/internal/callerwriter.h"
#include "requests/internal/fingerprint.h"
#include "requests/internal/forwarder.h"
#include "requests/internal/settler.h"

#include <algorithm>
#include <utility>

namespace saltvane::requests {
namespace {

constexpr size_t LargestWaiters = 16;
/// A key is remembered at least so long after its last run or try, also where its token expires sooner.
constexpr Duration RestMemory = 60s;

} // namespace

KeyedRequests::KeyedRequests(EntryContext& context)
    : context_(context)
    , claims_(context)
{
}

void KeyedRequests::begin(Exchange& exchange, model::Reason admission, Timestamp now)
{
    const KeyRecord* record = context_.keys.find(exchange.keyName());
    const bool isKnown = record && record->state != KeyState::Open;
    if (!isKnown && admission != model::Reason::None) {
        // A stopping host still asks the minter: only the minter knows what became of the key.
        const bool canAskMinter
            = admission == model::Reason::Stopping && identify(exchange, now).kind == KeyKind::Foreign;
        if (!canAskMinter)
            return context_.settler->giveUp(exchange, admission, DefaultRetryAfter, now);
    }
    if (!record)
        return beginUnknownKey(exchange, now);
    noteBody(exchange, now);
}

void KeyedRequests::beginUnknownKey(Exchange& exchange, Timestamp now)
{
    const Identity identity = identify(exchange, now);
    switch (identity.kind) {
    case KeyKind::Own:
    case KeyKind::CallerMade:
        return noteBody(exchange, now);
    case KeyKind::Foreign:
        return startAtHolder(exchange, identity.minter, identity.incarnation, now);
    case KeyKind::Expired:
        return tellUnknown(exchange, model::Reason::KeyExpired, now);
    case KeyKind::Invalid:
        return context_.settler->refuse(exchange,
            {.outcome = model::Outcome::NotRun, .reason = model::Reason::BadRequest, .field = std::string(KeyHeader)},
            now);
    }
}

KeyedRequests::Identity KeyedRequests::identify(const Exchange& exchange, Timestamp now) const
{
    const Result<TokenClaims, TokenError> token
        = context_.options.minter->read(exchange.idempotencyKey, exchange.service, now);
    if (token) {
        const TokenClaims& claims = token.value();
        const membership::HostIdentity& self = context_.options.self;
        const bool isOwn = claims.minter == self.host && claims.incarnation == self.incarnation;
        return {.kind = isOwn ? KeyKind::Own : KeyKind::Foreign,
            .minter = claims.minter,
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
    const bool wasForwarded = std::holds_alternative<LinkOrigin>(exchange.origin);
    if (isSelf || wasForwarded || !context_.options.hosts->isAlive(holder, incarnation))
        return tellUnknown(exchange, model::Reason::MinterGone, now);
    context_.forwarder->startAtMinter(exchange, holder, incarnation, now);
}

void KeyedRequests::noteBody(Exchange& exchange, Timestamp now)
{
    if (exchange.phase == Phase::Buffering && exchange.body.isFingerprintable())
        resolve(exchange, now);
}

void KeyedRequests::resolve(Exchange& exchange, Timestamp now)
{
    const uint64_t fingerprint = fingerprintOf(exchange.service.value(), exchange.method, exchange.path, exchange.body);
    KeyRecord* record = context_.keys.find(exchange.keyName());
    if (!record) {
        if (identify(exchange, now).kind == KeyKind::Expired)
            return tellUnknown(exchange, model::Reason::KeyExpired, now);
        record = addRecord(exchange, fingerprint, now);
    }
    if (!record)
        return context_.settler->giveUp(exchange, model::Reason::NoRoom, DefaultRetryAfter, now);
    if (record->fingerprint != fingerprint)
        return context_.settler->refuse(
            exchange, {.outcome = model::Outcome::NotRun, .reason = model::Reason::KeyConflict}, now);
    join(exchange, *record, now);
}

KeyRecord* KeyedRequests::addRecord(const Exchange& exchange, uint64_t fingerprint, Timestamp now)
{
    const Identity identity = identify(exchange, now);
    KeyRecord* record = context_.keys.add(exchange.keyName(), fingerprint, identity.expiry);
    if (record)
        record->needsClaim = identity.kind == KeyKind::CallerMade;
    return record;
}

void KeyedRequests::join(Exchange& exchange, KeyRecord& record, Timestamp now)
{
    switch (record.state) {
    case KeyState::Open:
        return run(exchange, record, now);
    case KeyState::Answered:
        return replay(exchange, record, now);
    case KeyState::Unknown:
        return tellUnknown(exchange, model::Reason::KeyInUse, now);
    case KeyState::Running:
        break;
    }
    if (record.waiters.size() >= LargestWaiters)
        return tellUnknown(exchange, model::Reason::KeyInUse, now);
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
        return context_.settler->giveUp(exchange, model::Reason::NoQuorum, DefaultRetryAfter, now);
    exchange.phase = Phase::Claiming;
    claims_.send(record, now);
}

void KeyedRequests::replay(Exchange& exchange, const KeyRecord& record, Timestamp now)
{
    if (!record.answer)
        return tellUnknown(exchange, model::Reason::KeyInUse, now);
    context_.counters->add(model::Counter::KeyReplays);
    context_.writer->writeWhole(exchange, record.answer->head, record.answer->body, true);
    context_.settler->finishAnswered(exchange, now);
}

void KeyedRequests::tellUnknown(Exchange& exchange, model::Reason reason, Timestamp now)
{
    context_.settler->refuse(exchange, {.outcome = model::Outcome::Unknown, .reason = reason}, now);
}

void KeyedRequests::keepAnswer(const Exchange& exchange, StoredAnswer answer)
{
    if (KeyRecord* record = context_.keys.find(exchange.keyName()))
        context_.keys.keepAnswer(*record, std::move(answer));
}

void KeyedRequests::endRun(Exchange& exchange, const Ending& ending, bool isToldToCaller, Timestamp now)
{
    exchange.isRunner = false;
    KeyRecord* record = context_.keys.find(exchange.keyName());
    if (!record || record->runner != exchange.id)
        return;
    const KeyName key = record->name;
    std::vector<ExchangeId> waiters = std::exchange(record->waiters, {});
    const bool hasRun = ending.outcome == model::Outcome::Answered;
    const bool isOpen = !hasRun && !exchange.mayHaveRun;
    record->restUntil = now + RestMemory;
    record->state = isOpen ? KeyState::Open : hasRun ? KeyState::Answered : KeyState::Unknown;
    if (isOpen && !(isToldToCaller && ending.outcome == model::Outcome::NotRun))
        return rerun(std::move(waiters), key, now);
    tellWaiters(std::move(waiters), key, ending, now);
}

void KeyedRequests::tellWaiters(
    std::vector<ExchangeId> waiters, const KeyName& key, const Ending& ending, Timestamp now)
{
    for (const ExchangeId id : waiters) {
        Exchange* waiter = context_.table.find(id);
        if (!waiter || waiter->phase != Phase::WaitingForRun)
            continue;
        const KeyRecord* record = context_.keys.find(key);
        if (ending.outcome == model::Outcome::Answered && record)
            replay(*waiter, *record, now);
        else
            context_.settler->refuse(*waiter, ending, now);
    }
}

void KeyedRequests::rerun(std::vector<ExchangeId> waiters, const KeyName& key, Timestamp now)
{
    for (const ExchangeId id : waiters) {
        Exchange* waiter = context_.table.find(id);
        KeyRecord* record = context_.keys.find(key);
        if (waiter && record && waiter->phase == Phase::WaitingForRun)
            join(*waiter, *record, now);
    }
}

void KeyedRequests::reopen(const KeyName& key)
{
    KeyRecord* record = context_.keys.find(key);
    if (record && record->state == KeyState::Unknown)
        record->state = KeyState::Open;
}

void KeyedRequests::leaveWaiters(const Exchange& exchange)
{
    if (KeyRecord* record = context_.keys.find(exchange.keyName()))
        std::erase(record->waiters, exchange.id);
}

bool KeyedRequests::isKnownNotRun(const Exchange& exchange, Timestamp now) const
{
    const KeyRecord* record = context_.keys.find(exchange.keyName());
    if (!record) {
        const KeyKind kind = identify(exchange, now).kind;
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
