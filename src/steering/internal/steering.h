/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "steering/internal/fillorder.h"
#include "steering/internal/irouteplanner.h"
#include "steering/internal/serviceroutes.h"
#include "steering/isteering.h"

#include <map>
#include <memory>

namespace saltvane::steering {

/// Keeps the routes of each service under the bundle in force; plans and moves them and chooses zones by them.
class Steering : public ISteering {
public:
    explicit Steering(const SteeringOptions& options);

    void install(model::DeploymentPtr deployment, Timestamp now) override;
    void adoptRows(std::span<const model::RouteRow> rows, Timestamp now) override;
    void markServedElsewhere(ServiceIndex service, Timestamp now) override;
    void update(std::span<const ZoneRoom> rooms, std::span<const RegionDemand> demands, Timestamp now) override;
    void setFrozen(bool isFrozen, Timestamp now) override;
    void tick(Timestamp now) override;
    [[nodiscard]] Result<Choice, Refusal> choose(
        const ChoiceQuery& query, const ICreditView& credits, Timestamp now) override;
    [[nodiscard]] std::vector<ZoneIndex> entryZones(ServiceIndex service, RegionIndex clientRegion) const override;
    [[nodiscard]] Duration entryTtl(ServiceIndex service) const override;
    [[nodiscard]] std::vector<model::RouteRow> rows() const override;
    [[nodiscard]] std::vector<model::RouteRow> servedRows() const override;
    [[nodiscard]] double shiftProgress(ServiceIndex service) const override;
    [[nodiscard]] std::vector<RegionDemand> ownDemand() const override;
    void recordRequestCompletion(
        ServiceIndex service, RegionIndex clientRegion, Duration inFlight, Timestamp now) override;

private:
    /// Routes of a service that is not in the bundle in force, retained while their movement counts against the cap.
    struct RetiredRoutes {
        model::DeploymentPtr deployment;
        ServiceRoutes routes;
    };

    void retireAllRoutes();
    [[nodiscard]] ServiceRoutes resumeRoutes(ServiceIndex service);
    void eraseExpiredRoutes(Timestamp now);
    void applyRooms(std::span<const ZoneRoom> rooms);
    void applyDemands(std::span<const RegionDemand> demands, Timestamp now);
    void updateZoneStates(ServiceRoutes& routes) const;
    void rebuildDiversions(ServiceRoutes& routes) const;
    void replan(bool isNewBundle, Timestamp now);
    void stepService(ServiceRoutes& routes, Timestamp now);
    void updateNetworkDelay(ServiceRoutes& routes) const;
    void addRows(const ServiceRoutes& routes, std::vector<model::RouteRow>& result) const;
    [[nodiscard]] bool isKnown(ServiceIndex service, RegionIndex region) const;

    SteeringOptions options_;
    model::DeploymentPtr deployment_;
    std::unique_ptr<FillOrder> fillOrder_;
    std::unique_ptr<IRoutePlanner> planner_;
    std::vector<ServiceRoutes> services_; ///< By service index.
    std::map<ServiceName, RetiredRoutes> retired_;
    RegionName ownRegion_;
    Timestamp lastDemandUpdate_;
    Timestamp lastDecay_;
    bool hasDemandUpdate_ = false;
    bool isFrozen_ = false;
};

} // namespace saltvane::steering
