/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/placement.h"

#include "base/unitinterval.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <xxhash.h>

namespace saltvane::gateway {

namespace {

/// Number of an object's targets that are compared by cost. All but the first have to be quicker by a margin, so that
/// objects do not move between targets all the time.
constexpr size_t ComparedTargets = 3;
constexpr double OtherTargetsCostFactor = 1.25;
/// Targets queue requests up to this multiple of their slots and refuse the rest.
constexpr double MaxLoadPerSlot = 3;
/// By rank: the multiple of the objective within which a response has to be expected for a request to be accepted.
/// In an overload all responses come as late as this allows; with lower values, requests for cold objects were refused
/// although slots were free.
constexpr std::array<double, 3> ObjectiveFactorByRank {2.1, 1.7, 1.3};
constexpr double RemainingTimeFraction = 0.9;

/// Requests that may be sent to another region than the one assigned to their object: credit per request, and maximum
/// credit.
constexpr double CrossRegionPerRequest = 0.02;
constexpr double MaxCrossRegionBalance = 4;

/// A route whose targets neither answered nor got a trial request for this long may send one request to a free slot,
/// whatever the learnt times say. Times are learnt from responses only: once they exceed the time that callers allow,
/// nothing else would correct them, and idle targets that answer in 200 ms would get no requests of the route. At one
/// request per gateway in two seconds, a late response is acceptable.
constexpr Duration TrialInterval = 2s;
/// The interval doubles up to this with each trial whose response was late, if the route's requests may run once: their
/// callers don't learn whether they ran.
constexpr Duration MaxTrialInterval = 32s;
constexpr size_t MaxTrialRoutes = 1024;

constexpr Duration MinRetryAfter = 100ms;
constexpr Duration MaxRetryAfter = 400ms;

uint64_t combineHashes(uint64_t first, uint64_t second)
{
    const std::array<uint64_t, 2> both {first, second};
    return XXH64(both.data(), sizeof(both), 0);
}

double objectiveFactor(uint32_t rank)
{
    return ObjectiveFactorByRank.at(std::min<size_t>(rank, ObjectiveFactorByRank.size() - 1));
}

/// The account's rank takes precedence; the route's rank orders requests between it and the next account rank.
double objectiveFactor(const PlacementQuery& query)
{
    if (query.account == nullptr || !query.account->rank)
        return objectiveFactor(query.route.rank);
    const double own = objectiveFactor(*query.account->rank);
    const double next = objectiveFactor(*query.account->rank + 1);
    const auto ranks = static_cast<double>(ObjectiveFactorByRank.size());
    return own - (own - next) * std::min<double>(query.route.rank, ranks - 1) / ranks;
}

/// An empty list permits all regions.
bool isRegionPermitted(std::span<const RegionName> regions, const RegionName& region)
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
    return object && warmObjects_.isWarm(*object, target.incarnationHash, now);
}

bool Placement::isPermitted(const RegionName& region, const model::Route& route, const model::ClientAccount* account)
{
    return isRegionPermitted(route.permittedRegions, region)
        && (account == nullptr || isRegionPermitted(account->permittedRegions, region));
}

bool Placement::hasTargets(
    const ServiceName& service, const model::Route& route, const model::ClientAccount* account) const
{
    return std::ranges::any_of(
        targets_.regionsOf(service), [&](const RegionName& region) { return isPermitted(region, route, account); });
}

Duration Placement::estimate(const GatewayTarget& target, Duration processingTime, Timestamp now) const
{
    const double slots = std::max(target.record.slots, 1U);
    const double waiting = std::max(0.0, target.load(now) + 1 - slots) / slots;
    const double queued = toSeconds(processingTimes_.meanOfSent(target.record.service));
    return fromSeconds(toSeconds(processingTime) + waiting * queued);
}

void Placement::recordResponse(GatewayTarget& target, const Response& response, Timestamp now)
{
    const ServiceName& service = target.record.service;
    const bool isCorrection
        = response.isForCorrection && response.duration < processingTimes_.ofRoute(service, response.route).first;
    if (const auto seen = activity_.find(response.route); seen != activity_.end()) {
        seen->second.at = now;
        if (isCorrection || !response.isForCorrection)
            seen->second.trialInterval = TrialInterval;
    }
    target.onAnswered(now);
    if (response.object)
        warmObjects_.recordResponse(*response.object, target.incarnationHash, now);
    if (response.isOfTrial)
        return;
    if (isCorrection)
        processingTimes_.correct(service, response.route, response.duration);
    const double slots = std::max(target.record.slots, 1U);
    const double waiting = std::max(0.0, response.loadAtSend + 1 - slots) / slots;
    processingTimes_.record(
        service, response.route, {.choice = response.choice, .duration = response.duration, .hasQueued = waiting > 0});
    if (response.expectedDuration > Duration::zero() && !target.isSlowStarting(now))
        target.responseTimes.record(toSeconds(response.duration) / toSeconds(response.expectedDuration));
}

bool Placement::isPermitted(const GatewayTarget& target, const PlacementQuery& query) const
{
    if (!isPermitted(target.zone->region, query.route, query.account))
        return false;
    return std::ranges::find(query.attemptedTargets, target.id()) == query.attemptedTargets.end();
}

bool Placement::canRespondInTime(
    const GatewayTarget& target, Duration estimate, bool isLikelyWarm, const PlacementQuery& query, Timestamp now) const
{
    if (target.load(now) + 1 > target.record.slots * MaxLoadPerSlot)
        return false;
    const Duration usableTime = fromSeconds(toSeconds(query.remaining) * RemainingTimeFraction);
    // A request that a free slot could start now is not refused if the object is likely warm. Cold work takes several
    // times as long, and in an overload other requests wait for the slot.
    const bool hasFreeSlot = isLikelyWarm && target.load(now) + 1 <= target.record.slots;
    if (hasFreeSlot || query.isRetry || query.route.objective <= Duration::zero())
        return estimate <= usableTime;
    const Duration wanted = fromSeconds(toSeconds(query.route.objective) * objectiveFactor(query));
    return estimate <= std::min(usableTime, wanted - query.elapsed);
}

TargetSelection Placement::selectBest(Candidates& candidates, const PlacementQuery& query, Timestamp now) const
{
    const ProcessingTimes::Times expectedTimes = processingTimes_.ofRoute(query.service.name, query.route.name);
    const size_t choices = std::min(candidates.size(), ComparedTargets);
    const auto middle = candidates.begin() + static_cast<ptrdiff_t>(choices);
    std::ranges::partial_sort(candidates, middle, std::ranges::greater {},
        [](const Candidate& candidate) { return std::pair(!candidate.isAvoided, candidate.rank); });
    // All gateways and objects fill the remaining targets in the same order, so that cold work evicts the warm objects
    // of few targets only.
    std::ranges::sort(middle, candidates.end(), {},
        [](const Candidate& candidate) { return std::pair(candidate.isAvoided, candidate.target->hash); });
    TargetSelection selection;
    double leastCost = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        // Among the remaining targets the first suitable one is used, and an avoided one only if no other is suitable.
        if ((i >= choices || candidates[i].isAvoided) && selection.target != nullptr)
            break;
        GatewayTarget& target = *candidates[i].target;
        const Choice choice = i == 0 ? Choice::First : (i == 1 ? Choice::Second : Choice::Other);
        const bool isLikelyWarm = isWarm(query.object, target, now);
        const Choice effectiveChoice = isLikelyWarm ? Choice::First : choice;
        const Duration expectedTime = estimate(target, expectedTimes.of(effectiveChoice), now);
        const double cost = toSeconds(expectedTime) * (i == 0 ? 1 : OtherTargetsCostFactor);
        if (!canRespondInTime(target, expectedTime, effectiveChoice == Choice::First, query, now)
            || (selection.target != nullptr && cost >= leastCost))
            continue;
        selection = {.target = &target,
            .choice = choice,
            .isLikelyWarm = isLikelyWarm,
            .processingTime = expectedTimes.of(effectiveChoice)};
        leastCost = cost;
    }
    return selection;
}

