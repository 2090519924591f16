/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/placement.h"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace saltvane::gateway {

namespace {

/// Of an object's targets so many are weighed against each other. All but the first must be quicker by a margin, so
/// that objects don't wander.
constexpr size_t ChoicesWeighed = 3;
constexpr double MarginOfOthers = 1.25;
/// Targets queue some requests beyond their slots and refuse the rest.
constexpr double MostLoadPerSlot = 3;
/// Of the objective, by rank: how late an answer may be expected so that the request still gets a place. In an overload
/// all answers come as late as this allows; with less of it, requests for cold objects are refused beside free slots.
constexpr std::array<double, 3> LatenessByRank {2.1, 1.7, 1.3};
constexpr double PartOfTimeLeft = 0.9;

/// Single requests that may leave the region their object belongs to, per request sent, and how many may add up.
constexpr double DetoursPerRequest = 0.02;
constexpr double MostDetours = 4;

/// A route whose targets neither answered nor were tried for so long gets a request through to a free slot, whatever
/// its times say. Times are learnt from answers: once they are over the time that callers have nothing else would ever
/// correct them, and idle targets that answer in 200 ms get none of a route's requests. One request each two seconds
/// and gateway may come late for it.
constexpr Duration TrialPeriod = 2s;
constexpr size_t MostTrialRoutes = 1024;

constexpr Duration LeastRetryAfter = 100ms;
constexpr Duration MostRetryAfter = 400ms;

uint64_t mix(uint64_t left, uint64_t right)
{
    const std::array<uint64_t, 2> both {left, right};
    return XXH64(both.data(), sizeof(both), 0);
}

/// A hash as a number from 0 to under 1.
double unit(uint64_t hash)
{
    constexpr int UnusedBits = 11;
    return static_cast<double>(hash >> UnusedBits) * 0x1p-53;
}

double latenessOf(uint32_t rank) { return LatenessByRank.at(std::min<size_t>(rank, LatenessByRank.size() - 1)); }

/// An account's rank goes before its requests' routes': these tell apart what is between it and the next one.
double latenessOf(const PlacementQuery& query)
{
    if (query.account == nullptr || !query.account->rank)
        return latenessOf(query.route.rank);
    const double own = latenessOf(*query.account->rank);
    const double next = latenessOf(*query.account->rank + 1);
    const auto ranks = static_cast<double>(LatenessByRank.size());
    return own - (own - next) * std::min<double>(query.route.rank, ranks - 1) / ranks;
}

/// Permitted regions; none named: all.
bool isAmong(std::span<const RegionName> regions, const RegionName& region)
{
    return regions.empty() || std::ranges::find(regions, region) != regions.end();
}

} // namespace

Placement::Placement(TargetSet& targets, const RegionSplit& split, uint64_t seed)
    : targets_(targets)
    , split_(split)
    , random_(seed)
{
}

bool Placement::isWarm(const std::optional<uint64_t>& object, const GatewayTarget& target, Timestamp now) const
{
    return object && warmObjects_.isWarm(*object, target.startHash, now);
}

Duration Placement::estimate(const GatewayTarget& target, Duration work, Timestamp now) const
{
    const double slots = std::max(target.record.slots, 1U);
    const double waiting = std::max(0.0, target.load(now) + 1 - slots) / slots;
    const double queued = toSeconds(workTimes_.sentTo(target.record.service));
    return fromSeconds(toSeconds(work) + waiting * queued);
}

void Placement::noteAnswer(GatewayTarget& target, const Answer& answer, Timestamp now)
{
    if (const auto seen = seenAt_.find(answer.route); seen != seenAt_.end())
        seen->second = now;
    target.noteAnswered(now);
    if (answer.object)
        warmObjects_.note(*answer.object, target.startHash, now);
    const ServiceName& service = target.record.service;
    const double slots = std::max(target.record.slots, 1U);
    const double waiting = std::max(0.0, answer.loadAtStart + 1 - slots) / slots;
    workTimes_.note(service, answer.route, {.choice = answer.choice, .taken = answer.taken, .hasWaited = waiting > 0});
}

