/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/keyclaims.h"

namespace saltvane::requests {
namespace {

constexpr Duration ResendInterval = 200ms;
constexpr Duration ReplyTimeout = 60s;
/// Separates the claim numbers of successive incarnations of this host.
constexpr int IncarnationShift = 32;

bool needsResend(const KeyRecord& record)
{
    return record.needsClaim && !record.isClaimed && record.state == KeyState::Running;
}

} // namespace

KeyClaims::KeyClaims(EntryContext& context)
    : context_(context)
    , lastClaim_(context.options.self.incarnation.value << IncarnationShift)
{
}

void KeyClaims::send(KeyRecord& record, Timestamp now)
{
    if (record.claim == 0)
        record.claim = ++lastClaim_;
    pending_[record.claim] = {.key = record.name, .nextSendAt = now + ResendInterval, .expiresAt = now + ReplyTimeout};
    transmit(record);
}

std::optional<KeyName> KeyClaims::acceptReply(const model::ClaimReply& reply)
{
    const auto found = pending_.find(reply.claim);
    if (found == pending_.end())
        return std::nullopt;
    KeyName key = std::move(found->second.key);
    pending_.erase(found);
    return key;
}

void KeyClaims::onLeaderChanged()
{
    for (auto& [claim, pending] : pending_)
        pending.nextSendAt = {};
}

void KeyClaims::tick(Timestamp now)
{
    for (auto position = pending_.begin(); position != pending_.end();) {
        Pending& pending = position->second;
        const KeyRecord* record = context_.keys.find(pending.key);
        const bool isCurrent = record && record->claim == position->first;
        if (!isCurrent || now >= pending.expiresAt) {
            position = pending_.erase(position);
            continue;
        }
        if (now >= pending.nextSendAt && needsResend(*record)) {
            pending.nextSendAt = now + ResendInterval;
            pending.expiresAt = now + ReplyTimeout;
            transmit(*record);
        }
        ++position;
    }
}

void KeyClaims::transmit(const KeyRecord& record)
{
    if (context_.controlLeader.isEmpty())
        return;
    const auto service = context_.deployment->findService(record.name.service);
    if (!service)
        return;
    context_.send(context_.controlLeader,
        model::ClaimRequest {.claim = record.claim,
            .service = record.name.service,
            .key = record.name.key,
            .fingerprint = record.fingerprint,
            .retention = context_.deployment->service(*service).keyRetention});
}

} // namespace saltvane::requests
