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

/// A host with a share holds this many credits of a limit's burst at the least: small limits are shared by fewer hosts.
constexpr double LeastBurstShare = 2;
/// Limits without a burst: one request at a time has to fit.
constexpr double LeastBurst = 1;
/// Asks wait no longer than a round trip between far regions and its answers' work take.
constexpr Duration LongestWait = 150ms;
/// Where no host had any, none is asked again meanwhile.
constexpr Duration DryPeriod = 100ms;
/// A transfer that is not answered by then is counted as refused.
constexpr Duration TransferTimeout = 120ms;
/// For this much of the own demand a host asks ahead, and keeps what it has before others.
constexpr Duration DemandAhead = 250ms;
constexpr double DemandMemorySeconds = 1;
/// Credits a second; limits far below it don't have callers wait for days.
constexpr double LeastShareForPromise = 0.01;
constexpr Duration LeastRetryAfter = 100ms;
constexpr Duration MostRetryAfter = 2s;
/// Of the table of holdings, looked through for those that are full.
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
    if (proofAge < LeaseTime)
        provenAt_ = now - proofAge;
    size_t changes = 0;
    for (HostId& holder : holders) {
        const auto [known, isNew] = holders_.try_emplace(std::move(holder), now);
        known->second = now;
        changes += isNew ? 1 : 0;
    }
    changes += std::erase_if(holders_, [&](const auto& item) { return now - item.second > LeaseTime; });
    holdersVersion_ += changes > 0 ? 1 : 0;
}

bool CreditPool::isLeased(Timestamp now) const
{
    constexpr double UsedPart = 0.8; // The others count from when they heard of a change, on clocks of their own.
    return provenAt_ && toSeconds(now - *provenAt_) < toSeconds(LeaseTime) * UsedPart;
}

std::optional<model::RateLimit> CreditPool::limitOf(const model::LimitId& id) const
{
    const std::optional<model::RateLimit> ofAccount = limits_.find(id);
    return ofAccount ? ofAccount : targetLimits_.find(id);
}

CreditPool::Holding* CreditPool::holdingOf(const model::LimitId& id, Timestamp now)
{
    const std::optional<model::RateLimit> limit = limitOf(id);
    if (!limit || !isLeased(now))
        return nullptr;
    const auto [found, isNew] = holdings_.try_emplace(id);
    Holding& holding = found->second;
    if (isNew)
        holding.filledAt = startedAt_; // As full as it can be since this host started with none.
    if (const uint64_t version = limits_.version() + targetLimits_.version() + holdersVersion_;
        holding.shareAsOf != version) {
        if (!isNew)
            fill(holding, now);
        updateShare(holding, id, *limit);
        holding.shareAsOf = version;
    }
    fill(holding, now);
    return &holding;
}

void CreditPool::updateShare(Holding& holding, const model::LimitId& id, const model::RateLimit& limit) const
{
    const double burst = std::max(limit.burst, LeastBurst);
    const auto wanted = static_cast<size_t>(std::max(1.0, std::floor(burst / LeastBurstShare)));
    const size_t count = std::min(holders_.size(), wanted);
    holding.holders.clear();
    for (const auto& [host, seenAt] : holders_)
        holding.holders.push_back(host);
    if (count < holders_.size()) {
        std::ranges::sort(
            holding.holders, std::ranges::greater {}, [&](const HostId& host) { return scoreOf(host, id); });
        holding.holders.resize(count);
    }
    holding.isHolder = std::ranges::find(holding.holders, self_) != holding.holders.end();
    holding.usualShare = limit.perSecond / static_cast<double>(count);
    const double part = holding.isHolder ? 1 / static_cast<double>(count) : 0;
    holding.share = {.perSecond = limit.perSecond * part, .burst = burst * part};
    holding.credits = std::min(holding.credits, holding.share.burst);
}

void CreditPool::fill(Holding& holding, Timestamp now) const
{
    const double seconds = toSeconds(now - holding.filledAt);
    holding.filledAt = now;
    holding.credits = std::min(holding.share.burst, holding.credits + holding.share.perSecond * seconds);
}

void CreditPool::noteDemand(Holding& holding, uint32_t credits, Timestamp now) const
{
    holding.demand *= std::exp(-toSeconds(now - holding.demandAt) / DemandMemorySeconds);
    holding.demand += credits / DemandMemorySeconds;
    holding.demandAt = now;
}