bool Placement::isPermitted(const GatewayTarget& target, const PlacementQuery& query) const
{
    const RegionName& region = target.zone->region;
    if (!isAmong(query.route.permittedRegions, region))
        return false;
    if (query.account != nullptr && !isAmong(query.account->permittedRegions, region))
        return false;
    return std::ranges::find(query.tried, target.id()) == query.tried.end();
}

bool Placement::fits(
    const GatewayTarget& target, Duration estimate, bool isLikelyWarm, const PlacementQuery& query, Timestamp now) const
{
    if (target.load(now) + 1 > target.record.slots * MostLoadPerSlot)
        return false;
    const Duration left = fromSeconds(toSeconds(query.left) * PartOfTimeLeft);
    // Refusing what a free slot could start on now helps nobody, where the object can be expected to be warm: cold work
    // takes several times as long, and in an overload others wait for the slot.
    const bool hasFreeSlot = isLikelyWarm && target.load(now) + 1 <= target.record.slots;
    if (hasFreeSlot || query.isRepeat || query.route.objective <= Duration::zero())
        return estimate <= left;
    const Duration wanted = fromSeconds(toSeconds(query.route.objective) * latenessOf(query));
    return estimate <= std::min(left, wanted - query.elapsed);
}

Placed Placement::best(Candidates& candidates, const PlacementQuery& query, Timestamp now) const
{
    const WorkTimes::Times usual = workTimes_.ofRoute(query.service.name, query.route.name);
    const size_t choices = std::min(candidates.size(), ChoicesWeighed);
    const auto middle = candidates.begin() + static_cast<ptrdiff_t>(choices);
    std::ranges::partial_sort(candidates, middle, std::ranges::greater {}, &Candidate::rank);
    // Past them all gateways and objects fill the same targets first: cold work costs few targets what they have warm.
    std::ranges::sort(middle, candidates.end(), {}, [](const Candidate& candidate) { return candidate.target->hash; });
    Placed placed;
    double least = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        // Past the object's own targets any that has room will do.
        if (i >= choices && placed.target != nullptr)
            break;
        GatewayTarget& target = *candidates[i].target;
        const Choice choice = i == 0 ? Choice::First : (i == 1 ? Choice::Second : Choice::Other);
        const bool isLikelyWarm = isWarm(query.object, target, now);
        const Choice asIf = isLikelyWarm ? Choice::First : choice;
        const Duration expected = estimate(target, usual.of(asIf), now);
        const double cost = toSeconds(expected) * (i == 0 ? 1 : MarginOfOthers);
        if (!fits(target, expected, asIf == Choice::First, query, now) || (placed.target != nullptr && cost >= least))
            continue;
        placed = {.target = &target, .choice = choice, .isLikelyWarm = isLikelyWarm, .work = usual.of(asIf)};
        least = cost;
    }
    return placed;
}

Placed Placement::trial(std::span<const Candidate> candidates, const PlacementQuery& query, Timestamp now)
{
    // A caller can't send it again, and would not learn whether it ran.
    if (query.isRepeat || query.route.kind == model::RouteKind::AtMostOnce)
        return {};
    const auto free = std::ranges::find_if(candidates,
        [&](const Candidate& candidate) { return candidate.target->load(now) + 1 <= candidate.target->record.slots; });
    if (free == candidates.end())
        return {};
    const auto [seen, isNew] = seenAt_.try_emplace(query.route.name, Timestamp {});
    if (now - seen->second < TrialPeriod)
        return {};
    seen->second = now;
    if (seenAt_.size() > MostTrialRoutes)
        seenAt_.erase(std::ranges::min_element(seenAt_, {}, [](const auto& item) { return item.second; }));
    return {.target = free->target, .choice = Choice::First, .work = workTimes_.ofService(query.service.name).first};
}

bool Placement::trySpendDetour(Timestamp /*now*/)
{
    if (detours_ < 1)
        return false;
    detours_ -= 1;
    return true;
}

