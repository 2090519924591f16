/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/displacedtargets.h"
#include "model/routeplan.h"
#include "model/targetmessages.h"

#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace saltvane::gateway {

/// A target as this gateway knows it: what the registry told, what its answers tell, what this gateway sent it.
struct GatewayTarget {
    model::TargetRecord record;
    RegionName region;
    uint64_t hash = 0;
    Timestamp heardAt; ///< When it last reported, as far as the registry's word tells.
    Timestamp namedAt; ///< When a registry host last named it.
    Timestamp slowUntil; ///< End of its slow start.
    Timestamp heldUntil; ///< Its zone was opened again: unused until the registry told of it, or until then.
    bool isZoneClosed = false;
    bool isSilent = false; ///< The registry host that heard it last hears nothing any more.

    uint32_t inFlight = 0; ///< Of this gateway.
    uint32_t othersLoad = 0; ///< Of other gateways, as of its last answer that told.
    Timestamp loadAt;
    uint32_t toldInFlight = 0; ///< What the registry was last told of this gateway's requests.
    Timestamp answeredAt; ///< Its last answer.
    uint32_t failures = 0; ///< In a row.
    Timestamp ejectedUntil;
    double slowStartBalance = 1; ///< Requests it may be sent now while it is slow.
    Timestamp slowStartAt;

    [[nodiscard]] const TargetId& id() const { return record.target; }
    /// Requests it works on or queues, as far as known.
    [[nodiscard]] double load(Timestamp now) const;
    [[nodiscard]] bool isSlowStarting(Timestamp now) const { return now < slowUntil; }
    /// Ejected once, and now due for one request that tells whether it is back.
    [[nodiscard]] bool isOnTrial() const { return failures >= FailuresToEject; }
    void noteAnswered(Timestamp now);
    /// It broke off, or did not answer in time. `isCertain`: it can't be reached at all.
    void noteFailure(Timestamp now, bool isCertain);
    /// From its answer's header "running,waiting,slots"; anything else is ignored.
    void noteLoad(std::string_view text, Timestamp now);
    [[nodiscard]] bool hasFreeSlots(Timestamp now) const { return loadAt == now && load(now) < record.slots; }
    /// From the registry: requests in flight of all gateways. A newer word of its own is kept.
    void noteSum(uint32_t inFlightOfAll, Timestamp now);
    /// It refused a request. With slots free by its own word it is not full.
    void noteRefusal(Timestamp now);

    static constexpr uint32_t FailuresToEject = 2;
};

/// All targets this gateway knows.
class TargetSet {
public:
    TargetSet(HostId self, std::map<ZoneName, RegionName> zones);

    void note(const model::TargetReport& report, Timestamp now);
    void noteLoads(const model::TargetLoads& loads, Timestamp now);
    /// This gateway's own, to be told to the registry.
    [[nodiscard]] model::TargetLoads takeOwnLoads();
    /// It answered for another one: whatever had this id is gone.
    void noteGone(const TargetId& target);
    /// Forgets targets that the registry has not heard of for long, as long as the registry itself is heard.
    void expire(Timestamp now);

    [[nodiscard]] GatewayTarget* find(const TargetId& target) const;
    /// Those of a service; stable between calls of note, noteGone and expire.
    [[nodiscard]] const std::vector<GatewayTarget*>& ofService(const ServiceName& service) const;
    /// Whether new work may be sent to it. Of a slow target only within its rate, which `trySpendSlowStart` counts.
    [[nodiscard]] bool isUsable(const GatewayTarget& target, const model::RoutedService& service, Timestamp now) const;
    void noteSent(GatewayTarget& target, const model::RoutedService& service, Timestamp now) const;
    [[nodiscard]] bool isEmpty() const { return targets_.empty(); }
    [[nodiscard]] size_t size() const { return targets_.size(); }
    [[nodiscard]] const LogPosition& orders() const { return orders_; }

private:
    void noteOrders(const model::TargetReport& report, Timestamp now);
    void noteRecord(const model::TargetRecord& record, Timestamp now);
    /// Others at the record's address are gone.
    void displaceOthers(const model::TargetRecord& record, Timestamp now);
    [[nodiscard]] bool isAddressTaken(const model::TargetRecord& record) const;
    void index();
    [[nodiscard]] static double slowStartBalance(
        const GatewayTarget& target, const model::RoutedService& service, Timestamp now);

    HostId self_;
    std::map<ZoneName, RegionName> zones_;
    LogPosition orders_;
    std::set<ZoneName> evacuated_;
    std::set<TargetId> retired_;
    membership::DisplacedTargets displaced_;
    std::map<TargetId, std::unique_ptr<GatewayTarget>> targets_;
    std::map<ServiceName, std::vector<GatewayTarget*>> byService_;
    std::unordered_map<uint64_t, uint32_t> sums_; ///< Of the last word of the registry; scratch.
    Timestamp reportedAt_ {}; ///< Last word of any registry host.
};

} // namespace saltvane::gateway