bool CreditPool::isPeer(const HostId& host) const
{
    return holders_.contains(host) || std::ranges::find(peers_, host, &Peer::host) != peers_.end();
}

void CreditPool::handle(const HostId& from, const model::LimitCreditRequest& request, Timestamp now)
{
    const bool isTransfer = isPeer(from);
    for (const model::LimitCreditAsk& ask : request.asks)
        isTransfer ? answerPeer(from, ask, now) : answerGateway(from, ask, now);
}

void CreditPool::answerPeer(const HostId& from, const model::LimitCreditAsk& ask, Timestamp now)
{
    Holding* holding = holdingOf(ask.limit, now);
    uint32_t given = 0;
    if (holding != nullptr) {
        const double kept = holding->demand * toSeconds(DemandAhead)
            * std::exp(-toSeconds(now - holding->demandAt) / DemandMemorySeconds);
        given = static_cast<uint32_t>(
            std::clamp(std::floor(holding->credits - kept), 0.0, static_cast<double>(ask.credits)));
        holding->credits -= given;
    }
    answer(from, {.ask = ask.ask, .credits = given});
}

void CreditPool::answerGateway(const HostId& from, const model::LimitCreditAsk& ask, Timestamp now)
{
    Holding* holding = holdingOf(ask.limit, now);
    if (holding == nullptr || ask.credits == 0)
        return answer(from, {.ask = ask.ask});
    noteDemand(*holding, ask.credits, now);
    if (holding->waiting.empty() && holding->credits >= ask.credits) {
        holding->credits -= ask.credits;
        return answer(from, {.ask = ask.ask, .credits = ask.credits});
    }
    if (now < holding->dryUntil)
        return refuse(*holding, from, ask, now);
    holding->waiting.push_back({.from = from, .ask = ask, .since = now});
    waitingLimits_.insert(ask.limit);
    if (holding->transfersAsked == 0 && !askPeers(ask.limit, *holding, now))
        refuseWaiting(ask.limit, *holding, now);
}

bool CreditPool::askPeers(const model::LimitId& id, Holding& holding, Timestamp now)
{
    double needed = holding.isHolder ? holding.demand * toSeconds(DemandAhead) : 0;
    for (const Waiting& waiting : holding.waiting)
        needed += waiting.ask.credits;
    while (holding.askedUpTo != Reach::All) {
        holding.askedUpTo = holding.askedUpTo == Reach::Nobody ? Reach::Region : Reach::All;
        const bool isNear = holding.askedUpTo == Reach::Region;
        std::vector<HostId> asked;
        for (const Peer& peer : peers_) {
            if (peer.isNear == isNear && std::ranges::find(holding.holders, peer.host) != holding.holders.end())
                asked.push_back(peer.host);
        }
        const auto each
            = static_cast<uint32_t>(std::ceil(needed / static_cast<double>(std::max<size_t>(asked.size(), 1))));
        for (const HostId& peer : asked) {
            transfers_.emplace(++lastTransfer_, Transfer {.id = id, .askedAt = now});
            requests_[peer].asks.push_back({.ask = lastTransfer_, .limit = id, .credits = each});
        }
        holding.transfersAsked = asked.size();
        if (!asked.empty())
            return true;
    }
    return false;
}

void CreditPool::handle(const HostId& /*from*/, const model::LimitCreditReply& reply, Timestamp now)
{
    for (const model::LimitCreditAnswer& answer : reply.answers) {
        const auto found = transfers_.find(answer.ask);
        if (found == transfers_.end())
            continue; // Too late: these credits are lost.
        const model::LimitId id = found->second.id;
        transfers_.erase(found);
        if (Holding* holding = holdingOf(id, now)) {
            holding->credits += answer.credits;
            serveWaiting(id, *holding);
            holding->credits = std::min(holding->credits, holding->share.burst);
            noteTransferEnded(id, *holding, now);
        }
    }
}

void CreditPool::noteTransferEnded(const model::LimitId& id, Holding& holding, Timestamp now)
{
    if (holding.transfersAsked > 0)
        --holding.transfersAsked;
    if (holding.transfersAsked > 0 || holding.waiting.empty())
        return;
    if (!askPeers(id, holding, now))
        refuseWaiting(id, holding, now);
}

