/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/callerwriter.h"
#include "requests/internal/finalizer.h"
#include "requests/internal/forwarder.h"
#include "requests/internal/keyedrequests.h"

#include <algorithm>
#include <utility>

namespace saltvane::requests {
namespace {

/// The record of a claimed key outlives its entry in the replicated log. Otherwise the log could grant the key again to
/// this host after the host has forgotten that it ran.
constexpr Duration ClaimRetentionMargin = 5min;

} // namespace

void KeyedRequests::handle(const model::ClaimReply& reply, Timestamp now)
{
    const std::optional<KeyName> key = claims_.acceptReply(reply);
    KeyRecord* record = key ? context_.keys.find(*key) : nullptr;
    if (!record || record->claim != reply.claim || record->isClaimed) {
        context_.counters->add(model::Counter::LateFrames);
        return;
    }
    const membership::HostIdentity& self = context_.options.self;
    const bool isClaimedHere = reply.holder == self.host && reply.holderIncarnation == self.incarnation;
    switch (reply.result) {
    case model::ClaimResult::Granted:
        if (isClaimedHere || reply.holder.isEmpty())
            return applyGrant(*record, now);
        return forwardToHolder(*record, reply, now);
    case model::ClaimResult::HeldElsewhere:
        if (isClaimedHere)
            return applyGrant(*record, now);
        return forwardToHolder(*record, reply, now);
    case model::ClaimResult::OtherFingerprint:
        return refuseAll(*record, {.outcome = model::Outcome::NotRun, .reason = model::Reason::KeyConflict}, now);
    case model::ClaimResult::NoQuorum:
        break;
    }
    Exchange* runner = context_.table.find(record->runner);
    if (runner && runner->phase == Phase::Claiming)
        context_.finalizer->giveUp(*runner, model::Reason::NoQuorum, DefaultRetryAfter, now);
}

void KeyedRequests::applyGrant(KeyRecord& record, Timestamp now)
{
    context_.counters->add(model::Counter::KeysClaimed);
    record.isClaimed = true;
    const auto service = context_.deployment->findService(record.name.service);
    const Duration retention = service ? context_.deployment->service(*service).keyRetention : Duration::zero();
    record.expiry = std::max(record.expiry, now + retention + ClaimRetentionMargin);
    Exchange* runner = context_.table.find(record.runner);
    if (record.state == KeyState::Running && runner && runner->phase == Phase::Claiming)
        context_.forwarder->start(*runner, now);
}

void KeyedRequests::forwardToHolder(KeyRecord& record, const model::ClaimReply& reply, Timestamp now)
{
    for (const ExchangeId id : detachExchanges(record)) {
        Exchange* exchange = context_.table.find(id);
        if (exchange && exchange->phase != Phase::Finalized)
            startAtHolder(*exchange, reply.holder, reply.holderIncarnation, now);
    }
}

void KeyedRequests::refuseAll(KeyRecord& record, const Completion& completion, Timestamp now)
{
    for (const ExchangeId id : detachExchanges(record)) {
        Exchange* exchange = context_.table.find(id);
        if (exchange && exchange->phase != Phase::Finalized)
            context_.finalizer->refuse(*exchange, completion, now);
    }
}

/// Returns all exchanges of a key that doesn't belong to this host, and erases its record.
std::vector<ExchangeId> KeyedRequests::detachExchanges(KeyRecord& record)
{
    std::vector<ExchangeId> ids;
    Exchange* runner = context_.table.find(record.runner);
    if (record.state == KeyState::Running && runner) {
        runner->isRunner = false;
        ids.push_back(runner->id);
    }
    ids.insert(ids.end(), record.waiters.begin(), record.waiters.end());
    context_.keys.erase(KeyName(record.name));
    return ids;
}

} // namespace saltvane::requests
