/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/responsetimewindow.h"
#include "gateway/internal/sendcounter.h"
#include "gateway/internal/slowstartshare.h"
#include "gateway/internal/targetbackpressure.h"
#include "model/targetmessages.h"

#include <algorithm>
#include <boost/intrusive/list.hpp>

#include <memory>
#include <optional>
#include <string_view>

namespace saltvane::gateway {

/// An availability zone with its state from the operator's orders.
struct TargetZone {
    ZoneName name;
    RegionName region;
    bool isClosed = false;
    Timestamp reopenedAt; ///< When the zone's evacuation ended, as far as known; never earlier than that.
    LogPosition reopenedPosition; ///< Of the order that ended it.
    uint64_t reopenedByReport = 0; ///< Number of the report that told of it; 0 if the zone was never reopened.
};

struct TargetVersionGroup;

/// State of one incarnation of a target, from the registry's reports, the target's responses and this gateway's own
/// requests.
struct GatewayTarget {
    model::TargetRecord record;
    const TargetZone* zone = nullptr;
    const Duration* serviceSlowStart = nullptr; ///< How long a slow start takes in its service, as the plan states.
    TargetVersionGroup* group = nullptr; ///< The targets of its service and version.
    uint64_t hash = 0; ///< Hash of the target's id, for ranking.
    uint64_t incarnationHash = 0; ///< Hash of the incarnation: warm objects and load belong to one incarnation.
    /// The target that it took its address over from, as last reported. That one may be the newer of the two: registry
    /// hosts list targets that stopped until they miss their reports.
    std::unique_ptr<model::TargetRecord> displaced;
    Timestamp addressSince {Duration::min() / 2}; ///< When this incarnation took its address over from another one.
    HostId reportedBy; ///< The registry host that sent the record.
    Timestamp lastReportAt; ///< When the target last reported to the registry, as far as known.
    Timestamp lastListedAt; ///< When a registry host's report last listed the target.
    uint64_t lastListedInReport = 0; ///< Number of that report.
    Timestamp slowUntil; ///< End of the slow start that the target reported to the registry, or stated in a response.
    /// When a registry host first stated that a start is expected, until a report shows that the target runs.
    std::optional<Timestamp> startExpectedSince;
    HostId startExpectedBy; ///< That registry host.
    Timestamp statedSlowUntil; ///< Of a slow start stated in a response. Reports to the registry may be older than it.
    ResponseTimeWindow responseTimes;
    uint32_t lateRequests = 0; ///< Requests of this gateway in flight for longer than most recent ones took.
    /// It became known after a leave without an incarnation, and counts as leaving until the registry knows which
    /// leaves.
    bool isLeaveUnresolved = false;
    bool isListedAsLeaving = false; ///< A registry host knows that it leaves.
    bool isUnresponsive = false; ///< The registry host that last received its reports receives none any more.

    uint32_t inFlight = 0; ///< Requests of this gateway at the target.
    SendCounter sends; ///< Requests of this gateway.
    /// Requests of other gateways, as of the target's last response that stated its load.
    uint32_t otherGatewaysLoad = 0;
    Timestamp loadUpdatedAt; ///< When that response was received.
    uint32_t totalInFlight = 0; ///< Requests of all gateways, as last reported by the registry.
    uint32_t publishedInFlight = 0; ///< Requests of this gateway, as last reported to the registry.
    const Timestamp* totalsAt = nullptr; ///< When the registry last reported loads of any targets.
    Timestamp answeredAt; ///< Time of the last response.
    uint32_t failures = 0; ///< Consecutive failures.
    uint32_t brokenResponses = 0; ///< Consecutive responses that broke off or did not end in time.
    Timestamp ejectedUntil;
    uint32_t overlongResponses = 0; ///< Present responses that are far longer than the route's usual ones.
    uint32_t unfinishedResponses = 0; ///< Overlong responses that were given up since one was complete.
    Timestamp avoidedUntil; ///< Backoff after an overlong response was given up.
    Timestamp failedAt; ///< Time of the last failure.
    std::optional<Timestamp> refusedAt; ///< When the target last refused a connection: no process listened there.
    /// When the registry was last told of a refusal; none since the target last answered.
    std::optional<Timestamp> refusalReportedAt;
    const Timestamp* reachableSince = nullptr; ///< Failures before this were the network's, not the target's.
    /// Its connections carry one request each until then, since it sent bytes that no request waited for.
    Timestamp singleUseUntil;
    Duration singleUsePeriod {};
    SendPace slowStartPace; ///< During its slow start, if this gateway is the one that may use it.
    SendPace unconfirmedPace; ///< While the registry's information is not current.