TargetSelection Placement::selectForTrial(
    std::span<const Candidate> candidates, const PlacementQuery& query, Timestamp now)
{
    if (query.isRetry)
        return {};
    const auto free = std::ranges::find_if(candidates,
        [&](const Candidate& candidate) { return candidate.target->load(now) + 1 <= candidate.target->record.slots; });
    if (free == candidates.end())
        return {};
    if (!tryBeginTrial(query, now))
        return {};
    return {.target = free->target,
        .choice = Choice::First,
        .processingTime = processingTimes_.ofService(query.service.name).first,
        .isForCorrection = true};
}

bool Placement::tryBeginTrial(const PlacementQuery& query, Timestamp now)
{
    const bool mayRunOnce = query.route.kind == model::RouteKind::AtMostOnce;
    if (mayRunOnce && query.remaining < query.route.objective)
        return false;
    RouteActivity& activity
        = activity_.try_emplace(query.route.name, RouteActivity {.trialInterval = TrialInterval}).first->second;
    if (now - activity.at < activity.trialInterval)
        return false;
    activity.at = now;
    if (mayRunOnce)
        activity.trialInterval = std::min(activity.trialInterval * 2, MaxTrialInterval);
    if (activity_.size() > MaxTrialRoutes)
        activity_.erase(std::ranges::min_element(activity_, {}, [](const auto& item) { return item.second.at; }));
    return true;
}

