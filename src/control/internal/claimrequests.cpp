/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/claimrequests.h"

#include "control/internal/commandcodec.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace saltvane::control {

namespace {

constexpr size_t MaxPendingClaims = 16 * 1024;

int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

ClaimRequests::ClaimRequests(const ControlReplicaOptions& options, Consensus& consensus, const ControlState& state)
    : options_(options)
    , consensus_(consensus)
    , state_(state)
{
}

void ClaimRequests::handle(const model::Delivery& delivery, const model::ClaimRequest& request, Timestamp now)
{
    if (!consensus_.isLeader() || !consensus_.isCurrent(now) || pending_.size() >= MaxPendingClaims)
        return reply(delivery.from, request.claim, {});
    const int64_t wallClock = std::max(options_.wallClockUnixMs(), state_.claims().clock());
    const ClaimKey command {.service = request.service,
        .key = request.key,
        .fingerprint = request.fingerprint,
        .holder = delivery.from,
        .holderIncarnation = delivery.fromIncarnation,
        .claim = request.claim,
        .expiresAtUnixMs = wallClock + std::max<int64_t>(toMilliseconds(request.retention), 1),
        .nowUnixMs = wallClock};
    if (const std::optional<ClaimOutcome> known = state_.claims().answerFor(command, wallClock))
        return reply(delivery.from, request.claim, *known);
    const LogPosition position = consensus_.propose(encodeCommand(command));
    pending_[position.index] = {.term = position.term, .host = delivery.from, .claim = request.claim};
}

void ClaimRequests::onApplied(const AppliedEntry& applied)
{
    const auto found = pending_.find(applied.position.index);
    if (found == pending_.end())
        return;
    const Pending pending = std::move(found->second);
    pending_.erase(found);
    const auto* outcome = std::get_if<ClaimOutcome>(&applied.outcome);
    const bool isOwn = outcome && pending.term == applied.position.term;
    if (isOwn && outcome->result == model::ClaimResult::Granted)
        consensus_.context().count(model::Counter::KeysClaimed);
    reply(pending.host, pending.claim, isOwn ? *outcome : ClaimOutcome {});
}

void ClaimRequests::advance()
{
    if (consensus_.isLeader() || pending_.empty())
        return;
    for (const auto& [index, pending] : std::exchange(pending_, {}))
        reply(pending.host, pending.claim, {});
}

void ClaimRequests::reply(const HostId& host, uint64_t claim, const ClaimOutcome& outcome)
{
    consensus_.send(host,
        model::ClaimReply {.claim = claim,
            .result = outcome.result,
            .holder = outcome.holder,
            .holderIncarnation = outcome.holderIncarnation});
}

} // namespace saltvane::control
