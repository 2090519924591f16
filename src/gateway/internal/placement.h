/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/regionsplit.h"
#include "gateway/internal/targetset.h"
#include "model/reasons.h"

#include <boost/random/mersenne_twister.hpp>

#include <map>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace saltvane::gateway {

struct PlacementQuery {
    const model::Route& route;
    const model::RoutedService& service;
    std::optional<uint64_t> object; ///< Hash of the request's object; none: any target will do.
    Duration elapsed {}; ///< Since the request came in.
    Duration left {}; ///< Until its deadline.
    std::span<const TargetId> tried;
};

struct PlacementRefusal {
    model::Reason reason = model::Reason::NoRoom;
    Duration retryAfter {};
};

/// Chooses a target: by the request's object, so that targets find it warm, within the region's share, and only where
/// the answer can be expected in time.
class Placement {
public:
    Placement(const TargetSet& targets, const RegionSplit& split, ZoneName zone, RegionName region, uint64_t seed);

    [[nodiscard]] std::variant<GatewayTarget*, PlacementRefusal> choose(const PlacementQuery& query, Timestamp now);
    /// An answer's head came in: teaches how long the service takes.
    void noteAnswer(GatewayTarget& target, Duration taken, double loadAtStart, Timestamp now);
    /// Time to answer that is usual for the service on an idle target.
    [[nodiscard]] Duration usualTime(const ServiceName& service) const;

private:
    struct Candidate {
        GatewayTarget* target = nullptr;
        uint64_t rank = 0; ///< Of this object; the highest is its first choice.
    };
    using Candidates = std::vector<Candidate>;

    [[nodiscard]] Duration estimate(const GatewayTarget& target, const ServiceName& service, Timestamp now) const;
    [[nodiscard]] GatewayTarget* best(Candidates& candidates, const PlacementQuery& query, Timestamp now) const;
    [[nodiscard]] bool fits(
        const GatewayTarget& target, Duration estimate, const PlacementQuery& query, Timestamp now) const;
    [[nodiscard]] bool isPermitted(const GatewayTarget& target, const PlacementQuery& query) const;
    [[nodiscard]] bool trySpendDetour(Timestamp now);

    const TargetSet& targets_;
    const RegionSplit& split_;
    ZoneName zone_;
    RegionName region_;
    boost::random::mt19937_64 random_;
    std::map<ServiceName, Duration> usualTimes_;
    double detours_ = 0; ///< Requests that may run in another region than their object says.
    uint64_t chosen_ = 0;
};

} // namespace saltvane::gateway
