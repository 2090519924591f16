/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/ownerduplicatefilter.h"

namespace saltvane::requests {

namespace {

constexpr size_t MaxRememberedEnds = 4096;

} // namespace

OwnerDuplicateFilter::Freshness OwnerDuplicateFilter::checkIncarnation(const HostId& host, Incarnation incarnation)
{
    const auto [entry, isNew] = peers_.try_emplace(host);
    Peer& peer = entry->second;
    if (isNew)
        peer.incarnation = incarnation;
    if (incarnation == peer.incarnation)
        return Freshness::Current;
    if (incarnation < peer.incarnation)
        return Freshness::Stale;
    peer = {.incarnation = incarnation};
    return Freshness::Restarted;
}

void OwnerDuplicateFilter::recordEnded(const ExchangeKey& key)
{
    const auto found = peers_.find(key.host);
    if (found == peers_.end() || found->second.incarnation != key.incarnation)
        return;
    Peer& peer = found->second;
    if (key.correlation.value <= peer.endedUpTo)
        return;
    peer.ended.insert(key.correlation.value);
    if (peer.ended.size() <= MaxRememberedEnds)
        return;
    peer.endedUpTo = *peer.ended.begin();
    peer.ended.erase(peer.ended.begin());
}

bool OwnerDuplicateFilter::hasEnded(const ExchangeKey& key) const
{
    const auto found = peers_.find(key.host);
    if (found == peers_.end() || found->second.incarnation != key.incarnation)
        return false;
    return key.correlation.value <= found->second.endedUpTo || found->second.ended.contains(key.correlation.value);
}

} // namespace saltvane::requests
