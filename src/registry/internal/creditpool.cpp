/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/creditpool.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace saltvane::registry {

namespace {

/// Each holder's part of a limit's burst is at least this many credits: small limits are divided among fewer hosts.
constexpr double MinBurstPerHolder = 2;
/// A limit without a burst must admit at least one request at a time.
constexpr double MinBurst = 1;
/// A round trip between distant regions and the processing of the answers.
constexpr Duration MaxPendingTime = 150ms;
/// When no host had credits, none is asked again for this long.
constexpr Duration ExhaustedBackoff = 100ms;
/// A transfer that is not answered within it counts as refused.
constexpr Duration TransferTimeout = 120ms;
/// A host requests credits ahead for this much of its own demand, and reserves as much before it grants any to others.
constexpr Duration DemandLookahead = 250ms;
constexpr double DemandTimeConstantSeconds = 1;
/// Credits per second: bounds the retry times of very low limits, which would be days.
constexpr double MinRateForRetryAfter = 0.01;
constexpr Duration MinRetryAfter = 100ms;
constexpr Duration MaxRetryAfter = 2s;
/// Buckets of limitStates_ that one tick scans for states to erase.
constexpr size_t BucketsPerTick = 4;

uint64_t scoreOf(const HostId& host, const model::LimitId& id)
{
    const uint64_t seed = XXH64(id.value().data(), id.value().size(), 0);
    return XXH64(host.value().data(), host.value().size(), seed);
}

} // namespace

CreditPool::CreditPool(HostId self, Timestamp startedAt)
    : self_(std::move(self))
    , startedAt_(startedAt)
{
}

void CreditPool::setHolders(std::vector<HostId> holders, Duration proofAge, Timestamp now)
{
    if (proofAge < LeaseDuration)
        provenAt_ = now - proofAge;
    size_t changes = 0;
    for (HostId& holder : holders) {
        const auto [known, isNew] = holders_.try_emplace(std::move(holder), now);
        known->second = now;
        changes += isNew ? 1 : 0;
    }
    changes += std::erase_if(holders_, [&](const auto& item) { return now - item.second > LeaseDuration; });
    holdersVersion_ += changes > 0 ? 1 : 0;
}

bool CreditPool::hasLease(Timestamp now) const
{
    // The other hosts measure the lease on their own clocks, from when they learned of a change.
    constexpr double UsedLeaseFraction = 0.8;
    return provenAt_ && toSeconds(now - *provenAt_) < toSeconds(LeaseDuration) * UsedLeaseFraction;
}

std::optional<model::RateLimit> CreditPool::limitOf(const model::LimitId& id) const
{
    const std::optional<model::RateLimit> ofAccount = limits_.find(id);
    return ofAccount ? ofAccount : targetLimits_.find(id);
}

CreditPool::LimitState* CreditPool::findState(const model::LimitId& id, Timestamp now)
{
    const std::optional<model::RateLimit> limit = limitOf(id);
    if (!limit || !hasLease(now))
        return nullptr;
    const auto [found, isNew] = limitStates_.try_emplace(id);
    LimitState& state = found->second;
    if (isNew)
        state.refilledAt = startedAt_; // The most it can have: this host started without credits.
    if (const uint64_t version = limits_.version() + targetLimits_.version() + holdersVersion_;
        state.shareVersion != version) {
        if (!isNew)
            refill(state, now);
        updateShare(state, id, *limit);
        state.shareVersion = version;
    }
    refill(state, now);
    return &state;
}

void CreditPool::updateShare(LimitState& state, const model::LimitId& id, const model::RateLimit& limit) const
{
    const double burst = std::max(limit.burst, MinBurst);
    const auto maxHolders = static_cast<size_t>(std::max(1.0, std::floor(burst / MinBurstPerHolder)));
    const size_t count = std::min(holders_.size(), maxHolders);
    state.holders.clear();
    for (const auto& [host, seenAt] : holders_)
        state.holders.push_back(host);
    if (count < holders_.size()) {
        std::ranges::sort(
            state.holders, std::ranges::greater {}, [&](const HostId& host) { return scoreOf(host, id); });
        state.holders.resize(count);
    }
    state.isHolder = std::ranges::find(state.holders, self_) != state.holders.end();
    state.ratePerHolder = limit.perSecond / static_cast<double>(count);
    const double fraction = state.isHolder ? 1 / static_cast<double>(count) : 0;
    state.share = {.perSecond = limit.perSecond * fraction, .burst = burst * fraction};
    state.credits = std::min(state.credits, state.share.burst);
}

void CreditPool::refill(LimitState& state, Timestamp now) const
{
    const double seconds = toSeconds(now - state.refilledAt);
    state.refilledAt = now;
    state.credits = std::min(state.share.burst, state.credits + state.share.perSecond * seconds);
}

void CreditPool::recordDemand(LimitState& state, uint32_t credits, Timestamp now) const
{
    state.demand *= std::exp(-toSeconds(now - state.demandUpdatedAt) / DemandTimeConstantSeconds);
    state.demand += credits / DemandTimeConstantSeconds;
    state.demandUpdatedAt = now;
}

bool CreditPool::isPeer(const HostId& host) const
{
    return holders_.contains(host) || std::ranges::find(peers_, host, &Peer::host) != peers_.end();
}

void CreditPool::handle(const HostId& from, const model::LimitCreditRequest& request, Timestamp now)
{
    recordLimits(from, request, now);
    const bool isTransfer = isPeer(from);
    for (const model::LimitCreditAsk& ask : request.asks)
        isTransfer ? handlePeerRequest(from, ask, now) : handleGatewayRequest(from, ask, now);
}

void CreditPool::recordTargetLimits(
    const HostId& from, std::span<const model::BackpressureNotice> notices, Timestamp now)
{
    for (const model::BackpressureNotice& notice : notices) {
        if (const auto newer = targetLimits_.record(notice, now))
            newerTargetLimits_[from].notices.push_back(*newer);
    }
}

void CreditPool::recordLimits(const HostId& from, const model::LimitCreditRequest& request, Timestamp now)
{
    for (const model::AccountLimitNotice& notice : request.accountLimits)
        limits_.record(notice);
    for (const model::BackpressureNotice& notice : request.targetLimits) {
        if (!targetLimits_.isKnown(notice))
            recordTargetLimits(from, {&notice, 1}, now);
    }
}

void CreditPool::addLimit(const model::LimitId& id, model::LimitCreditRequest& request, Timestamp now) const
{
    if (const auto accountLimit = limits_.noticeOf(id))
        request.accountLimits.push_back(*accountLimit);
    else if (const auto targetLimit = targetLimits_.noticeOf(id, now))
        request.targetLimits.push_back(*targetLimit);
}

void CreditPool::handlePeerRequest(const HostId& from, const model::LimitCreditAsk& ask, Timestamp now)
{
    LimitState* state = findState(ask.limit, now);
    uint32_t granted = 0;
    if (state != nullptr) {
        const double reserved = state->demand * toSeconds(DemandLookahead)
            * std::exp(-toSeconds(now - state->demandUpdatedAt) / DemandTimeConstantSeconds);
        granted = static_cast<uint32_t>(
            std::clamp(std::floor(state->credits - reserved), 0.0, static_cast<double>(ask.credits)));
        state->credits -= granted;
    }
    answer(from, {.ask = ask.ask, .credits = granted});
}

void CreditPool::handleGatewayRequest(const HostId& from, const model::LimitCreditAsk& ask, Timestamp now)
{
    LimitState* state = findState(ask.limit, now);
    if (state == nullptr || ask.credits == 0)
        return answer(from, {.ask = ask.ask});
    recordDemand(*state, ask.credits, now);
    if (state->pending.empty() && state->credits >= ask.credits) {
        state->credits -= ask.credits;
        return answer(from, {.ask = ask.ask, .credits = ask.credits});
    }
    if (now < state->exhaustedUntil)
        return refuse(*state, from, ask, now);
    state->pending.push_back({.from = from, .ask = ask, .receivedAt = now});
    pendingLimits_.insert(ask.limit);
    if (state->pendingTransfers == 0 && !requestFromPeers(ask.limit, *state, now))
        refusePending(ask.limit, *state, now);
}

bool CreditPool::requestFromPeers(const model::LimitId& id, LimitState& state, Timestamp now)
{
    double needed = state.isHolder ? state.demand * toSeconds(DemandLookahead) : 0;
    for (const PendingRequest& pending : state.pending)
        needed += pending.ask.credits;
    while (state.requestedFrom != Reach::All) {
        state.requestedFrom = state.requestedFrom == Reach::Nobody ? Reach::Region : Reach::All;
        const bool isSameRegion = state.requestedFrom == Reach::Region;
        std::vector<HostId> requestedPeers;
        for (const Peer& peer : peers_) {
            if (peer.isSameRegion == isSameRegion && std::ranges::find(state.holders, peer.host) != state.holders.end())
                requestedPeers.push_back(peer.host);
        }
        const auto creditsPerPeer = static_cast<uint32_t>(
            std::ceil(needed / static_cast<double>(std::max<size_t>(requestedPeers.size(), 1))));
        for (const HostId& peer : requestedPeers) {
            transfers_.emplace(++lastTransfer_, Transfer {.id = id, .requestedAt = now});
            model::LimitCreditRequest& request = requests_[peer];
            request.asks.push_back({.ask = lastTransfer_, .limit = id, .credits = creditsPerPeer});
            addLimit(id, request, now);
        }
        state.pendingTransfers = requestedPeers.size();
        if (!requestedPeers.empty())
            return true;
    }
    return false;
}

void CreditPool::handle(const HostId& /*from*/, const model::LimitCreditReply& reply, Timestamp now)
{
    for (const model::LimitCreditAnswer& answer : reply.answers) {
        const auto found = transfers_.find(answer.ask);
        if (found == transfers_.end())
            continue; // The answer came after the timeout: its credits are lost.
        const model::LimitId id = found->second.id;
        transfers_.erase(found);
        completeTransfer(id, answer.credits, now);
    }
}

void CreditPool::completeTransfer(const model::LimitId& id, uint32_t credits, Timestamp now)
{
    // Also without a limit or a lease in force: a transfer that stayed pending would prevent all later ones.
    if (const auto found = limitStates_.find(id); found != limitStates_.end() && found->second.pendingTransfers > 0)
        --found->second.pendingTransfers;
    LimitState* state = findState(id, now);
    if (state == nullptr)
        return;
    state->credits += credits;
    servePending(id, *state);
    state->credits = std::min(state->credits, state->share.burst);
    if (state->pendingTransfers > 0 || state->pending.empty())
        return;
    if (!requestFromPeers(id, *state, now))
        refusePending(id, *state, now);
}

void CreditPool::servePending(const model::LimitId& id, LimitState& state)
{
    while (!state.pending.empty() && state.credits >= state.pending.front().ask.credits) {
        const PendingRequest& first = state.pending.front();
        state.credits -= first.ask.credits;
        answer(first.from, {.ask = first.ask.ask, .credits = first.ask.credits});
        state.pending.pop_front();
    }
    if (state.pending.empty())
        onPendingCleared(id, state);
}

void CreditPool::onPendingCleared(const model::LimitId& id, LimitState& state)
{
    state.requestedFrom = Reach::Nobody;
    pendingLimits_.erase(id);
}

void CreditPool::refusePending(const model::LimitId& id, LimitState& state, Timestamp now)
{
    state.exhaustedUntil = now + ExhaustedBackoff;
    for (const PendingRequest& pending : state.pending)
        refuse(state, pending.from, pending.ask, now);
    state.pending.clear();
    onPendingCleared(id, state);
}

/// Spaces the retry times of refused callers by the time one credit takes, so that they don't retry all at once.
void CreditPool::refuse(LimitState& state, const HostId& to, const model::LimitCreditAsk& ask, Timestamp now)
{
    const Duration perCredit = fromSeconds(1 / std::max(state.ratePerHolder, MinRateForRetryAfter));
    state.lastRetryAt = std::min(std::max(state.lastRetryAt, now) + perCredit, now + MaxRetryAfter);
    answer(to, {.ask = ask.ask, .retryAfter = std::max(state.lastRetryAt - now, MinRetryAfter)});
}

void CreditPool::answer(const HostId& to, const model::LimitCreditAnswer& answer)
{
    replies_[to].answers.push_back(answer);
}

void CreditPool::tick(Timestamp now)
{
    while (!transfers_.empty() && transfers_.begin()->second.requestedAt + TransferTimeout <= now) {
        const model::LimitId id = transfers_.begin()->second.id;
        transfers_.erase(transfers_.begin());
        completeTransfer(id, 0, now);
    }
    const std::vector<model::LimitId> ids(pendingLimits_.begin(), pendingLimits_.end());
    for (const model::LimitId& id : ids) {
        LimitState* state = findState(id, now);
        if (state == nullptr) { // The limit was removed, or this host has no lease: gateways request again.
            dropPending(id);
            continue;
        }
        servePending(id, *state);
        if (!state->pending.empty() && now - state->pending.front().receivedAt >= MaxPendingTime)
            refusePending(id, *state, now);
    }
    eraseFull(now);
    targetLimits_.expire(now);
}

void CreditPool::dropPending(const model::LimitId& id)
{
    LimitState& state = limitStates_.at(id);
    for (const PendingRequest& pending : state.pending)
        answer(pending.from, {.ask = pending.ask.ask});
    state.pending.clear();
    onPendingCleared(id, state);
}

/// A state with a full burst can be erased: it is created full again on the next request.
void CreditPool::eraseFull(Timestamp now)
{
    std::vector<model::LimitId> full;
    for (size_t i = 0; i < BucketsPerTick; ++i) {
        nextBucket_ = (nextBucket_ + 1) % limitStates_.bucket_count();
        for (auto item = limitStates_.begin(nextBucket_); item != limitStates_.end(nextBucket_); ++item) {
            const LimitState& state = item->second;
            const double credits = state.credits + state.share.perSecond * toSeconds(now - state.refilledAt);
            if (state.pending.empty() && state.pendingTransfers == 0 && credits >= state.share.burst)
                full.push_back(item->first);
        }
    }
    for (const model::LimitId& id : full)
        limitStates_.erase(id);
}

std::vector<model::OutgoingMessage> CreditPool::drainOutgoing()
{
    std::vector<model::OutgoingMessage> outgoing;
    for (auto& [host, request] : requests_)
        outgoing.push_back({.to = host, .message = std::move(request)});
    for (auto& [host, reply] : replies_)
        outgoing.push_back({.to = host, .message = std::move(reply)});
    for (auto& [host, report] : newerTargetLimits_)
        outgoing.push_back({.to = host, .message = std::move(report)});
    requests_.clear();
    replies_.clear();
    newerTargetLimits_.clear();
    return outgoing;
}

} // namespace saltvane::registry
