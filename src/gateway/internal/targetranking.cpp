/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/targetranking.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <xxhash.h>

namespace saltvane::gateway {

namespace {

/// About 500 bytes each. With more objects, cached ones are evicted and ranked again when needed.
constexpr size_t MaxObjects = 4096;
constexpr double MinUnit = 1e-300;

size_t indexOf(Proximity proximity) { return static_cast<size_t>(proximity); }

} // namespace

double TargetRanking::scoreOf(const GatewayTarget& target, uint64_t object)
{
    const std::array<uint64_t, 2> both {target.hash, object};
    constexpr int UnusedBits = 11;
    const double unit = static_cast<double>(XXH64(both.data(), sizeof(both), 0) >> UnusedBits) * 0x1p-53;
    return -static_cast<double>(target.record.slots) / std::log(std::max(unit, MinUnit));
}

size_t TargetRanking::size() const
{
    size_t all = 0;
    for (const auto& members : members_)
        all += members.size();
    return all;
}

size_t TargetRanking::size(Proximity proximity) const { return members_[indexOf(proximity)].size(); }

void TargetRanking::insert(std::vector<Ranked>& list, const Ranked& ranked, bool hasAll)
{
    if (!hasAll && (list.empty() || ranked.score < list.back().score))
        return;
    list.insert(std::ranges::upper_bound(list, ranked.score, std::ranges::greater {}, &Ranked::score), ranked);
    if (list.size() > MaxRanked)
        list.pop_back();
}

void TargetRanking::add(GatewayTarget& target, Proximity proximity)
{
    const size_t at = indexOf(proximity);
    for (auto& [object, lists] : objects_) {
        const bool hasAll = lists.best[at].size() == members_[at].size();
        if (lists.isValid[at])
            insert(lists.best[at], {.target = &target, .score = scoreOf(target, object)}, hasAll);
    }
    members_[at].push_back(&target);
}

void TargetRanking::remove(const GatewayTarget& target, Proximity proximity)
{
    const size_t at = indexOf(proximity);
    std::vector<GatewayTarget*>& members = members_[at];
    if (const auto found = std::ranges::find(members, &target); found != members.end()) {
        *found = members.back();
        members.pop_back();
    }
    constexpr size_t MinRanked = MaxRanked / 2;
    for (auto& [object, lists] : objects_) {
        std::vector<Ranked>& list = lists.best[at];
        std::erase_if(list, [&](const Ranked& ranked) { return ranked.target == &target; });
        lists.isValid[at] = lists.isValid[at] && (list.size() >= MinRanked || list.size() == members.size());
    }
}

void TargetRanking::rank(std::vector<Ranked>& list, uint64_t object, Proximity proximity) const
{
    const std::vector<GatewayTarget*>& members = members_[indexOf(proximity)];
    list.clear();
    list.reserve(MaxRanked + 1);
    for (GatewayTarget* target : members)
        insert(list, {.target = target, .score = scoreOf(*target, object)}, list.size() < MaxRanked);
}

std::span<const TargetRanking::Ranked> TargetRanking::best(uint64_t object, Proximity proximity)
{
    const bool isCached = objects_.contains(object);
    if (!isCached && objects_.size() >= MaxObjects)
        objects_.erase(objects_.begin());
    Lists& lists = objects_[object];
    const size_t at = indexOf(proximity);
    if (!lists.isValid[at])
        rank(lists.best[at], object, proximity);
    lists.isValid[at] = true;
    return lists.best[at];
}

std::vector<TargetRanking::Ranked> TargetRanking::sample(Proximity proximity, boost::random::mt19937_64& random) const
{
    const std::vector<GatewayTarget*>& members = members_[indexOf(proximity)];
    std::vector<Ranked> sampled;
    const uint64_t salt = random();
    // Consecutive members from a random position on: the order of members is arbitrary.
    const size_t first = members.empty() ? 0 : random() % members.size();
    for (size_t i = 0; i < std::min(members.size(), MaxRanked); ++i) {
        GatewayTarget* target = members[(first + i) % members.size()];
        sampled.push_back({.target = target, .score = scoreOf(*target, salt)});
    }
    std::ranges::sort(sampled, std::ranges::greater {}, &Ranked::score);
    return sampled;
}

} // namespace saltvane::gateway
