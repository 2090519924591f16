/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/controltypes.h"
#include "model/counters.h"
#include "model/message.h"
#include "model/routeplan.h"
#include "requests/exchangetypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// Events that a host's core handles and actions that it returns.
namespace saltvane::host {

struct LinkUp {
    HostId host;
    Incarnation incarnation;
};
struct LinkDown {
    HostId host;
};
/// SIGTERM: starts a planned stop. A second one, or the time limit, terminates the remaining requests.
struct StopRequested { };

/// The settings list other seeds now. No other setting changes while the process runs.
struct SeedsChanged {
    std::vector<model::Address> seeds;
};

using Event = std::variant<requests::HttpEvent, requests::TargetEvent, model::Delivery, LinkUp, LinkDown,
    control::StorageDone, control::StorageFailed, StopRequested, SeedsChanged>;

/// The complete set of peers to keep links to; emitted again each time the set changes.
struct DesiredLinks {
    struct Peer {
        HostId host; ///< May be empty for a seed.
        model::Address address;
        auto operator<=>(const Peer&) const = default;
    };
    std::vector<Peer> peers;
};
/// Limits on what callers may send to this host, in effect from now on.
struct CallerLimitsChanged {
    model::CallerLimits limits;
};
enum class LogSeverity { Info, Warning, Error };
struct LogLine {
    LogSeverity severity = LogSeverity::Info;
    std::string module;
    std::string text; ///< key=value pairs.
};
/// The planned stop is complete; the process may exit.
struct StopFinished {
    uint32_t requestsCut = 0;
};

/// State that a host restores at its next start. Losing it is safe: no guarantee depends on it.
struct SoftState {
    model::TargetReport targets; ///< Targets that reported to this host.
    model::SuspectReport suspects; ///< Requests that are, or may soon be, blamed for failures of targets.
};
/// Writes the soft state to the data folder.
struct SoftStateWrite {
    SoftState state;
};
/// The driver carries out actions in the order in which they were returned.
using Action = std::variant<requests::Action, control::StorageWrite, SoftStateWrite, DesiredLinks, CallerLimitsChanged,
    LogLine, StopFinished>;

/// One zone as this host sees it, for status pages and gauges.
struct ZoneStatus {
    ZoneName zone;
    ServiceName service;
    double openShare = 0;
    uint32_t room = 0;
    uint32_t inFlight = 0;
    uint32_t queued = 0;
};

struct HostStatus {
    HostId host;
    Incarnation incarnation;
    model::HostState state = model::HostState::Joining;
    bool isCutOff = false;
    bool isControlLeader = false;
    bool isControlCurrent = false;
    HostId controlLeader;
    LogPosition inForce;
    BundleVersion inForceVersion;
    Duration stateAge {};
    Duration
        registryInfoAge {}; ///< Of a gateway: since it sent the last registry request whose response carried a proof.
    LogPosition orders; ///< Of a gateway or registry host: the newest orders about targets and zones that it knows.
    std::vector<ZoneStatus> zones;
    std::vector<model::HostRecord> hosts;
    std::vector<model::RouteRow> rows;
    std::vector<ServiceName> services; ///< In the bundle in force.
    std::vector<double> shiftProgress; ///< In the order of `services`.
    uint32_t requestsInFlight = 0;
    uint32_t dispatchesInFlight = 0;
    uint32_t targetsKnown = 0; ///< Of a gateway or registry host.
    bool areTargetsUnreachable = false; ///< Of a gateway: all targets fail on its side of the network.
    uint32_t gatewaysKnown = 0; ///< Of a registry host.
    std::map<ServiceName, model::RolloutPhase> rollouts; ///< Latest rollout of each service; empty without proof.
    uint64_t bodyBytes = 0; ///< Of a gateway: bytes held for bodies of requests.
    uint64_t callBytes = 0; ///< Of a registry host: bytes of bodies, orders and responses of calls in progress.
};

} // namespace saltvane::host
