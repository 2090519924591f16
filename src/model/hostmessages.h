/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "base/timetypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages for host membership, zone summaries, credits and target ownership.
namespace saltvane::model {

struct Address {
    std::string ip;
    uint16_t port = 0;
    auto operator<=>(const Address&) const = default;
};

[[nodiscard]] std::string toString(const Address& address); ///< "127.0.0.1:8080"
/// Inverse of toString: an IP address and a port other than 0; an IPv6 address is in brackets.
[[nodiscard]] std::optional<Address> parseAddress(std::string_view text);

enum class HostState {
    Joining, ///< Has no current state yet, and accepts no requests.
    Serving,
    /// In its planned stop.
    Leaving
};

/// Current capacity of the targets of one service that one host owns.
struct ServiceRoom {
    ServiceName service;
    uint32_t targets = 0; ///< Owned and usable.
    uint32_t slots = 0; ///< Slots of all owned targets that are not leaving.
    uint32_t room = 0; ///< Requests in flight that the owner accepts in total; slow-start limits are applied.
    uint32_t inFlight = 0;
    uint32_t queued = 0;
    Duration queueDelay {}; ///< How long the oldest queued request has waited.
    auto operator<=>(const ServiceRoom&) const = default;
};

/// Demand for a service from one client region at one host, as concurrency (request rate times response time).
struct ServiceDemand {
    ServiceName service;
    RegionName clientRegion;
    double concurrency = 0;
    auto operator<=>(const ServiceDemand&) const = default;
};

/// State of one host. A record with a newer (incarnation, sequence) replaces an older one.
struct HostRecord {
    HostId host;
    Incarnation incarnation;
    uint64_t sequence = 0;
    ZoneName zone;
    RegionName region;
    Address linkAddress; ///< For links from other hosts.
    Address entryAddress; ///< For callers and targets.
    bool isControl = false;
    bool isControlLeader = false; ///< Set only while a quorum confirms it.
    HostState state = HostState::Joining;
    LogPosition inForce;
    BundleVersion inForceVersion;
    std::vector<ServiceRoom> services;
    std::vector<ServiceDemand> demands;
    std::vector<TargetId> ownedTargets; ///< Sent within the zone only; empty in zone reports.
    bool isIsolated = false; ///< Of a gateway: reaches no target, and serves callers by way of other gateways.
    auto operator<=>(const HostRecord&) const = default;
};

/// Sent by a host to the hosts of its zone several times a second.
struct Heartbeat {
    HostRecord record;
};

/// Sent by a zone's relay to the relays of the other zones, each of which forwards it to the hosts of its own zone.
struct ZoneReport {
    ZoneName zone;
    HostId relay;
    std::vector<HostRecord> hosts;
    std::vector<Duration> ages; ///< By host: time since the sender received its last heartbeat.
};

/// Sent by an entry host to request credit from an owner: a window of requests in flight.
struct CreditRequest {
    ServiceName service;
    uint32_t wanted = 0;
    uint32_t inUse = 0;
    uint64_t sequence = 0;
};

/// The owner's answer: a window that expires after `validFor`. A newer sequence replaces an older one.
struct CreditGrant {
    ServiceName service;
    uint32_t window = 0;
    Duration validFor {};
    uint64_t sequence = 0; ///< Sequence of the CreditRequest that this answers.
};

/// Transfers the ownership of a target to another host of the zone. The new owner may dispatch at once, but the
/// previous owner's requests still in flight count against the target's limits.
struct OwnershipHandover {
    TargetId target;
    Incarnation targetIncarnation;
    ServiceName service;
    ZoneName zone;
    Address address;
    uint32_t slots = 0;
    uint32_t connections = 0;
    uint32_t concurrencyLimit = 0; ///< Current limit of the slow start.
    uint32_t stillInFlight = 0;
};

/// Sent by the previous owner of a target as its remaining requests complete.
struct HandoverProgress {
    TargetId target;
    Incarnation targetIncarnation;
    uint32_t stillInFlight = 0;
};

/// The fraction of one client region's requests for a service that each zone receives.
struct RouteRow {
    ServiceName service;
    RegionName region;
    std::vector<ZoneName> zones;
    std::vector<double> shares;
    auto operator<=>(const RouteRow&) const = default;
};

/// Sent by a starting host to get the current rows of other hosts, so that it joins a running shift at its current
/// state.
struct RowsRequest { };
struct RowsReply {
    LogPosition inForce;
    std::vector<RouteRow> rows;
};

} // namespace saltvane::model