void Placement::addTo(Groups& groups, std::span<const TargetRanking::Ranked> ranked, Nearness nearness,
    const PlacementQuery& query, Timestamp now) const
{
    const bool isLarge = query.route.kind == model::RouteKind::LargeRead;
    const bool isAway = nearness == Nearness::Away;
    const double weight = isLarge || isAway ? 1 : split_.homeWeight(query.service.name);
    Candidates& near = isLarge && nearness == Nearness::Zone ? groups.zone : groups.region;
    Candidates& group = isLarge && isAway ? groups.away : near;
    for (const auto& [target, score] : ranked) {
        if (!isPermitted(*target, query) || (query.isWithoutCredit && target->backpressure.limit))
            continue;
        const Timestamp closedUntil = target->backpressure.closedUntil();
        if (targets_.isUsable(*target, query.service, now))
            group.push_back({.target = target, .rank = score * weight});
        else if (now < closedUntil && target->isAvailable(now))
            groups.reopensAt = std::min(groups.reopensAt.value_or(closedUntil), closedUntil);
    }
}

Placement::Groups Placement::groupsFor(const PlacementQuery& query, uint64_t object, Timestamp now)
{
    Groups groups;
    TargetRanking* ranking = targets_.ranking(query.service.name);
    if (ranking == nullptr)
        return groups;
    if (query.object) {
        for (const Nearness nearness : AllNearnesses)
            addTo(groups, ranking->best(object, nearness), nearness, query, now);
    }
    // Requests about no object, and those whose object's targets are all closed or lost: any target will do.
    if (groups.size() == 0) {
        for (const Nearness nearness : AllNearnesses)
            addTo(groups, ranking->draw(nearness, random_), nearness, query, now);
    }
    return groups;
}

PlacementRefusal Placement::refusalWithoutTargets(const Groups& groups, uint32_t known, Timestamp now)
{
    if (!groups.reopensAt)
        return {.reason = model::Reason::NoTarget, .retryAfter = MostRetryAfter, .known = known};
    // Callers that return as one would all but one be refused again.
    const Duration spread = fromSeconds(toSeconds(MostRetryAfter) * unit(random_()));
    return {.reason = model::Reason::BackPressure,
        .retryAfter = std::max(*groups.reopensAt - now, LeastRetryAfter) + spread,
        .known = known};
}

std::variant<Placed, PlacementRefusal> Placement::choose(const PlacementQuery& query, Timestamp now)
{
    workTimes_.noteAsked(query.service.name, query.route.objective);
    const uint64_t object = query.object ? mix(*query.object, 0) : random_();
    Groups found = groupsFor(query, object, now);
    const auto known = static_cast<uint32_t>(targets_.countOf(query.service.name));
    const auto usable = static_cast<uint32_t>(found.size());
    if (usable == 0)
        return refusalWithoutTargets(found, known, now);
    detours_ = std::min(detours_ + DetoursPerRequest, MostDetours);
    Candidates& away = found.away;
    const bool hasHome = !found.zone.empty() || !found.region.empty();
    const bool isHome = hasHome && (away.empty() || unit(object) < split_.homeShare(query.service.name));
    const std::array<Candidates*, 3> groups
        = isHome ? std::array {&found.zone, &found.region, &away} : std::array {&away, &found.zone, &found.region};
    bool isDetour = false;
    for (Candidates* group : groups) {
        const bool isOwnRegion = group != &away;
        isDetour = isOwnRegion != isHome;
        if (group->empty())
            continue;
        const Placed placed = best(*group, query, now);
        if (placed.target != nullptr && (!isDetour || !hasHome || trySpendDetour(now)))
            return placed;
    }
    for (Candidates* group : groups) {
        const bool isOwnPlace = (group != &away) == isHome;
        if (!isOwnPlace)
            continue;
        if (const Placed tried = trial(*group, query, now); tried.target != nullptr)
            return tried;
    }
    const Duration usual = workTimes_.ofService(query.service.name).first;
    return PlacementRefusal {.reason = isDetour ? model::Reason::NoRoom : model::Reason::ShiftCapReached,
        .retryAfter = std::clamp(usual, LeastRetryAfter, MostRetryAfter),
        .known = known,
        .usable = usable};
}

} // namespace saltvane::gateway