bool Placement::trySpendCrossRegion(Timestamp /*now*/)
{
    if (crossRegionBalance_ < 1)
        return false;
    crossRegionBalance_ -= 1;
    return true;
}

void Placement::addCandidates(Groups& groups, std::span<const TargetRanking::Ranked> ranked, Proximity proximity,
    const PlacementQuery& query, Timestamp now) const
{
    const bool isLarge = query.route.kind == model::RouteKind::LargeRead;
    const bool isRemote = proximity == Proximity::Remote;
    const double weight = isLarge || isRemote ? 1 : split_.localWeight(query.service.name);
    Candidates& localGroup = isLarge && proximity == Proximity::Zone ? groups.zone : groups.region;
    Candidates& group = isLarge && isRemote ? groups.remote : localGroup;
    for (const auto& [target, score] : ranked) {
        if (!isPermitted(*target, query) || (query.needsNoCredit && target->backpressure.limit))
            continue;
        const Timestamp unavailableUntil = target->backpressure.unavailableUntil();
        groups.ejected += target->isEjected(now) ? 1 : 0;
        if (targets_.isUsable(*target, query.service, now))
            group.push_back({.target = target, .rank = score * weight, .isAvoided = target->isAvoided(now)});
        else if (now < unavailableUntil && target->isAvailable(now))
            groups.availableAt = std::min(groups.availableAt.value_or(unavailableUntil), unavailableUntil);
        else if (target->isOpen(now) && targets_.limitOf(*target, now) == SendLimit::Unconfirmed)
            ++groups.unconfirmed;
    }
}

std::span<const TargetRanking::Ranked> Placement::trialTargets(
    TargetRanking& ranking, uint64_t object, Proximity proximity) const
{
    const double count = std::ceil(static_cast<double>(ranking.size(proximity)) * targets_.rollouts().share());
    const uint64_t subsets = static_cast<uint64_t>(count) / TargetRanking::MaxRanked + 1;
    const auto targets = ranking.best(object % subsets, proximity);
    return targets.first(std::min(targets.size(), static_cast<size_t>(count)));
}

