/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/gatewaytarget.h"
#include "gateway/internal/rollouttable.h"
#include "gateway/internal/targetranking.h"
#include "membership/displacedtargets.h"
#include "membership/retiredtargets.h"
#include "model/routeplan.h"

#include <boost/container/static_vector.hpp>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace saltvane::gateway {

/// The targets of one service that report the same software version.
struct TargetVersionGroup {
    TargetRanking ranking;
    uint64_t slots = 0;
    Timestamp firstSeenAt;
};

/// Usable slots of a service's targets and their load.
struct ServiceCapacity {
    double localSlots = 0; ///< In this gateway's region.
    double localLoad = 0;
    double allSlots = 0;
    size_t regions = 0; ///< Regions with usable slots.
};

/// A known target turned out to be in its slow start.
struct SlowStartNotice {
    TargetId target;
    Duration left {};
    bool isOwn = false; ///< This gateway may use the target during the slow start.
    uint32_t recentSends = 0; ///< Requests of this gateway within a recent second.
    Duration sinceReport {}; ///< Time since the report before, which named no slow start.
    std::optional<Duration> sinceRefusal; ///< Time since it last refused this gateway a connection.
    std::optional<Duration> sinceReopening; ///< Time since the end of its zone's evacuation; none: never evacuated.
};

/// What limits the requests that may be sent to a target.
enum class SendLimit {
    None,
    SlowStart, ///< One gateway may use it, at a limited rate.
    Unconfirmed ///< It may be in a slow start that this gateway has not heard of.
};

/// All targets that this gateway knows. The cost of a report, a request or a tick depends on the targets it concerns,
/// not on the number of known targets.
class TargetSet {
public:
    struct Location {
        HostId self;
        ZoneName zone;
        RegionName region;
    };
    TargetSet(
        Location location, const std::map<ZoneName, RegionName>& zones, const settings::SlowStartBound& slowStart = {});
    ~TargetSet();
    TargetSet(const TargetSet&) = delete;
    TargetSet& operator=(const TargetSet&) = delete;

    /// `from`: the registry host that sent the report.
    void applyReport(const model::TargetReport& report, const HostId& from, Timestamp now);
    void applyLoads(const model::TargetLoads& loads, Timestamp now);
    /// Loads of this gateway's own requests, to be reported to the registry.
    [[nodiscard]] model::TargetLoads collectOwnLoads();
    /// The target announced that it is leaving: this incarnation gets no new requests any more, whatever the registry
    /// reports.
    void markLeaving(const model::TargetIncarnation& targetIncarnation);
    /// The target stated in a response that it is in a slow start. It is not used until the registry names the gateway
    /// that may use it.
    void startSlowStart(GatewayTarget& target, Duration left, Timestamp now);
    /// The target refused a connection: it has stopped, and is in its slow start once it runs again. Reports don't show
    /// that at once, and other gateways may not have noticed that it stopped.
    void onRefused(GatewayTarget& target, Timestamp now);
    /// Records of targets that refused a connection, for the registry. `connectedAt`: when a new connection to any
    /// target was last answered. Before one was since the refusal, the network may be the cause. Those that were
    /// returned while the registry's information was not current are returned again once it is: all registry hosts may
    /// have been down.
    [[nodiscard]] std::vector<model::TargetRecord> drainRefused(Timestamp connectedAt, Timestamp now);
    /// Targets are reachable again after none was: their failures until now say nothing about them.
    void onReachableAgain(Timestamp now) { reachableSince_ = now; }
    /// A target to send a probe to, each time another one; null if none of the next few may get one.
    [[nodiscard]] GatewayTarget* nextToProbe(Timestamp now);
    /// Another target answered at its address: the target with this id has stopped. A target that it displaced there
    /// recently is used again.
    void markStopped(const model::TargetIncarnation& targetIncarnation, Timestamp now);
    /// Removes targets that are unresponsive or have not been listed by the registry for a long time, as long as the
    /// registry itself is reachable; recounts the capacity of some targets.
    void tick(Timestamp now);
    /// Incarnations that were replaced since the last call, by a later one under their id or another target at their
    /// address: requests sent to them get no more responses, apart from those sent before.
    [[nodiscard]] std::vector<model::TargetIncarnation> drainReplaced();

    /// Known targets that entered a slow start, as learnt since the last call.
    [[nodiscard]] std::vector<SlowStartNotice> drainSlowStarts() { return std::exchange(slowStarts_, {}); }

