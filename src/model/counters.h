/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/closereason.h"
#include "model/reasons.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace saltvane::model {

/// Counters of a host. Each is exported as a Prometheus counter (docs/METRICS.md).
enum class Counter {
    LookUps,
    LookUpsRefused,
    Requests,
    RequestsAnswered,
    RequestsNotRun,
    RequestsUnknown,
    ForwardsSent,
    ForwardsReceived,
    Dispatches,
    Retries,
    Diversions, ///< Requests sent to another zone than their route row selects.
    Announcements,
    AnnouncementsRefused,
    OwnershipsTaken,
    OwnershipsLost,
    OwnershipHandovers,
    Ejections,
    TrialRequests,
    CreditsGranted,
    StaleMessages, ///< Messages of an older incarnation, sequence number or term.
    KeysClaimed,
    KeyReplays, ///< Repeated requests answered with the stored answer.
    LateFrames, ///< Frames of a request that has completed.
    BrokenBodies,
    HostsSuspected,
    HostsJoined,
    BundlesInstalled,
    BundlesRefused,
    BundlePulls,
    Elections,
    Commits,
    SnapshotsTaken,
    SnapshotsReceived,
    NotCurrentAnswers,
    LinkAuthFailures,
    BadFrames,
    BadHttpRequests,
    LinkBytes, ///< Bytes of frames queued for other hosts.
    BundleBytes, ///< The part of LinkBytes that carries plans and bundles to hosts that use them.
    RowMoves, ///< Ticks in which a route row moved.
    RowMovesCapped, ///< Ticks in which the shift cap limited the move of a route row.
    TargetsLostUnderRequests, ///< Runs that this host saw fail because their target ended.
    RequestsBlamed, ///< Requests that this host found to end the targets that run them.
    LimitedDispatches, ///< Requests sent to targets whose answers name a limit.
    SlowStartDispatches, ///< Requests sent to targets in their slow start.
    UnconfirmedDispatches, ///< Requests sent to targets while the registry's information was not current.
    SurplusResponses, ///< Times that a target sent bytes that no request waited for.
    OverdueUnread, ///< Times that a connection beyond a time limit was kept because of unread bytes of the caller.
    RequestsAfterClose, ///< Requests that arrived on a connection that the host had closed.
    UnacknowledgedCloses, ///< Connections to targets that were closed with unacknowledged bytes of a request.
    Count
};

/// Counter values of one host. Modules increment them through a reference; the metrics endpoint reads them.
struct Counters {
    std::array<uint64_t, static_cast<size_t>(Counter::Count)> values {};
    std::array<uint64_t, static_cast<size_t>(Reason::Count)> refusals {};
    std::array<uint64_t, static_cast<size_t>(Reason::Count)> retries {};
    std::array<uint64_t, static_cast<size_t>(Reason::Count)> unknowns {};
    std::array<uint64_t, static_cast<size_t>(Reason::Count)> withheld {};
    std::array<uint64_t, static_cast<size_t>(CloseReason::Count)> closes {}; ///< Of callers' connections.

    void add(Counter counter, uint64_t count = 1) { values[static_cast<size_t>(counter)] += count; }
    void addRefusal(Reason reason) { ++refusals[static_cast<size_t>(reason)]; }
    void addRetry(Reason reason) { ++retries[static_cast<size_t>(reason)]; }
    void addUnknown(Reason reason) { ++unknowns[static_cast<size_t>(reason)]; }
    void addWithheld(Reason reason) { ++withheld[static_cast<size_t>(reason)]; }
    void addClose(CloseReason reason) { ++closes[static_cast<size_t>(reason)]; }
    [[nodiscard]] uint64_t value(Counter counter) const { return values[static_cast<size_t>(counter)]; }
    [[nodiscard]] uint64_t refusal(Reason reason) const { return refusals[static_cast<size_t>(reason)]; }
    [[nodiscard]] uint64_t withheldFor(Reason reason) const { return withheld[static_cast<size_t>(reason)]; }
    [[nodiscard]] uint64_t closesFor(CloseReason reason) const { return closes[static_cast<size_t>(reason)]; }
};

struct CounterInfo {
    std::string_view name; ///< Prometheus name, "saltvane_..._total".
    std::string_view help;
};

[[nodiscard]] CounterInfo infoOf(Counter counter);

} // namespace saltvane::model
