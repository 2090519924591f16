/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/targetbackpressure.h"
#include "model/targetmessages.h"

#include <boost/intrusive/list.hpp>

#include <string_view>

namespace saltvane::gateway {

/// An availability zone as the standing orders have it.
struct TargetZone {
    ZoneName name;
    RegionName region;
    bool isClosed = false;
    Timestamp reopenedAt;
    uint64_t reopenedByReport = 0; ///< Number of the report that opened it again; 0: it was never closed.
};

/// One start of a target as this gateway knows it: what the registry told, what its answers tell, what this gateway
/// sent it.
struct GatewayTarget {
    model::TargetRecord record;
    const TargetZone* zone = nullptr;
    uint64_t hash = 0; ///< Places it among others: of its id.
    uint64_t startHash = 0; ///< Of this start: what it has warm, and its load, are its own.
    Timestamp addressSince {Duration::min() / 2}; ///< When it took its address over from another start.
    Timestamp heardAt; ///< When it last reported, as far as the registry's word tells.
    Timestamp namedAt; ///< When a registry host last named it.
    uint64_t namedByReport = 0; ///< Number of that report.
    Timestamp slowUntil; ///< End of its slow start.
    bool isSilent = false; ///< The registry host that heard it last hears nothing any more.

    uint32_t inFlight = 0; ///< Of this gateway.
    uint32_t othersLoad = 0; ///< Of other gateways, as of its last answer that told.
    Timestamp loadAt; ///< When that was.
    uint32_t sumInFlight = 0; ///< Of all gateways, as the registry last told.
    uint32_t toldInFlight = 0; ///< What the registry was last told of this gateway's requests.
    const Timestamp* sumsAt = nullptr; ///< When the registry last told of any target's load.
    Timestamp answeredAt; ///< Its last answer.
    uint32_t failures = 0; ///< In a row.
    Timestamp ejectedUntil;
    double slowStartBalance = 1; ///< Requests it may be sent now while it is slow.
    Timestamp slowStartAt;

    [[nodiscard]] const TargetId& id() const { return record.target; }
    [[nodiscard]] model::TargetIncarnation start() const
    {
        return {.target = record.target, .incarnation = record.incarnation};
    }
    /// Requests it works on or queues, as far as known.
    [[nodiscard]] double load(Timestamp now) const;
    [[nodiscard]] bool isSlowStarting(Timestamp now) const { return now < slowUntil; }
    /// Ejected once, and now due for one request that tells whether it is back.
    [[nodiscard]] bool isOnTrial() const { return failures >= FailuresToEject; }
    /// Its zone was opened again and it was not named since: it may have turned slow.
    [[nodiscard]] bool isHeld(Timestamp now) const;
    /// Whether new work may be sent to it, but for its slow start.
    [[nodiscard]] bool isOpen(Timestamp now) const { return now >= backpressure.closedUntil() && isAvailable(now); }
    /// The same, but for what it said of how much it takes.
    [[nodiscard]] bool isAvailable(Timestamp now) const;
    /// Requests it may have at once: no more of a limit than it allows in a second.
    [[nodiscard]] double usableSlots() const;
    void noteAnswered(Timestamp now);
    /// It broke off, or did not answer in time. `isCertain`: it can't be reached at all.
    void noteFailure(Timestamp now, bool isCertain);
    /// From its answer's header "running,waiting,slots"; anything else is ignored.
    void noteLoad(std::string_view text, Timestamp now);
    [[nodiscard]] bool hasFreeSlots(Timestamp now) const { return loadAt == now && load(now) < record.slots; }
    /// It refused a request. With slots free by its own word it is not full.
    void noteRefusal(Timestamp now);

    TargetBackpressure backpressure;

    static constexpr uint32_t FailuresToEject = 2;

    // Kept by TargetSet.
    using Hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
    Hook namedHook;
    Hook silentHook;
    Hook busyHook;
    Hook toldHook;
    Hook summedHook;
    size_t position = 0; ///< In the list of all.
    double countedSlots = 0; ///< Its part of the service's room as last counted.
    double countedLoad = 0;
};

template <GatewayTarget::Hook GatewayTarget::*Member>
using TargetList
    = boost::intrusive::list<GatewayTarget, boost::intrusive::member_hook<GatewayTarget, GatewayTarget::Hook, Member>,
        boost::intrusive::constant_time_size<false>>;

} // namespace saltvane::gateway