    /// Returns null if the id belongs to another incarnation by now.
    [[nodiscard]] GatewayTarget* find(const model::TargetIncarnation& targetIncarnation) const;
    /// Software versions of a service that are told apart; the targets of any further version count as one of them.
    static constexpr size_t MaxVersions = 8;
    using Rankings = boost::container::static_vector<TargetRanking*, MaxVersions>;
    /// The targets of the service whose versions have this role. If no version serves, those on trial do.
    [[nodiscard]] Rankings rankings(const ServiceName& service, VersionRole role, Timestamp now);
    [[nodiscard]] RolloutTable& rollouts() { return rollouts_; }
    /// Adds the slots, versions and requests in flight of the service's targets.
    void addTargetState(model::RolloutReport& report) const;
    [[nodiscard]] ServiceCapacity capacityOf(const ServiceName& service) const;
    [[nodiscard]] size_t countOf(const ServiceName& service) const;
    /// Regions in which targets of the service are known that did not leave.
    [[nodiscard]] std::vector<RegionName> regionsOf(const ServiceName& service) const;
    /// Applies the lengths of slow starts that the plan states.
    void install(const model::RoutePlan& plan);
    /// Whether the registry's information is current (RegistryWatch::isConfirmed()).
    void setConfirmed(bool isConfirmed) { isConfirmed_ = isConfirmed; }
    /// Requests that a target of the service bears in any second of its slow start.
    [[nodiscard]] double bearableRequests(const model::RoutedService& service) const
    {
        return slowStartShare_.bearableRequests(service.slowStartPerSecond);
    }
    [[nodiscard]] SendLimit limitOf(const GatewayTarget& target, Timestamp now) const;
    /// Whether new requests may be sent to the target, within the rate of its limit.
    [[nodiscard]] bool isUsable(const GatewayTarget& target, const model::RoutedService& service, Timestamp now) const;
    /// A request of this gateway was sent to the target.
    void recordSent(GatewayTarget& target, const model::RoutedService& service, Timestamp now);
    static void recordReleased(GatewayTarget& target);
    [[nodiscard]] size_t size() const { return all_.size(); }
    /// Log position up to which all orders are known: retired targets, evacuated zones and rollouts.
    [[nodiscard]] const LogPosition& orders() const { return completeOrders_; }

private:
    struct Service {
        Duration slowStart {}; ///< As the plan states; zero if the service has none.
        std::map<model::TargetVersion, TargetVersionGroup> versions;
        struct Capacity {
            double slots = 0;
            double load = 0;
            size_t targets = 0;
        };
        std::map<RegionName, Capacity> capacityByRegion;
        std::map<RegionName, size_t> rankedByRegion; ///< Targets in the rankings of `versions`.
    };

    void applyOrders(const model::TargetReport& report, Timestamp now);
    void markReopened(TargetZone& zone, const LogPosition& position, Timestamp reopenedAt) const;
    void applyRetired(std::span<const model::TargetIncarnation> entries, Timestamp now);
    void updateRetirement(GatewayTarget& target, Timestamp now);
    void applyRecord(const model::TargetRecord& record, Timestamp now);
    /// Applies what the record says of a slow start. It counts even if the record is outdated otherwise, apart from the
    /// expectation of a start.
    void updateSlowStart(GatewayTarget& target, const model::TargetRecord& record, Timestamp now);
    /// Whether more recent information about the incarnation is known.
    [[nodiscard]] bool isOutdated(const model::TargetRecord& record, const GatewayTarget& known, Timestamp now) const;
    void addSlowStartNotice(GatewayTarget& target, const model::TargetRecord& record, Timestamp now);
    void applyUnchanged(std::span<const uint64_t> incarnationHashes, Timestamp now);
    void markListed(GatewayTarget& target, Timestamp now);
    /// Whether a record of an unknown incarnation may be added as a target.
    [[nodiscard]] bool mayAdd(const model::TargetRecord& record) const;
    GatewayTarget& add(const model::TargetRecord& record, Timestamp now);
    void remove(GatewayTarget& target);
    void update(GatewayTarget& target, const model::TargetRecord& record, Timestamp now);
    /// Returns the record of the target that was known at this address; null if there was none.
    std::unique_ptr<model::TargetRecord> displaceOtherAt(const model::TargetRecord& record, Timestamp now);
    /// Adds the displaced target again, in place of the one that took its address over.
    void restoreDisplaced(GatewayTarget& target, Timestamp now);
    [[nodiscard]] GatewayTarget* findById(const TargetId& target) const;
    [[nodiscard]] GatewayTarget* atAddress(const model::Address& address) const;
    [[nodiscard]] Proximity proximityOf(const GatewayTarget& target) const;
    TargetZone& zoneOf(const ZoneName& name);
    /// The target gets no new requests any more, so it is removed from the ranking.
    void markLeaving(GatewayTarget& target);
    [[nodiscard]] TargetVersionGroup& groupOf(const model::TargetRecord& record, Timestamp now);
    /// A version that appeared just now beside established ones: an order to roll it out may be on its way.
    [[nodiscard]] bool isUnconfirmed(
        const ServiceName& name, const Service& service, const TargetVersionGroup& group, Timestamp now) const;
    void addToRanking(GatewayTarget& target, Timestamp now);
    void removeFromRanking(GatewayTarget& target);
    void addToIndexes(GatewayTarget& target, Timestamp now);
    void removeFromIndexes(GatewayTarget& target);
    void updateCapacity(GatewayTarget& target, Timestamp now);
    void expire(Timestamp now);
    [[nodiscard]] bool isUsableUnconfirmed(const GatewayTarget& target, double slowStartPerSecond, Timestamp now) const;

