/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/rolloutmessages.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace saltvane::gateway {

/// What a software version is used for in its service.
enum class VersionRole : uint8_t {
    Serving, ///< Gets requests as usual.
    Trial, ///< The new version of a rollout: gets the requests that the rollout assigns to it.
    Excluded ///< Gets no requests.
};

/// The rollouts that this gateway knows of: which requests go to the new version, and the answers of both.
///
/// During a trial, the requests sent to the new version never exceed a share of all requests that this gateway has sent
/// to the service since it learnt of the rollout. The sum over all gateways therefore stays within that share for any
/// number of them, cut off or not.
class RolloutTable {
public:
    /// `share`: maximum fraction of a service's requests that a new version gets during its trial.
    void setShare(double share) { share_ = share; }
    /// The latest rollout of each service.
    void apply(std::span<const model::RolloutOrder> orders, Timestamp now);

    [[nodiscard]] VersionRole roleOf(
        const ServiceName& service, const model::TargetVersion& version, Timestamp now) const;
    [[nodiscard]] bool isUnderWay(const ServiceName& service) const { return find(service) != nullptr; }
    [[nodiscard]] bool isInTrial(const ServiceName& service) const;
    [[nodiscard]] double share() const { return share_; }
    /// Whether the next request for this object goes to the new version. `isInformed`: the registry's information is
    /// current; without it, a trial stops here.
    [[nodiscard]] bool mayUseTrial(const ServiceName& service, uint64_t object, bool isInformed, Timestamp now) const;

    void recordSent(const ServiceName& service, VersionRole role);
    /// The request of the last recordSent() was not sent.
    void recordWithheld(const ServiceName& service, VersionRole role);
    struct Answer {
        const ServiceName& service;
        const model::RouteName& route;
        VersionRole role = VersionRole::Serving;
        std::optional<Duration> time; ///< Of the answer; no value: it failed.
    };
    void recordAnswer(const Answer& answer);

    /// Reports about the rollouts that are under way, if they are due; without the state of targets.
    [[nodiscard]] std::vector<model::RolloutReport> drainReports(Timestamp now);

private:
    struct Rollout {
        model::RolloutOrder order;
        Timestamp endsAt;
        Timestamp switchingSince;
        double balance = 0; ///< Requests that may be sent to the new version.
        std::map<model::RouteName, model::RolloutRouteCounts> counts;
        Timestamp nextReportAt;
    };
    [[nodiscard]] const Rollout* find(const ServiceName& service) const;
    /// Fraction of the objects that the new version has taken over; 1: all.
    [[nodiscard]] static double switchedFraction(const Rollout& rollout, Timestamp now);

    double share_ = 0;
    std::map<ServiceName, Rollout> rollouts_; ///< Under way.
    std::map<ServiceName, model::RolloutOrder> ended_;
};

} // namespace saltvane::gateway
