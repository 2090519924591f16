/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/processingtimes.h"
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
    const model::ClientAccount* account = nullptr; ///< Null if the route requires no account.
    std::optional<uint64_t> object; ///< Hash of the request's object; without one any target is suitable.
    Duration elapsed {}; ///< Since the request arrived.
    Duration remaining {}; ///< Until the deadline.
    bool isRetry = false; ///< The request was sent before: a late response is wanted as well.
    VersionRole role = VersionRole::Serving; ///< Only targets whose versions have this role are suitable.
    bool needsNoCredit = false; ///< Only targets without a limit are suitable.
    std::span<const TargetId> attemptedTargets;
};

struct TargetSelection {
    GatewayTarget* target = nullptr;
    Choice choice = Choice::Other;
    bool isLikelyWarm = false;
    Duration processingTime {}; ///< Expected processing time at the target.
    bool isForCorrection = false; ///< No response is expected in time; one shows that the learnt times are outdated.
};

struct PlacementRefusal {
    model::Reason reason = model::Reason::NoRoom;
    Duration retryAfter {};
    uint32_t known = 0; ///< Known targets of the service.
    uint32_t usable = 0; ///< Targets considered for the object that may be sent new requests at all.
    uint32_t ejected = 0; ///< Targets considered that failed at this gateway shortly before.
    /// Targets considered that get no more requests for now because the registry's information is not current.
    uint32_t unconfirmed = 0;
};

/// Selects a target for a request: by the request's object, so that the target has it warm; within the region's share;
/// and only if the response can be expected in time.
class Placement {
public:
    Placement(TargetSet& targets, const RegionSplit& split, uint64_t seed);

    [[nodiscard]] std::variant<TargetSelection, PlacementRefusal> choose(const PlacementQuery& query, Timestamp now);
    /// Whether any target is known that the route and the account permit.
    [[nodiscard]] bool hasTargets(
        const ServiceName& service, const model::Route& route, const model::ClientAccount* account) const;
    /// Measurements from the head of a response, about the target and its service.
    struct Response {
        const model::RouteName& route;
        std::optional<uint64_t> object;
        Duration duration {}; ///< From sending the request to the head of the response.
        Duration expectedDuration {}; ///< The same as estimated when the request was sent.
        double loadAtSend = 0; ///< The target's load before this request.
        Choice choice = Choice::Other;
        bool isOfTrial = false; ///< Of a version on trial: says nothing about the service's processing times.
        bool isForCorrection = false; ///< The request was selected by selectForTrial().
    };
    void recordResponse(GatewayTarget& target, const Response& response, Timestamp now);
    /// Estimated time to the head of the response of a request that is sent now.
    [[nodiscard]] Duration expectedDuration(const TargetSelection& selection, Timestamp now) const
    {
        return estimate(*selection.target, selection.processingTime, now);
    }
    void recordSent(const ServiceName& service, const TargetSelection& selection)
    {
        processingTimes_.recordSent(service, selection.processingTime);
    }
    void recordDelivery(const ServiceName& service, const model::RouteName& route, Duration duration)
    {
        processingTimes_.recordDelivery(service, route, duration);
    }
    /// Processing times learnt from the targets' responses.
    [[nodiscard]] const ProcessingTimes& processingTimes() const { return processingTimes_; }

private:
    struct Candidate {
        GatewayTarget* target = nullptr;
        double rank = 0; ///< Score for this object; the highest is its first choice.
        bool isAvoided = false; ///< Other targets are preferred.
    };
    using Candidates = std::vector<Candidate>;
    /// Candidates by proximity. Small requests do not distinguish by it: their candidates are all in `region`.
    struct Groups {
        Candidates zone;
        Candidates region;
        Candidates remote;
        /// Earliest time at which a target accepts requests that accepts none now because of back-pressure.
        std::optional<Timestamp> availableAt;
        uint32_t ejected = 0; ///< Targets that failed at this gateway shortly before.
        /// Targets that get no more requests for now because the registry's information is not current.
        uint32_t unconfirmed = 0;
        [[nodiscard]] size_t size() const { return zone.size() + region.size() + remote.size(); }
    };

    /// When targets last answered requests of a route or got a trial request of it.
    struct RouteActivity {
        Timestamp at;
        Duration trialInterval {}; ///< From then until the next trial.
    };

    [[nodiscard]] Groups groupsFor(const PlacementQuery& query, uint64_t object, Timestamp now);
    /// The targets on which all gateways place the requests of a trial: as large a part of the new version's targets as
    /// its share of the requests, so that they are as busy as those of the other versions.
    [[nodiscard]] std::span<const TargetRanking::Ranked> trialTargets(
        TargetRanking& ranking, uint64_t object, Proximity proximity) const;
    void addCandidates(Groups& groups, std::span<const TargetRanking::Ranked> ranked, Proximity proximity,
        const PlacementQuery& query, Timestamp now) const;

    [[nodiscard]] bool isWarm(const std::optional<uint64_t>& object, const GatewayTarget& target, Timestamp now) const;
    /// Estimated time to the response's head: waiting for a slot, then processing. Slow targets show by their load.
    /// Measured response times are not used: they include the queue that the request waited in, so each overload would
    /// make targets look slow.
    [[nodiscard]] Duration estimate(const GatewayTarget& target, Duration processingTime, Timestamp now) const;
    [[nodiscard]] TargetSelection selectBest(Candidates& candidates, const PlacementQuery& query, Timestamp now) const;
    [[nodiscard]] bool canRespondInTime(const GatewayTarget& target, Duration estimate, bool isLikelyWarm,
        const PlacementQuery& query, Timestamp now) const;
    [[nodiscard]] static bool isPermitted(
        const RegionName& region, const model::Route& route, const model::ClientAccount* account);
    [[nodiscard]] bool isPermitted(const GatewayTarget& target, const PlacementQuery& query) const;
    /// Selects a target although no response can be expected in time, so that learnt processing times can be corrected.
    /// No target if no trial is due or no target has a free slot.
    [[nodiscard]] TargetSelection selectForTrial(
        std::span<const Candidate> candidates, const PlacementQuery& query, Timestamp now);
    /// Whether the request is late enough after others of its route, and has enough time left, to be a trial.
    [[nodiscard]] bool tryBeginTrial(const PlacementQuery& query, Timestamp now);
    [[nodiscard]] bool trySpendCrossRegion(Timestamp now);
    /// The refusal when no target may be sent new requests.
    [[nodiscard]] PlacementRefusal refusalWithoutTargets(const Groups& groups, uint32_t known, Timestamp now);

    TargetSet& targets_;
    const RegionSplit& split_;
    boost::random::mt19937_64 random_;
    ProcessingTimes processingTimes_;
    WarmObjects warmObjects_;
    std::map<model::RouteName, RouteActivity> activity_; ///< Of routes that got a trial request.
    /// Requests that may still be sent to another region than the one assigned to their object.
    double crossRegionBalance_ = 0;
};

} // namespace saltvane::gateway