Placement::Groups Placement::groupsFor(const PlacementQuery& query, uint64_t object, Timestamp now)
{
    Groups groups;
    const TargetSet::Rankings rankings = targets_.rankings(query.service.name, query.role, now);
    const bool isOnFewTargets = query.role == VersionRole::Trial && targets_.rollouts().isInTrial(query.service.name);
    for (TargetRanking* ranking : rankings) {
        for (const Proximity proximity : AllProximities) {
            if (isOnFewTargets)
                addCandidates(groups, trialTargets(*ranking, object, proximity), proximity, query, now);
            else if (query.object)
                addCandidates(groups, ranking->best(object, proximity), proximity, query, now);
        }
    }
    // Without an object, or if all of the object's targets are closed or lost, any target is suitable.
    if (groups.size() == 0 && !isOnFewTargets) {
        for (TargetRanking* ranking : rankings) {
            for (const Proximity proximity : AllProximities)
                addCandidates(groups, ranking->sample(proximity, random_), proximity, query, now);
        }
    }
    return groups;
}

PlacementRefusal Placement::refusalWithoutTargets(const Groups& groups, uint32_t known, Timestamp now)
{
    // If all callers returned at the same time, all but one would be refused again.
    const Duration spread = fromSeconds(toSeconds(MaxRetryAfter) * toUnitInterval(random_()));
    if (groups.unconfirmed > 0)
        return {.reason = model::Reason::StaleState,
            .retryAfter = MinRetryAfter + spread,
            .known = known,
            .ejected = groups.ejected,
            .unconfirmed = groups.unconfirmed};
    if (!groups.availableAt)
        return {
            .reason = model::Reason::NoTarget, .retryAfter = MaxRetryAfter, .known = known, .ejected = groups.ejected};
    return {.reason = model::Reason::BackPressure,
        .retryAfter = std::max(*groups.availableAt - now, MinRetryAfter) + spread,
        .known = known};
}

std::variant<TargetSelection, PlacementRefusal> Placement::choose(const PlacementQuery& query, Timestamp now)
{
    processingTimes_.initialize(query.service.name, query.route.objective);
    const uint64_t object = query.object ? combineHashes(*query.object, 0) : random_();
    Groups found = groupsFor(query, object, now);
    const auto known = static_cast<uint32_t>(targets_.countOf(query.service.name));
    const auto usable = static_cast<uint32_t>(found.size());
    if (usable == 0)
        return refusalWithoutTargets(found, known, now);
    const auto hasPreferred = [](const Candidates& candidates) {
        return std::ranges::any_of(candidates, [](const Candidate& candidate) { return !candidate.isAvoided; });
    };
    // The zone's targets come first, unless all of them are avoided.
    if (!hasPreferred(found.zone) && hasPreferred(found.region))
        std::swap(found.zone, found.region);
    crossRegionBalance_ = std::min(crossRegionBalance_ + CrossRegionPerRequest, MaxCrossRegionBalance);
    Candidates& remote = found.remote;
    const bool hasLocal = !found.zone.empty() || !found.region.empty();
    const bool isLocal = hasLocal && (remote.empty() || toUnitInterval(object) < split_.localShare(query.service.name));
    const std::array<Candidates*, 3> groups
        = isLocal ? std::array {&found.zone, &found.region, &remote} : std::array {&remote, &found.zone, &found.region};
    bool isCrossRegion = false;
    for (Candidates* group : groups) {
        const bool isLocalGroup = group != &remote;
        isCrossRegion = isLocalGroup != isLocal;
        if (group->empty())
            continue;
        const TargetSelection selection = selectBest(*group, query, now);
        if (selection.target != nullptr && (!isCrossRegion || !hasLocal || trySpendCrossRegion(now)))
            return selection;
    }
    for (Candidates* group : groups) {
        const bool isAssignedGroup = (group != &remote) == isLocal;
        if (!isAssignedGroup)
            continue;
        if (const TargetSelection selection = selectForTrial(*group, query, now); selection.target != nullptr)
            return selection;
    }
    const Duration typicalTime = processingTimes_.ofService(query.service.name).first;
    return PlacementRefusal {.reason = isCrossRegion ? model::Reason::NoRoom : model::Reason::ShiftCapReached,
        .retryAfter = std::clamp(typicalTime, MinRetryAfter, MaxRetryAfter),
        .known = known,
        .usable = usable,
        .unconfirmed = found.unconfirmed};
}

} // namespace saltvane::gateway