    Location location_;
    SlowStartShare slowStartShare_;
    bool isConfirmed_ = true;
    LogPosition orders_; ///< Of the newest zones and rollouts.
    LogPosition completeOrders_; ///< No report of earlier orders is missing.
    LogPosition reportedOrders_; ///< Of the report being applied.
    HostId reportedBy_; ///< The registry host that sent it.
    RolloutTable rollouts_;
    std::map<ZoneName, TargetZone> zones_;
    membership::RetiredTargets retired_;
    membership::DisplacedTargets displaced_;
    std::unordered_map<TargetId, std::unique_ptr<GatewayTarget>> targets_;
    std::vector<GatewayTarget*> all_;
    std::map<model::Address, GatewayTarget*> byAddress_;
    std::unordered_map<uint64_t, GatewayTarget*> byIncarnationHash_;
    std::map<ServiceName, Service> services_;
    std::vector<model::TargetIncarnation> replaced_;
    std::vector<SlowStartNotice> slowStarts_;
    struct Refusal {
        model::TargetIncarnation target;
        Timestamp at;
        bool isRepetition = false; ///< The registry was told, but may not have received it.
        std::optional<Timestamp> answeredAt; ///< Of a repetition: the first response since, maybe of the next start.
    };
    /// That the registry may not have been told of, while the target may be in a slow start that began since.
    std::vector<Refusal> refused_;
    /// Whether the target may still be down, or in the slow start that began since.
    [[nodiscard]] static bool mayMatter(const Refusal& refusal, const GatewayTarget& target, Timestamp now);
    /// Adds the target's record if the registry shall be told now. Returns the refusal if it shall be told later.
    [[nodiscard]] std::optional<Refusal> report(
        Refusal refusal, std::vector<model::TargetRecord>& records, Timestamp connectedAt, Timestamp now) const;
    /// Back-pressure of incarnations that were removed; it applies again if the registry lists them again.
    std::map<model::TargetIncarnation, TargetBackpressure> formerBackpressure_;
    uint64_t reports_ = 0;
    Timestamp reportedAt_ {}; ///< Last report of any registry host.
    Timestamp totalsAt_ {}; ///< Last report of loads.
    Timestamp reachableSince_ {Duration::min() / 2};
    size_t nextCapacityUpdate_ = 0;
    size_t lastProbed_ = 0; ///< Index in all_.
    // Declared after the targets, so that the lists are destroyed first.
    TargetList<&GatewayTarget::listedHook> byLastListed_; ///< The one listed longest ago first.
    TargetList<&GatewayTarget::unresponsiveHook> unresponsive_;
    TargetList<&GatewayTarget::busyHook> busy_; ///< Targets with requests of this gateway.
    TargetList<&GatewayTarget::publishedHook> published_; ///< Targets with requests in the last report to the registry.
    TargetList<&GatewayTarget::totalHook> withTotals_; ///< Targets with requests in the registry's totals.
};

} // namespace saltvane::gateway
