/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/steering.h"

#include "steering/internal/routecarryover.h"
#include "steering/internal/rowshift.h"
#include "steering/internal/zonechooser.h"

#include <algorithm>
#include <cmath>

namespace saltvane::steering {

namespace {

/// Time constants of the smoothed demand: it follows a rise quickly and a fall slowly.
constexpr double DemandRiseTimeConstantSeconds = 3;
constexpr double DemandFallTimeConstantSeconds = 10;
/// At least the time in flight divided by this counts as service time, whatever the network delay.
constexpr int MinServiceTimeDivisor = 10;
/// During a shift, look-up answers may be cached for at most the cap's window divided by this.
constexpr int ShiftTtlDivisor = 4;
constexpr Duration MinEntryTtl = 1s;

double smoothTowards(double old, double reported, double elapsedSeconds)
{
    const double constant = reported > old ? DemandRiseTimeConstantSeconds : DemandFallTimeConstantSeconds;
    return old + (reported - old) * (1 - std::exp(-elapsedSeconds / constant));
}

} // namespace

Steering::Steering(const SteeringOptions& options)
    : options_(options)
{
}

void Steering::install(model::DeploymentPtr deployment, Timestamp now)
{
    retireAllRoutes();
    if (!deployment_ && options_.ownRegion.value < deployment->regionCount())
        ownRegion_ = deployment->region(options_.ownRegion).name;
    deployment_ = std::move(deployment);
    fillOrder_ = std::make_unique<FillOrder>(*deployment_);
    planner_ = makeRoutePlanner(deployment_->bundle().objective);
    for (uint32_t service = 0; service < deployment_->serviceCount(); ++service) {
        auto routes = resumeRoutes({service});
        const auto& definition = deployment_->service({service});
        routes.history.setCaps(definition.shiftCap, definition.failoverCap.value_or(definition.shiftCap), now);
        routes.lastStep = now;
        services_.push_back(std::move(routes));
    }
    eraseExpiredRoutes(now);
    replan(true, now);
}

void Steering::retireAllRoutes()
{
    for (auto& routes : services_) {
        const auto& name = deployment_->service(routes.index).name;
        retired_.insert_or_assign(name, RetiredRoutes {.deployment = deployment_, .routes = std::move(routes)});
    }
    services_.clear();
}

ServiceRoutes Steering::resumeRoutes(ServiceIndex service)
{
    auto old = retired_.extract(deployment_->service(service).name);
    if (old.empty())
        return makeRoutes(*deployment_, service, options_.seed);
    auto& retired = old.mapped();
    return carryOver(std::move(retired.routes), *retired.deployment, *deployment_, service, options_.seed);
}

void Steering::eraseExpiredRoutes(Timestamp now)
{
    std::erase_if(retired_, [now](auto& entry) { return entry.second.routes.history.isEmpty(now); });
}

void Steering::adoptRows(std::span<const model::RouteRow> rows, Timestamp now)
{
    if (!deployment_)
        return;
    std::vector<bool> hasAdopted(services_.size());
    for (const auto& row : rows) {
        const auto service = deployment_->findService(row.service);
        const auto region = deployment_->findRegion(row.region);
        if (!service || !region || services_[service->value].hasServed)
            continue;
        services_[service->value].rows[region->value].shares = sharesFromPeerRow(row, *deployment_);
        hasAdopted[service->value] = true;
    }
    for (size_t service = 0; service < services_.size(); ++service) {
        if (!hasAdopted[service])
            continue;
        auto& routes = services_[service];
        routes.hasServed = true;
        routes.lastStep = now;
        routes.history.assumeFullySpent(now);
        for (auto& row : routes.rows)
            row.compile();
    }
    replan(true, now);
}

void Steering::markServedElsewhere(ServiceIndex service, Timestamp now)
{
    if (service.value >= services_.size())
        return;
    auto& routes = services_[service.value];
    if (routes.hasServed || !routes.hasCapacity)
        return;
    routes.hasServed = true;
    routes.lastStep = now;
}

void Steering::update(std::span<const ZoneRoom> rooms, std::span<const RegionDemand> demands, Timestamp now)
{
    if (!deployment_)
        return;
    applyRooms(rooms);
    applyDemands(demands, now);
    replan(false, now);
}

void Steering::applyRooms(std::span<const ZoneRoom> rooms)
{
    for (auto& routes : services_)
        routes.zones.assign(deployment_->zoneCount(), {});
    for (const auto& room : rooms) {
        if (room.service.value >= services_.size() || room.zone.value >= deployment_->zoneCount())
            continue;
        auto& zone = services_[room.service.value].zones[room.zone.value];
        zone.capacity = room.room;
        zone.queueDelay = room.queueDelay;
    }
}

void Steering::applyDemands(std::span<const RegionDemand> demands, Timestamp now)
{
    const double elapsed = toSeconds(now - lastDemandUpdate_);
    std::vector<std::vector<double>> reported(services_.size(), std::vector<double>(deployment_->regionCount()));
    for (const auto& demand : demands) {
        if (isKnown(demand.service, demand.clientRegion))
            reported[demand.service.value][demand.clientRegion.value] += demand.concurrency;
    }
    for (auto& routes : services_) {
        for (size_t region = 0; region < routes.demands.size(); ++region) {
            auto& demand = routes.demands[region];
            const double next = reported[routes.index.value][region];
            demand = hasDemandUpdate_ ? smoothTowards(demand, next, elapsed) : next;
        }
    }
    hasDemandUpdate_ = true;
    lastDemandUpdate_ = now;
}

void Steering::updateZoneStates(ServiceRoutes& routes) const
{
    routes.hasOpenZone = false;
    routes.hasCapacity = false;
    routes.minQueueDelay = Duration::max();
    for (uint32_t zone = 0; zone < routes.zones.size(); ++zone) {
        const double open = deployment_->openShare(routes.index, {zone});
        auto& state = routes.zones[zone];
        state.openCapacity = state.capacity * open;
        routes.hasOpenZone = routes.hasOpenZone || open > 0;
        routes.hasCapacity = routes.hasCapacity || state.openCapacity > 0;
        if (state.openCapacity > 0)
            routes.minQueueDelay = std::min(routes.minQueueDelay, state.queueDelay);
    }
    for (size_t zone = 0; zone < routes.zones.size(); ++zone)
        routes.failedZones[zone] = routes.hasCapacity && routes.zones[zone].capacity <= 0;
}

void Steering::rebuildDiversions(ServiceRoutes& routes) const
{
    for (uint32_t region = 0; region < routes.rows.size(); ++region) {
        auto& row = routes.rows[region];
        row.diversions.clear();
        for (const auto& tier : fillOrder_->tiersOf({region})) {
            DiversionTier usable;
            for (const auto zone : tier.zones) {
                const bool isOpen = deployment_->openShare(routes.index, zone) > 0;
                if (isOpen && !routes.failedZones[zone.value])
                    usable.zones.push_back(zone);
            }
            if (!usable.zones.empty())
                row.diversions.push_back(std::move(usable));
        }
    }
}

void Steering::replan(bool isNewBundle, Timestamp now)
{
    LinkHeadroom links(*deployment_);
    for (auto& routes : services_) {
        updateZoneStates(routes);
        rebuildDiversions(routes);
        std::vector<double> capacities;
        for (const auto& zone : routes.zones)
            capacities.push_back(zone.openCapacity);
        const PlanInput input {.deployment = *deployment_,
            .order = *fillOrder_,
            .service = routes.index,
            .capacities = capacities,
            .demands = routes.demands};
        // Without capacity anywhere no plan is better than the current one, so rows keep it unless the bundle changed.
        if (isNewBundle || routes.hasCapacity)
            adoptPlan(routes, planner_->plan(input, links), isNewBundle);
        stepService(routes, now);
    }
}

void Steering::stepService(ServiceRoutes& routes, Timestamp now)
{
    if (routes.hasServed)
        stepRows(routes, deployment_->service(routes.index).shiftCap, isFrozen_, now, options_.counters);
    else
        setRowsToPlan(routes);
    updateNetworkDelay(routes);
}

void Steering::updateNetworkDelay(ServiceRoutes& routes) const
{
    const auto own = deployment_->findRegion(ownRegion_);
    if (!own)
        return;
    for (auto& row : routes.rows) {
        double seconds = 0;
        for (uint32_t zone = 0; zone < routes.zones.size(); ++zone)
            seconds += row.shares[zone] * toSeconds(deployment_->delay(*own, deployment_->regionOf({zone})));
        row.networkDelay = fromSeconds(2 * seconds);
    }
}

void Steering::setFrozen(bool isFrozen, Timestamp now)
{
    (void)now;
    isFrozen_ = isFrozen;
}

void Steering::tick(Timestamp now)
{
    const double factor = DemandMeter::decayFactor(now - lastDecay_);
    lastDecay_ = now;
    for (auto& routes : services_) {
        for (auto& row : routes.rows)
            row.demand.decay(factor);
        stepService(routes, now);
    }
}

Result<Choice, Refusal> Steering::choose(const ChoiceQuery& query, const ICreditView& credits, Timestamp now)
{
    if (!deployment_)
        return Refusal {.reason = model::Reason::NotReady, .retryAfter = MinEntryTtl};
    if (!isKnown(query.service, query.clientRegion))
        return Refusal {.reason = model::Reason::UnknownService};
    return chooseZone(services_[query.service.value], query, credits, now, options_.counters);
}

std::vector<ZoneIndex> Steering::entryZones(ServiceIndex service, RegionIndex clientRegion) const
{
    if (!deployment_ || !isKnown(service, clientRegion))
        return {};
    const auto& row = services_[service.value].rows[clientRegion.value];
    const auto byDelay = deployment_->zonesByDelay(clientRegion);
    std::vector<ZoneIndex> zones;
    std::ranges::copy_if(byDelay, std::back_inserter(zones), [&](auto zone) { return row.shares[zone.value] > 0; });
    if (zones.empty())
        return {byDelay.begin(), byDelay.end()};
    // A closed zone is still used until its drain completes, but new clients should start with an open one.
    std::ranges::stable_partition(zones, [&](auto zone) { return deployment_->openShare(service, zone) > 0; });
    return zones;
}

Duration Steering::entryTtl(ServiceIndex service) const
{
    if (!deployment_ || service.value >= services_.size())
        return MinEntryTtl;
    const auto& definition = deployment_->service(service);
    if (!isShifting(services_[service.value]))
        return definition.entryTtl;
    const auto shortened = std::max<Duration>(MinEntryTtl, definition.shiftCap.window / ShiftTtlDivisor);
    return std::min(definition.entryTtl, shortened);
}

std::vector<model::RouteRow> Steering::rows() const
{
    std::vector<model::RouteRow> result;
    for (const auto& routes : services_)
        addRows(routes, result);
    return result;
}

std::vector<model::RouteRow> Steering::servedRows() const
{
    std::vector<model::RouteRow> result;
    for (const auto& routes : services_) {
        if (routes.hasServed)
            addRows(routes, result);
    }
    return result;
}

void Steering::addRows(const ServiceRoutes& routes, std::vector<model::RouteRow>& result) const
{
    for (uint32_t region = 0; region < routes.rows.size(); ++region) {
        model::RouteRow row {
            .service = deployment_->service(routes.index).name, .region = deployment_->region({region}).name};
        for (uint32_t zone = 0; zone < routes.zones.size(); ++zone) {
            const double share = routes.rows[region].shares[zone];
            if (share <= 0)
                continue;
            row.zones.push_back(deployment_->zone({zone}).name);
            row.shares.push_back(share);
        }
        result.push_back(std::move(row));
    }
}

double Steering::shiftProgress(ServiceIndex service) const
{
    return service.value < services_.size() ? shiftProgressOf(services_[service.value]) : 1;
}

std::vector<RegionDemand> Steering::ownDemand() const
{
    std::vector<RegionDemand> result;
    for (const auto& routes : services_) {
        for (uint32_t region = 0; region < routes.rows.size(); ++region) {
            result.push_back({.service = routes.index,
                .clientRegion = {region},
                .concurrency = routes.rows[region].demand.concurrency()});
        }
    }
    return result;
}

void Steering::recordRequestCompletion(ServiceIndex service, RegionIndex clientRegion, Duration inFlight, Timestamp now)
{
    (void)now;
    if (!deployment_ || !isKnown(service, clientRegion))
        return;
    auto& row = services_[service.value].rows[clientRegion.value];
    // Time on the network occupies no slot. Counted as demand, it would request more capacity the farther the row
    // spills.
    row.demand.record(std::max(inFlight / MinServiceTimeDivisor, inFlight - row.networkDelay));
}

bool Steering::isKnown(ServiceIndex service, RegionIndex region) const
{
    return service.value < services_.size() && region.value < deployment_->regionCount();
}

} // namespace saltvane::steering
