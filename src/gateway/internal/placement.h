/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/regionsplit.h"
#include "gateway/internal/targetset.h"
#include "gateway/internal/warmobjects.h"
#include "gateway/internal/worktimes.h"
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
    const model::ClientAccount* account = nullptr; ///< Null: none is asked for.
    std::optional<uint64_t> object; ///< Hash of the request's object; none: any target will do.
    Duration elapsed {}; ///< Since the request came in.
    Duration left {}; ///< Until its deadline.
    bool isRepeat = false; ///< It was taken on already: also a late answer is wanted.
    bool isWithoutCredit = false; ///< Only targets that name no limit will do.
    std::span<const TargetId> tried;
};

struct Placed {
    GatewayTarget* target = nullptr;
    Choice choice = Choice::Other;
    bool isLikelyWarm = false;
    Duration work {}; ///< That the target is expected to have with it.
};

struct PlacementRefusal {
    model::Reason reason = model::Reason::NoRoom;
    Duration retryAfter {};
    uint32_t known = 0; ///< Targets of the service.
    uint32_t usable = 0; ///< Those of the object's targets that might be sent new work at all.
};

/// Chooses a target: by the request's object, so that targets find it warm, within the region's share, and only where
/// the answer can be expected in time.
class Placement {
public:
    Placement(TargetSet& targets, const RegionSplit& split, uint64_t seed);

    [[nodiscard]] std::variant<Placed, PlacementRefusal> choose(const PlacementQuery& query, Timestamp now);
    /// What an answer's head teaches of the target and its service.
    struct Answer {
        const model::RouteName& route;
        std::optional<uint64_t> object;
        Duration taken {}; ///< Since the request was sent.
        double loadAtStart = 0; ///< Of the target, before this request.
        Choice choice = Choice::Other;
    };
    void noteAnswer(GatewayTarget& target, const Answer& answer, Timestamp now);
    void noteSent(const ServiceName& service, const Placed& placed) { workTimes_.noteSent(service, placed.work); }
    /// How long the service's targets take, by what was learnt of their answers.
    [[nodiscard]] const WorkTimes& workTimes() const { return workTimes_; }

private:
    struct Candidate {
        GatewayTarget* target = nullptr;
        double rank = 0; ///< Of this object; the highest is its first choice.
    };
    using Candidates = std::vector<Candidate>;
    /// Those that may take a request, by where they are. Small requests don't care: theirs are all in `region`.
    struct Groups {
        Candidates zone;
        Candidates region;
        Candidates away;
        std::optional<Timestamp> reopensAt; ///< The first of those that take nothing for now by their own word.
        [[nodiscard]] size_t size() const { return zone.size() + region.size() + away.size(); }
    };

    [[nodiscard]] Groups groupsFor(const PlacementQuery& query, uint64_t object, Timestamp now);
    void addTo(Groups& groups, std::span<const TargetRanking::Ranked> ranked, Nearness nearness,
        const PlacementQuery& query, Timestamp now) const;

    [[nodiscard]] bool isWarm(const std::optional<uint64_t>& object, const GatewayTarget& target, Timestamp now) const;
    /// Time to the answer's head: waiting for a slot, then the work. A target that works slowly shows by its load. How
    /// long its answers took is not used: that tells of the queue that they stood in, so that each overload would be
    /// taken for slow targets.
    [[nodiscard]] Duration estimate(const GatewayTarget& target, Duration work, Timestamp now) const;
    [[nodiscard]] Placed best(Candidates& candidates, const PlacementQuery& query, Timestamp now) const;
    [[nodiscard]] bool fits(const GatewayTarget& target, Duration estimate, bool isLikelyWarm,
        const PlacementQuery& query, Timestamp now) const;
    [[nodiscard]] bool isPermitted(const GatewayTarget& target, const PlacementQuery& query) const;
    /// A request for which no answer can be expected in time, sent all the same; no target where none is due or none
    /// has a free slot for it.
    [[nodiscard]] Placed trial(std::span<const Candidate> candidates, const PlacementQuery& query, Timestamp now);
    [[nodiscard]] bool trySpendDetour(Timestamp now);
    /// No target may be sent new work.
    [[nodiscard]] PlacementRefusal refusalWithoutTargets(const Groups& groups, uint32_t known, Timestamp now);

    TargetSet& targets_;
    const RegionSplit& split_;
    boost::random::mt19937_64 random_;
    WorkTimes workTimes_;
    WarmObjects warmObjects_;
    std::map<model::RouteName, Timestamp> seenAt_; ///< When a route's targets last answered or were tried.
    double detours_ = 0; ///< Requests that may run in another region than their object says.
};

} // namespace saltvane::gateway
