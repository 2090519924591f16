/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/internal/creditstore.h"

#include <algorithm>
#include <utility>

namespace saltvane::membership {

namespace {

/// Minimum time between two requests to one owner when credit is missing; doubled while it stays missing.
constexpr Duration MinMissInterval = 5ms;
/// One spare credit is requested for this many in use, so that a rise need not wait for a new request.
constexpr uint32_t UsedPerSpareCredit = 4;

} // namespace

CreditStore::CreditStore(const CreditOptions& options)
    : options_(options)
{
}

void CreditStore::setOwners(std::span<const Owner> owners, Timestamp)
{
    for (auto& [key, account] : accounts_)
        account.isCurrentOwner = false;
    std::map<std::pair<ServiceName, ZoneName>, uint32_t> ownersInZone;
    for (const Owner& owner : owners)
        ++ownersInZone[{owner.service, owner.zone}];
    for (const Owner& owner : owners) {
        OwnerAccount& account = accounts_[{owner.service, owner.host}];
        account.isCurrentOwner = true;
        account.zone = owner.zone;
        account.delay = owner.delay;
        account.ownersInZone = ownersInZone[{owner.service, owner.zone}];
    }
    for (auto& [key, account] : accounts_) {
        if (!account.isCurrentOwner)
            revokeWindow(account);
    }
}

void CreditStore::revokeWindow(OwnerAccount& account) const
{
    account.window = 0;
    account.isUnanswered = false;
    account.missInterval = {};
}

void CreditStore::handle(const HostId& from, const model::CreditGrant& grant, Timestamp now)
{
    const auto found = accounts_.find({grant.service, from});
    const bool isExpected
        = found != accounts_.end() && found->second.isUnanswered && found->second.sequence == grant.sequence;
    if (!isExpected) {
        count(model::Counter::StaleMessages);
        return;
    }
    OwnerAccount& account = found->second;
    const bool isGrowing = grant.window > account.window;
    account.isUnanswered = false;
    account.window = grant.window;
    account.endsAt = account.firstSentAt + grant.validFor;
    const Duration doubled = std::max(2 * account.missInterval, MinMissInterval);
    account.missInterval = isGrowing ? MinMissInterval : std::min(doubled, options_.requestInterval);
    if (account.missedRequests > 0 && now >= account.lastSentAt + account.missInterval)
        request(found->first, account, now);
}

void CreditStore::onOwnerLost(const HostId& owner, Timestamp)
{
    for (auto& [key, account] : accounts_) {
        if (key.owner == owner)
            revokeWindow(account);
    }
}

uint32_t CreditStore::freeCredit(const OwnerAccount& account, Timestamp now)
{
    if (!account.isCurrentOwner || now >= account.endsAt || account.inUse >= account.window)
        return 0;
    return account.window - account.inUse;
}

std::pair<CreditStore::OwnerAccounts::iterator, CreditStore::OwnerAccounts::iterator> CreditStore::accountsOf(
    const ServiceName& service)
{
    const auto first = accounts_.lower_bound({service, {}});
    const auto last
        = std::find_if(first, accounts_.end(), [&](const auto& item) { return item.first.service != service; });
    return {first, last};
}

bool CreditStore::hasCredit(const ServiceName& service, const ZoneName& zone, Timestamp now) const
{
    for (auto it = accounts_.lower_bound({service, {}}); it != accounts_.end() && it->first.service == service; ++it) {
        if (it->second.zone == zone && freeCredit(it->second, now) > 0)
            return true;
    }
    return false;
}

std::optional<HostId> CreditStore::useCredit(
    const ServiceName& service, const ZoneName& zone, std::span<const HostId> excluded, Timestamp now)
{
    std::vector<OwnerAccounts::iterator> best;
    uint32_t mostFree = 1;
    const auto [first, last] = accountsOf(service);
    for (auto it = first; it != last; ++it) {
        const uint32_t free = freeCredit(it->second, now);
        const bool isExcluded = std::ranges::find(excluded, it->first.owner) != excluded.end();
        if (it->second.zone != zone || isExcluded || free < mostFree)
            continue;
        if (free > mostFree)
            best.clear();
        mostFree = free;
        best.push_back(it);
    }
    if (best.empty())
        return std::nullopt;
    const auto chosen = best[tieBreaker_++ % best.size()];
    OwnerAccount& account = chosen->second;
    ++account.inUse;
    account.peakUse = std::max(account.peakUse, account.inUse);
    return chosen->first.owner;
}

void CreditStore::returnCredit(const HostId& owner, const ServiceName& service, Timestamp)
{
    const auto found = accounts_.find({service, owner});
    if (found != accounts_.end() && found->second.inUse > 0)
        --found->second.inUse;
}

void CreditStore::recordUnmetDemand(const ServiceName& service, const ZoneName& zone, Timestamp now)
{
    const auto [first, last] = accountsOf(service);
    for (auto it = first; it != last; ++it) {
        OwnerAccount& account = it->second;
        if (account.zone != zone || !account.isCurrentOwner)
            continue;
        ++account.missedRequests;
        if (!account.isUnanswered && now >= account.lastSentAt + account.missInterval)
            request(it->first, account, now);
    }
}

uint32_t CreditStore::wanted(const OwnerAccount& account) const
{
    const uint32_t used = std::max({account.peakUse, account.previousPeakUse, account.inUse});
    if (used == 0 && account.missedRequests == 0)
        return account.delay <= options_.idleWindowMaxDelay ? options_.idleWindow : 0;
    const uint32_t ownMissedRequests = (account.missedRequests + account.ownersInZone - 1) / account.ownersInZone;
    return used + ownMissedRequests + 1 + used / UsedPerSpareCredit;
}

bool CreditStore::isIdle(const OwnerAccount& account, Timestamp now) const
{
    const bool holdsWindow = account.window > 0 && now < account.endsAt;
    return !account.isUnanswered && !holdsWindow && wanted(account) == 0;
}

void CreditStore::request(const Key& key, OwnerAccount& account, Timestamp now)
{
    ++account.sequence;
    account.isUnanswered = true;
    account.firstSentAt = now;
    send(key, account, now);
    account.previousPeakUse = account.peakUse;
    account.peakUse = account.inUse;
    account.missedRequests = 0;
}

void CreditStore::send(const Key& key, OwnerAccount& account, Timestamp now)
{
    outgoing_.push_back({key.owner,
        model::CreditRequest {
            .service = key.service, .wanted = wanted(account), .inUse = account.inUse, .sequence = account.sequence}});
    account.lastSentAt = now;
    account.nextRequestAt = now + options_.requestInterval;
}

void CreditStore::tick(Timestamp now)
{
    std::erase_if(accounts_, [](const auto& item) { return !item.second.isCurrentOwner && item.second.inUse == 0; });
    for (auto& [key, account] : accounts_) {
        if (!account.isCurrentOwner || now < account.nextRequestAt || isIdle(account, now))
            continue;
        const bool isStillValid = now < account.firstSentAt + options_.windowLifetime;
        if (account.isUnanswered && isStillValid)
            send(key, account, now);
        else
            request(key, account, now);
    }
}

std::vector<model::OutgoingMessage> CreditStore::drainOutgoing() { return std::exchange(outgoing_, {}); }

void CreditStore::count(model::Counter counter) const
{
    if (options_.counters)
        options_.counters->add(counter);
}

} // namespace saltvane::membership
