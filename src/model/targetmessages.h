/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "base/timetypes.h"
#include "model/hostmessages.h"

#include <cstdint>
#include <vector>

/// What control hosts tell gateways of the targets that report to them.
namespace saltvane::model {

/// A target that sent no heartbeat for so long is not used any more. They come every 1 to 2 s, some seconds late.
constexpr Duration TargetSilenceLimit = 12s;

/// One start of a target. Targets may start again under their id; a later incarnation replaces an earlier one wherever
/// the two meet, in whatever order word of them comes. docs/design/0012-target-incarnations.md
struct TargetIncarnation {
    TargetId target;
    Incarnation incarnation; ///< Unix milliseconds of the start by the target's own clock; 0: it doesn't tell.
    auto operator<=>(const TargetIncarnation&) const = default;
};

/// One start of a target, as it last reported.
struct TargetRecord {
    TargetId target;
    Incarnation incarnation; ///< As in TargetIncarnation.
    ServiceName service;
    Address address;
    ZoneName zone;
    uint32_t slots = 0; ///< Requests it works on at once.
    bool isLeaving = false;
    Duration slowStartLeft {}; ///< How long it stays slow, counted from the report.
    uint64_t sequence = 0; ///< Of the target's reports; a higher one replaces a lower one.
    Duration age {}; ///< Since the report came in. TargetSilenceLimit or more: the target is silent.
    HostId slowStartHost; ///< The only gateway that may use it while it is slow; empty: none is known.
    /// From a disk, as before the control host restarted: true until the target reports or falls silent. Never goes
    /// before word of another target at its address.
    bool isRecalled = false;
    auto operator<=>(const TargetRecord&) const = default;
};

/// From a control host to a gateway: what changed since its last report, or everything.
struct TargetReport {
    LogPosition orders; ///< The standing orders are as of here; older ones are void.
    std::vector<ZoneName> evacuatedZones; ///< All of them.
    std::vector<TargetIncarnation> retired; ///< They and all earlier starts get no new work from now on.
    std::vector<TargetRecord> targets;
};

/// Places a target among others; the same for all its starts, so that its objects come back to it.
[[nodiscard]] uint64_t targetHash(const TargetId& target);
/// Stands for one start of a target in messages that name many, and for what that start has warm.
[[nodiscard]] uint64_t incarnationHash(const TargetIncarnation& start);

/// Requests in flight by target. From a gateway: its own. From a control host: those of all gateways, some tenths of a
/// second old. Targets without any are left out.
struct TargetLoads {
    std::vector<uint64_t> targets; ///< By incarnationHash.
    std::vector<uint32_t> inFlight; ///< Of the same length.
    bool isChange = false; ///< Targets that aren't named are as they were told before.
};

} // namespace saltvane::model
