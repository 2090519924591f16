/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "base/timetypes.h"
#include "model/hostmessages.h"
#include "model/rolloutmessages.h"

#include <cstdint>
#include <vector>

/// Messages from control hosts to gateways about the targets that report to the control hosts.
namespace saltvane::model {

/// A target whose last heartbeat is this old is no longer used. Heartbeats are sent every 1 to 2 s and may arrive a few
/// seconds late.
constexpr Duration TargetHeartbeatTimeout = 12s;

/// One start of a target. A target may restart under the same id; its later incarnation always replaces the earlier
/// one, in whatever order reports of them arrive (docs/design/0012-target-incarnations.md).
struct TargetIncarnation {
    TargetId target;
    Incarnation incarnation; ///< Unix time of the start in milliseconds, by the target's clock; 0: not reported.
    auto operator<=>(const TargetIncarnation&) const = default;
};

/// The last report of one target incarnation.
struct TargetRecord {
    TargetId target;
    Incarnation incarnation; ///< As in TargetIncarnation.
    ServiceName service;
    TargetVersion version; ///< Of its software.
    Address address;
    ZoneName zone;
    uint32_t slots = 0; ///< Number of requests that it processes concurrently.
    bool isLeaving = false;
    Duration slowStartLeft {}; ///< Remaining slow start at the time of the report.
    uint64_t sequence = 0; ///< Of the target's reports; a higher sequence replaces a lower one.
    Duration age {}; ///< Time since the report arrived. TargetHeartbeatTimeout or more: the target is unresponsive.
    HostId slowStartHost; ///< The only gateway that may use the target during its slow start; empty: unknown.
    /// The target refused a gateway a connection and may start again at any moment: it is used as in a slow start until
    /// it reports. From a gateway: it was refused a connection.
    bool isStartExpected = false;
    /// Restored from disk after a restart of the control host: true until the target reports again or becomes
    /// unresponsive. A report of another target at the same address always takes precedence.
    bool isRecalled = false;
    auto operator<=>(const TargetRecord&) const = default;
};

/// The end of a zone's evacuation. Its targets may have entered a slow start shortly before.
struct ReopenedZone {
    ZoneName zone;
    LogPosition position; ///< Of the order that ended it.
    Duration age {}; ///< Time since the sender learnt of it.
    auto operator<=>(const ReopenedZone&) const = default;
};

/// Sent by a control host to a gateway: the changes since its last report, or the full state.
struct TargetReport {
    LogPosition orders; ///< Log position of the operator's orders in this report; older orders are obsolete.
    /// `retired` lists the orders after this position; position 0: all that are kept, as in the full state.
    LogPosition ordersSince {};
    std::vector<ZoneName> evacuatedZones; ///< The complete list.
    /// The newest of the zones whose targets may still be in a slow start since they were reopened; the full state
    /// lists all of these.
    std::vector<ReopenedZone> reopenedZones;
    std::vector<TargetIncarnation> retired; ///< These and all earlier incarnations get no new work from now on.
    std::vector<TargetRecord> targets;
    std::vector<RolloutOrder> rollouts; ///< The complete list.
    std::vector<uint64_t> unchanged; ///< Targets that still report as in their latest record, by incarnationHash().
    uint32_t gateways = 0; ///< Gateways in contact with the control host; 0: unknown.
    uint32_t gatewayNumber = 0; ///< Position of the receiver among them, from 1; 0: unknown.
    uint32_t registryVoters = 0; ///< Voters of the registry's group, as the sender knows it; 0: unknown.
};

/// Position of a target in the placement of objects; the same for all its incarnations, so that objects are placed on
/// it again after a restart.
[[nodiscard]] uint64_t targetHash(const TargetId& target);
/// Identifies one incarnation of a target in messages about many targets, and its warm objects.
[[nodiscard]] uint64_t incarnationHash(const TargetIncarnation& start);

/// Requests in flight by target. From a gateway: its own. From a control host: those of all gateways, a few tenths of a
/// second old. Targets without requests in flight are omitted.
struct TargetLoads {
    std::vector<uint64_t> targets; ///< By incarnationHash().
    std::vector<uint32_t> inFlight; ///< Same length as `targets`.
    bool isChange = false; ///< Targets that are not listed are unchanged since the previous message.
};

} // namespace saltvane::model
