/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/result.h"
#include "model/counters.h"
#include "model/deployment.h"
#include "steering/steeringtypes.h"

#include <memory>
#include <span>
#include <vector>

namespace saltvane::steering {

/// Which requests the host may send now, given its credits and the link limits.
class ICreditView {
public:
    virtual ~ICreditView() = default;
    /// True if a request of the service can be sent to an owner in the zone now.
    [[nodiscard]] virtual bool hasCredit(ServiceIndex service, ZoneIndex zone) const = 0;
};

/// Chooses the zone of each request and moves the route rows within the shift cap.
/// A deterministic state machine: instances with the same seed and the same calls give the same results.
/// docs/design/0003-steering.md
class ISteering {
public:
    virtual ~ISteering() = default;

    /// Puts a bundle in force. Rows keep their current shares and move to the new plan within the cap. Before the
    /// first request of a service its rows take the planned shares at once.
    virtual void install(model::DeploymentPtr deployment, Timestamp now) = 0;
    /// Adopts the rows of a peer. A starting host does this once, before its first request.
    virtual void adoptRows(std::span<const model::RouteRow> rows, Timestamp now) = 0;
    /// Marks the service as steered by other hosts: from now on its rows move only within the cap, as after a first
    /// request at this host. Has no effect while no open zone has capacity.
    virtual void markServedElsewhere(ServiceIndex /*service*/, Timestamp /*now*/) { }
    /// Replaces the known capacity of all zones and the known demand of all client regions.
    virtual void update(std::span<const ZoneRoom> rooms, std::span<const RegionDemand> demands, Timestamp now) = 0;
    /// While frozen (the host is cut off from control) planned shifts are paused; rows move only out of failed zones.
    virtual void setFrozen(bool isFrozen, Timestamp now) = 0;
    virtual void tick(Timestamp now) = 0;

    [[nodiscard]] virtual Result<Choice, Refusal> choose(
        const ChoiceQuery& query, const ICreditView& credits, Timestamp now)
        = 0;
    /// Zones to return in a look-up, best first: those with a share above 0 in the client region's row or, if there are
    /// none, all zones by delay.
    [[nodiscard]] virtual std::vector<ZoneIndex> entryZones(ServiceIndex service, RegionIndex clientRegion) const = 0;
    /// How long a look-up answer may be cached; shorter while the service shifts.
    [[nodiscard]] virtual Duration entryTtl(ServiceIndex service) const = 0;
    [[nodiscard]] virtual std::vector<model::RouteRow> rows() const = 0;
    /// The rows that a starting host may adopt: those of services that have steered a request or whose rows were
    /// adopted. Rows of other services can still take the planned shares at once.
    [[nodiscard]] virtual std::vector<model::RouteRow> servedRows() const { return rows(); }
    /// Progress of the service's shift, 0 to 1; 1 when all rows have reached the plan.
    [[nodiscard]] virtual double shiftProgress(ServiceIndex service) const = 0;
    /// Recent concurrency offered at this host by each client region, for the heartbeat.
    [[nodiscard]] virtual std::vector<RegionDemand> ownDemand() const = 0;
    /// Records a completed request of the client region and its time in flight, for ownDemand().
    virtual void recordRequestCompletion(
        ServiceIndex service, RegionIndex clientRegion, Duration inFlight, Timestamp now)
        = 0;
};

struct SteeringOptions {
    RegionIndex ownRegion;
    uint64_t seed = 1; ///< Of the start points of the low-discrepancy sequences.
    model::Counters* counters = nullptr; ///< Must outlive the steering.
};

[[nodiscard]] std::unique_ptr<ISteering> makeSteering(const SteeringOptions& options);

} // namespace saltvane::steering