    [[nodiscard]] const TargetId& id() const { return record.target; }
    [[nodiscard]] model::TargetIncarnation targetIncarnation() const
    {
        return {.target = record.target, .incarnation = record.incarnation};
    }
    /// Requests that the target runs or queues, as far as known.
    [[nodiscard]] double load(Timestamp now) const;
    [[nodiscard]] bool isSlowStarting(Timestamp now) const
    {
        return now < slowUntil || isStartExpected(now) || isRecentlyReopened(now);
    }
    /// Whether the target has stopped and may start again. The registry removes it if it does not report in time.
    [[nodiscard]] bool isStartExpected(Timestamp now) const
    {
        return startExpectedSince && now - *startExpectedSince < model::TargetHeartbeatTimeout + *serviceSlowStart;
    }
    /// Refused this gateway a connection so recently that a start since then would still be slow.
    [[nodiscard]] bool hasRefusedRecently(Timestamp now) const
    {
        return refusedAt && now - *refusedAt < *serviceSlowStart && !isRefusalOfNetwork();
    }
    /// No target was reachable when it last refused a connection.
    [[nodiscard]] bool isRefusalOfNetwork() const
    {
        return refusedAt && reachableSince != nullptr && *refusedAt < *reachableSince;
    }
    /// Whether the target may be in a slow start that began before its zone was reopened. Its reports don't show that
    /// it isn't: one from before the slow start may arrive after the reopening.
    [[nodiscard]] bool isRecentlyReopened(Timestamp now) const
    {
        return zone->reopenedByReport > 0 && now < zone->reopenedAt + *serviceSlowStart;
    }
    /// Was ejected; a single request shall find out whether it works again.
    [[nodiscard]] bool isOnTrial() const
    {
        return std::max(failures, brokenResponses) >= FailuresToEject && !areFailuresVoid();
    }
    /// Its failures ejected it for now.
    [[nodiscard]] bool isEjected(Timestamp now) const { return now < ejectedUntil && !areFailuresVoid(); }
    /// Other targets are preferred: overlong responses are open, or were given up recently. Afterwards a single request
    /// shall find out whether its responses end. It stays in use if no other target can respond in time, since a long
    /// response need not be a fault.
    [[nodiscard]] bool isAvoided(Timestamp now) const
    {
        return overlongResponses > 0 || now < avoidedUntil || (unfinishedResponses > 0 && inFlight > 0);
    }
    [[nodiscard]] bool areFailuresVoid() const { return reachableSince != nullptr && failedAt < *reachableSince; }
    /// Its zone was reopened recently and the target was not listed since: the gateway that may use it is unknown.
    [[nodiscard]] bool isAwaitingReport(Timestamp now) const;
    /// Whether new requests may be sent to it, apart from the slow start.
    [[nodiscard]] bool isOpen(Timestamp now) const
    {
        return now >= backpressure.unavailableUntil() && isAvailable(now);
    }
    /// The same, ignoring the back-pressure that it signalled.
    [[nodiscard]] bool isAvailable(Timestamp now) const;
    /// Whether a request that was dispatched to it before may still be sent: no order, report or response since then
    /// asks for no new requests.
    [[nodiscard]] bool mayReceive(Timestamp now) const;
    /// Concurrent requests for which it counts: its slots, but no more than its limit in requests per second.
    [[nodiscard]] double usableSlots() const;
    /// The head of a response was received.
    void onAnswered(Timestamp now);
    void onResponseCompleted();
    /// A response broke off after its head, or did not end in time.
    void onResponseBroken(Timestamp now);
    /// An overlong response was given up, by its caller or at its deadline.
    void onResponseUnfinished(Timestamp now);
    /// The target lost the connection or did not answer in time. `isCertain`: it can't be reached at all.
    void onFailure(Timestamp now, bool isCertain);
    /// It sent bytes on a connection on which no request waited for them: the next response there can't be relied on.
    /// Returns whether a period in which its connections carry one request each begins.
    bool onSurplusBytes(Timestamp now);
    /// Whether a request must have a connection of its own. Repeatable requests are the first to share connections
    /// again: one that gets a surplus response can be sent elsewhere.
    [[nodiscard]] bool needsExclusiveConnection(bool isRepeatable, Timestamp now) const
    {
        return now < singleUseUntil + (isRepeatable ? Duration::zero() : singleUsePeriod);
    }
    /// Ejects it for longer with each consecutive failure.
    void eject(uint32_t consecutiveFailures, Timestamp now);
    /// Parses the load header "running,waiting,slots"; malformed values are ignored.
    void updateLoad(std::string_view text, Timestamp now);
    [[nodiscard]] bool hasFreeSlots(Timestamp now) const { return loadUpdatedAt == now && load(now) < record.slots; }
    /// The target refused a request. It is not considered full if it stated free slots at the same time.
    void onRefusal(Timestamp now);

    TargetBackpressure backpressure;

    static constexpr uint32_t FailuresToEject = 2;

    // Maintained by TargetSet.
    using Hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
    Hook listedHook;
    Hook unresponsiveHook;
    Hook busyHook;
    Hook publishedHook;
    Hook totalHook;
    size_t position = 0; ///< Index in the list of all targets.
    double countedSlots = 0; ///< Its part of the service's capacity as last counted.
    double countedLoad = 0;
};

template <GatewayTarget::Hook GatewayTarget::*Member>
using TargetList
    = boost::intrusive::list<GatewayTarget, boost::intrusive::member_hook<GatewayTarget, GatewayTarget::Hook, Member>,
        boost::intrusive::constant_time_size<false>>;

} // namespace saltvane::gateway
