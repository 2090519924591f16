/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/peermessages.h"

#include <optional>
#include <span>
#include <vector>

namespace saltvane::gateway {

/// A gateway that may carry requests for this one.
struct Peer {
    model::PeerRecord record;
    uint32_t inFlight = 0; ///< Requests of this gateway that it carries.
    Timestamp answeredAt; ///< When it last answered anything.
    Timestamp unavailableUntil; ///< Gets no requests until then, after it failed or refused one.
};

/// The gateways that may carry requests for this one, as the registry last reported them: a few, however many there
/// are.
class PeerSet {
public:
    struct Location {
        ZoneName zone;
        RegionName region;
    };
    explicit PeerSet(Location location);

    /// Replaces the peers; what is known of those that stay is kept.
    void applyReport(const model::PeerReport& report);
    struct Query {
        /// Regions in which the request may be handled, by its route and by its client account; an empty list permits
        /// all.
        std::span<const RegionName> routeRegions;
        std::span<const RegionName> accountRegions;
        std::span<const HostId> attempted; ///< Peers that the request was sent to before.
    };
    /// The nearest available peer; among those at the same distance, the one with the fewest requests in flight. Null:
    /// none.
    [[nodiscard]] Peer* choose(const Query& query, Timestamp now);
    /// Returns null if the host is not a peer any more.
    [[nodiscard]] Peer* find(const HostId& host);
    [[nodiscard]] bool isEmpty() const { return peers_.empty(); }

    /// After a failure, a peer gets no requests for this long.
    static constexpr Duration FailureBackoff = 1s;
    /// The same, after it could not carry a request itself.
    static constexpr Duration RefusalBackoff = 250ms;

private:
    [[nodiscard]] int distanceTo(const Peer& peer) const;

    Location location_;
    std::vector<Peer> peers_;
};

} // namespace saltvane::gateway
