/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace saltvane::requests {

/// Identifies a forwarded request. The correlation ids of one incarnation of an entry host increase.
struct ExchangeKey {
    HostId host;
    Incarnation incarnation;
    CorrelationId correlation;
    auto operator<=>(const ExchangeKey&) const = default;
};

/// Detects frames of requests that have ended and of earlier incarnations of entry hosts, so that a duplicate or
/// delayed frame never starts a request again.
class OwnerDuplicateFilter {
public:
    enum class Freshness {
        Current,
        Restarted, ///< First frame of a newer incarnation.
        Stale ///< Frame of an earlier incarnation.
    };
    [[nodiscard]] Freshness checkIncarnation(const HostId& host, Incarnation incarnation);

    void recordEnded(const ExchangeKey& key);
    /// True if the request has ended, or if its id is so old that it counts as ended.
    [[nodiscard]] bool hasEnded(const ExchangeKey& key) const;

private:
    struct Peer {
        Incarnation incarnation;
        uint64_t endedUpTo = 0; ///< All correlation ids up to this one count as ended.
        std::set<uint64_t> ended; ///< Ended requests with ids above endedUpTo.
    };
    std::map<HostId, Peer> peers_;
};

} // namespace saltvane::requests
