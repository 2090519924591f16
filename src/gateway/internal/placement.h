/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/regionsplit.h"
#include "gateway/internal/targetset.h"
#include "gateway/internal/warmobjects.h"
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
    bool isRepeat = false; ///< It was taken on already: also a late answer is wanted.
    std::span<const TargetId> tried;
};

/// Place of a target in the order of an object's targets.
enum class Choice : uint8_t { First, Second, Other };

struct Placed {
    GatewayTarget* target = nullptr;
    Choice choice = Choice::Other;
};

struct PlacementRefusal {
    model::Reason reason = model::Reason::NoRoom;
    Duration retryAfter {};
    uint32_t known = 0; ///< Targets of the service.
    uint32_t usable = 0; ///< Those that might be sent new work at all.
};

/// Chooses a target: by the request's object, so that targets find it warm, within the region's share, and only where
/// the answer can be expected in time.
class Placement {
public:
    Placement(const TargetSet& targets, const RegionSplit& split, ZoneName zone, RegionName region, uint64_t seed);

    [[nodiscard]] std::variant<Placed, PlacementRefusal> choose(const PlacementQuery& query, Timestamp now);
    /// What an answer's head teaches of the target and its service.
    struct Answer {
        std::optional<uint64_t> object;
        Duration taken {}; ///< Since the request was sent.
        double loadAtStart = 0; ///< Of the target, before this request.
        Choice choice = Choice::Other;
    };
    void noteAnswer(GatewayTarget& target, const Answer& answer, Timestamp now);
    /// How long the service's targets take, by what was learnt of their answers.
    struct UsualTimes {
        Duration first {}; ///< Of an object's first choice, when idle.
        Duration secondExcess {}; ///< What the second choice takes beyond that: it is warm less often.
        Duration otherExcess {}; ///< What any other takes beyond that.
        Duration slowest {}; ///< The longest lately.
    };
    [[nodiscard]] UsualTimes usualTimes(const ServiceName& service) const;

private:
    struct Candidate {
        GatewayTarget* target = nullptr;
        double rank = 0; ///< Of this object; the highest is its first choice.
    };
    using Candidates = std::vector<Candidate>;

    [[nodiscard]] bool isWarm(const std::optional<uint64_t>& object, const GatewayTarget& target, Timestamp now) const;
    /// Time to the answer's head: waiting for a slot, then the work.
    [[nodiscard]] Duration estimate(const GatewayTarget& target, Duration work, Timestamp now) const;
    [[nodiscard]] static Duration workOf(const UsualTimes& usual, Choice choice);
    [[nodiscard]] Placed best(Candidates& candidates, const PlacementQuery& query, Timestamp now) const;
    [[nodiscard]] bool fits(const GatewayTarget& target, Duration estimate, bool isLikelyWarm,
        const PlacementQuery& query, Timestamp now) const;
    [[nodiscard]] bool isPermitted(const GatewayTarget& target, const PlacementQuery& query) const;
    [[nodiscard]] bool trySpendDetour(Timestamp now);

    const TargetSet& targets_;
    const RegionSplit& split_;
    ZoneName zone_;
    RegionName region_;
    boost::random::mt19937_64 random_;
    std::map<ServiceName, UsualTimes> usualTimes_;
    WarmObjects warmObjects_;
    double detours_ = 0; ///< Requests that may run in another region than their object says.
    uint64_t chosen_ = 0;
};

} // namespace saltvane::gateway
