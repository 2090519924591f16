/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/finding.h"
#include "base/ids.h"
#include "base/timetypes.h"

#include <optional>
#include <string>
#include <vector>

/// The bundle: the versioned configuration in which operators declare where each service's traffic may go
/// (docs/BUNDLES.md).
namespace saltvane::model {

/// The criterion that weighs most when choosing among zones that have headroom.
enum class Objective { Latency, Headroom };

/// Limits how fast a service's traffic moves between zones: at most `share` of it in any window of length `window`.
struct ShiftCap {
    double share = 0.1; ///< Fraction of the service's traffic, over 0 and up to 1.
    Duration window = 10s;
};

/// The fraction of a zone's capacity for a service that may be used: 0 closes the zone (a drain), 1 opens all of it.
struct ZoneShare {
    ZoneName zone;
    double open = 1.0;
    Location location;
};

/// Requests with this method and path prefix may be repeated; requests that match no rule run at most once.
struct RepeatableRule {
    std::string method;
    std::string pathPrefix = "/"; ///< Matches whole path segments.
    Location location;
};

struct Service {
    ServiceName name;
    std::vector<ZoneShare> zones;
    ShiftCap shiftCap;
    std::optional<ShiftCap> failoverCap; ///< For moves that a failure forces. Not set: the shift cap applies.
    std::vector<RepeatableRule> repeatable;
    Duration defaultDeadline = 2s;
    Duration maximumDeadline = 60s;
    Duration entryTtl = 30s; ///< How long a caller may cache the answer to a look-up.
    Duration keyRetention = 24h; ///< How long idempotency keys chosen by callers are stored.
    Location location;
};

struct Zone {
    ZoneName name;
    RegionName region;
    Location location;
};

struct Region {
    RegionName name;
    Location location;
};

/// One-way delay between two regions that differs from Delays::betweenRegions. Applies to the opposite direction too,
/// unless the bundle has an entry for that direction.
struct RegionDelay {
    RegionName from;
    RegionName to;
    Duration delay {};
    Location location;
};

/// Maximum number of requests in flight from one region to another.
struct LinkLimit {
    RegionName from;
    RegionName to;
    uint32_t requestsInFlight = 0;
    Location location;
};

/// Assigns the clients of an address block to the region that is nearest to them.
struct ClientBlock {
    std::string prefix; ///< CIDR, IPv4 or IPv6.
    RegionName region;
    Location location;
};

/// An operator who may sign bundles.
struct Operator {
    OperatorName name;
    std::string publicKey; ///< Ed25519, in base64.
    Location location;
};

/// Default one-way delays.
struct Delays {
    Duration betweenZones = 1ms;
    Duration betweenRegions = 35ms;
    Duration toClients = 8ms;
};

struct Bundle {
    std::string deployment;
    BundleVersion version;
    Objective objective = Objective::Latency;
    Delays delays;
    std::vector<Region> regions;
    std::vector<Zone> zones;
    std::vector<RegionDelay> regionDelays;
    std::vector<LinkLimit> linkLimits;
    std::vector<ClientBlock> clients;
    RegionName defaultClientRegion; ///< Region of clients whose address is in no block.
    std::vector<Service> services;
    std::vector<Operator> operators;
};

/// Checks references, ranges and duplicates. Reports all findings in one pass.
[[nodiscard]] Findings checkBundle(const Bundle& bundle);

} // namespace saltvane::model