void CreditPool::serveWaiting(const model::LimitId& id, Holding& holding)
{
    while (!holding.waiting.empty() && holding.credits >= holding.waiting.front().ask.credits) {
        const Waiting& first = holding.waiting.front();
        holding.credits -= first.ask.credits;
        answer(first.from, {.ask = first.ask.ask, .credits = first.ask.credits});
        holding.waiting.pop_front();
    }
    if (holding.waiting.empty())
        noteQuenched(id, holding);
}

void CreditPool::noteQuenched(const model::LimitId& id, Holding& holding)
{
    holding.askedUpTo = Reach::Nobody;
    waitingLimits_.erase(id);
}

void CreditPool::refuseWaiting(const model::LimitId& id, Holding& holding, Timestamp now)
{
    holding.dryUntil = now + DryPeriod;
    for (const Waiting& waiting : holding.waiting)
        refuse(holding, waiting.from, waiting.ask, now);
    holding.waiting.clear();
    noteQuenched(id, holding);
}

/// Each caller that is refused is told another time, as far apart as credits come, so that they don't return as one.
void CreditPool::refuse(Holding& holding, const HostId& to, const model::LimitCreditAsk& ask, Timestamp now)
{
    const Duration perCredit = fromSeconds(1 / std::max(holding.usualShare, LeastShareForPromise));
    holding.promisedUntil = std::min(std::max(holding.promisedUntil, now) + perCredit, now + MostRetryAfter);
    answer(to, {.ask = ask.ask, .retryAfter = std::max(holding.promisedUntil - now, LeastRetryAfter)});
}

void CreditPool::answer(const HostId& to, const model::LimitCreditAnswer& answer)
{
    replies_[to].answers.push_back(answer);
}

void CreditPool::tick(Timestamp now)
{
    while (!transfers_.empty() && transfers_.begin()->second.askedAt + TransferTimeout <= now) {
        const model::LimitId id = transfers_.begin()->second.id;
        transfers_.erase(transfers_.begin());
        if (Holding* holding = holdingOf(id, now))
            noteTransferEnded(id, *holding, now);
    }
    const std::vector<model::LimitId> ids(waitingLimits_.begin(), waitingLimits_.end());
    for (const model::LimitId& id : ids) {
        Holding* holding = holdingOf(id, now);
        if (holding == nullptr) { // It lost its limit, or itself: whoever waits asks again.
            dropWaiting(id);
            continue;
        }
        serveWaiting(id, *holding);
        if (!holding->waiting.empty() && now - holding->waiting.front().since >= LongestWait)
            refuseWaiting(id, *holding, now);
    }
    forgetIdle(now);
    targetLimits_.expire(now);
}

void CreditPool::dropWaiting(const model::LimitId& id)
{
    Holding& holding = holdings_.at(id);
    for (const Waiting& waiting : holding.waiting)
        answer(waiting.from, {.ask = waiting.ask.ask});
    holding.waiting.clear();
    noteQuenched(id, holding);
}

/// What is full is made anew as full when it is asked for again.
void CreditPool::forgetIdle(Timestamp now)
{
    std::vector<model::LimitId> idle;
    for (size_t i = 0; i < BucketsPerTick; ++i) {
        nextBucket_ = (nextBucket_ + 1) % holdings_.bucket_count();
        for (auto item = holdings_.begin(nextBucket_); item != holdings_.end(nextBucket_); ++item) {
            const Holding& holding = item->second;
            const double credits = holding.credits + holding.share.perSecond * toSeconds(now - holding.filledAt);
            if (holding.waiting.empty() && holding.transfersAsked == 0 && credits >= holding.share.burst)
                idle.push_back(item->first);
        }
    }
    for (const model::LimitId& id : idle)
        holdings_.erase(id);
}

std::vector<model::Outgoing> CreditPool::takeOutgoing()
{
    std::vector<model::Outgoing> outgoing;
    for (auto& [host, request] : requests_)
        outgoing.push_back({.to = host, .message = std::move(request)});
    for (auto& [host, reply] : replies_)
        outgoing.push_back({.to = host, .message = std::move(reply)});
    requests_.clear();
    replies_.clear();
    return outgoing;
}

} // namespace saltvane::registry
