/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/gatewaytarget.h"
#include "gateway/internal/targetranking.h"
#include "membership/displacedtargets.h"
#include "membership/retiredtargets.h"
#include "model/routeplan.h"

#include <map>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace saltvane::gateway {

/// Slots of a service's targets that may be used, and how many of them are taken.
struct ServiceRoom {
    double homeSlots = 0; ///< In this gateway's region.
    double homeLoad = 0;
    double allSlots = 0;
    size_t regions = 0; ///< That have any.
};

/// All targets this gateway knows. What a report, a request or a tick costs goes with the targets it is about, not with
/// those that are known.
class TargetSet {
public:
    struct Place {
        HostId self;
        ZoneName zone;
        RegionName region;
    };
    TargetSet(Place place, const std::map<ZoneName, RegionName>& zones);
    ~TargetSet();
    TargetSet(const TargetSet&) = delete;
    TargetSet& operator=(const TargetSet&) = delete;

    void note(const model::TargetReport& report, Timestamp now);
    void noteLoads(const model::TargetLoads& loads, Timestamp now);
    /// This gateway's own, to be told to the registry.
    [[nodiscard]] model::TargetLoads takeOwnLoads();
    /// It says that it leaves: this start gets no new work again, whatever the registry reports of it.
    void noteLeaving(const model::TargetIncarnation& start);
    /// It answered for another one: whatever had this id is gone.
    void noteGone(const model::TargetIncarnation& start);
    /// Forgets targets that the registry has not heard of for long, as long as the registry itself is heard; counts
    /// the room of some targets anew.
    void tick(Timestamp now);
    /// Starts that a later one under their id replaced since the last call: requests on their way to them get no
    /// answer any more, but for what was sent before.
    [[nodiscard]] std::vector<model::TargetIncarnation> takeReplaced();

    /// Null where another start has the id by now.
    [[nodiscard]] GatewayTarget* find(const model::TargetIncarnation& start) const;
    /// Null where no target of the service was ever named.
    [[nodiscard]] TargetRanking* ranking(const ServiceName& service);
    [[nodiscard]] ServiceRoom roomOf(const ServiceName& service) const;
    [[nodiscard]] size_t countOf(const ServiceName& service) const;
    /// Whether new work may be sent to it. Of a slow target only within its rate.
    [[nodiscard]] bool isUsable(const GatewayTarget& target, const model::RoutedService& service, Timestamp now) const;
    /// One more request of this gateway's is at the target.
    void noteSent(GatewayTarget& target, const model::RoutedService& service, Timestamp now);
    static void noteReleased(GatewayTarget& target);
    [[nodiscard]] size_t size() const { return all_.size(); }

private:
    struct Service {
        TargetRanking ranking;
        struct Room {
            double slots = 0;
            double load = 0;
            size_t targets = 0;
        };
        std::map<RegionName, Room> rooms;
    };

    void noteOrders(const model::TargetReport& report, Timestamp now);
    void noteRetired(std::span<const model::TargetIncarnation> retired);
    void noteRecord(const model::TargetRecord& record, Timestamp now);
    /// Whether a record of a start that is not known may stand for a target.
    [[nodiscard]] bool mayAdd(const model::TargetRecord& record) const;
    GatewayTarget& add(const model::TargetRecord& record);
    void remove(GatewayTarget& target);
    void update(GatewayTarget& target, const model::TargetRecord& record, Timestamp now);
    void displaceOtherAt(const model::TargetRecord& record, Timestamp now);
    [[nodiscard]] GatewayTarget* findById(const TargetId& target) const;
    [[nodiscard]] GatewayTarget* atAddress(const model::Address& address) const;
    [[nodiscard]] Nearness nearnessOf(const GatewayTarget& target) const;
    TargetZone& zoneOf(const ZoneName& name);
    /// It gets no new work any more: nothing is ranked that can't come back.
    void noteLeaving(GatewayTarget& target);
    void enter(GatewayTarget& target);
    void leave(GatewayTarget& target);
    void recount(GatewayTarget& target, Timestamp now);
    void expire(Timestamp now);
    [[nodiscard]] static double slowStartBalance(
        const GatewayTarget& target, const model::RoutedService& service, Timestamp now);

    Place place_;
    LogPosition orders_;
    std::map<ZoneName, TargetZone> zones_;
    membership::RetiredTargets retired_;
    membership::DisplacedTargets displaced_;
    std::unordered_map<TargetId, std::unique_ptr<GatewayTarget>> targets_;
    std::vector<GatewayTarget*> all_;
    std::map<model::Address, GatewayTarget*> byAddress_;
    std::unordered_map<uint64_t, GatewayTarget*> byStartHash_;
    std::map<ServiceName, Service> services_;
    std::vector<model::TargetIncarnation> replaced_;
    /// Of starts that the registry names no more: where it does again, what they said holds on.
    std::map<model::TargetIncarnation, TargetBackpressure> formerBackpressure_;
    uint64_t reports_ = 0;
    Timestamp reportedAt_ {}; ///< Last word of any registry host.
    Timestamp sumsAt_ {}; ///< Last word of any target's load.
    size_t nextRecount_ = 0;
    // After the targets, so that they go first.
    TargetList<&GatewayTarget::namedHook> byNamed_; ///< The one named longest ago first.
    TargetList<&GatewayTarget::silentHook> silent_;
    TargetList<&GatewayTarget::busyHook> busy_; ///< With requests of this gateway.
    TargetList<&GatewayTarget::toldHook> told_; ///< With requests as the registry was last told.
    TargetList<&GatewayTarget::summedHook> summed_; ///< With requests by the registry's word.
};

} // namespace saltvane::gateway
