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
#include <string>
#include <variant>
#include <vector>

/// What goes into a host's core and what comes out of it.
namespace saltvane::host {

struct LinkUp {
    HostId host;
    Incarnation incarnation;
};
struct LinkDown {
    HostId host;
};
/// SIGTERM: planned stop. A second one, or the time limit, ends what is left.
struct StopRequested { };

/// The settings name other seeds now. Nothing else of them changes while a process runs.
struct SeedsChanged {
    std::vector<model::Address> seeds;
};

using Event = std::variant<requests::HttpEvent, requests::TargetEvent, model::Delivery, LinkUp, LinkDown,
    control::StorageDone, control::StorageFailed, StopRequested, SeedsChanged>;

/// Keep a link to this address; the host id may be empty for a seed. Repeated each time the set changes.
struct LinksWanted {
    struct Peer {
        HostId host;
        model::Address address;
        auto operator<=>(const Peer&) const = default;
    };
    std::vector<Peer> peers;
};
/// What callers may send at this host's front, from now on.
struct CallerLimitsChanged {
    model::CallerLimits limits;
};
enum class LogSeverity { Info, Warning, Error };
struct LogLine {
    LogSeverity severity = LogSeverity::Info;
    std::string module;
    std::string text; ///< key=value pairs.
};
/// The planned stop is over; the process may exit.
struct StopFinished {
    uint32_t requestsCut = 0;
};

/// Actions, to be carried out in order.
/// What a host finds again at its next start. It may be lost, and holds no promise.
struct SoftState {
    model::TargetReport targets; ///< That reported to this host.
    model::SuspectReport suspects; ///< Requests that are blamed for the end of targets.
};
/// For the data folder.
struct SoftStateWrite {
    SoftState state;
};
using Action = std::variant<requests::Action, control::StorageWrite, SoftStateWrite, LinksWanted, CallerLimitsChanged,
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
    Duration wordAge {}; ///< Of a gateway: since it asked the registry something that was answered with a proof.
    std::vector<ZoneStatus> zones;
    std::vector<model::HostRecord> hosts;
    std::vector<model::RouteRow> rows;
    std::vector<ServiceName> services; ///< Of the bundle in force.
    std::vector<double> shiftProgress; ///< By service of the bundle.
    uint32_t requestsInFlight = 0;
    uint32_t dispatchesInFlight = 0;
    uint32_t targetsKnown = 0; ///< Of a gateway or registry host.
    uint32_t gatewaysKnown = 0; ///< Of a registry host.
    uint64_t callBytes = 0; ///< Of a registry host: bodies, orders and answers of calls under way.
};

} // namespace saltvane::host
