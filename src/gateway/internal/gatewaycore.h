/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/ibundleholder.h"
#include "gateway/igateway.h"
#include "gateway/internal/backpressurewatch.h"
#include "gateway/internal/decisionlog.h"
#include "gateway/internal/placement.h"
#include "gateway/internal/regionsplit.h"
#include "gateway/internal/registrywatch.h"
#include "gateway/internal/requestrunner.h"
#include "gateway/internal/targetset.h"
#include "host/routedlinks.h"
#include "membership/ihostroster.h"
#include "settings/routeplanreader.h"

namespace saltvane::gateway {

/// A gateway without I/O.
class GatewayCore final : public host::IHostCore {
public:
    explicit GatewayCore(const GatewayOptions& options);

    void handle(host::Event event, Timestamp now) override;
    void tick(Timestamp now) override;
    [[nodiscard]] std::vector<host::Action> takeActions() override;
    [[nodiscard]] host::HostStatus status(Timestamp now) const override;
    [[nodiscard]] const model::Counters& counters() const override { return counters_; }
    [[nodiscard]] std::span<const model::StageLatency> latencies() const override { return latencies_.all(); }
    [[nodiscard]] Duration tickPeriod() const override;

private:
    void accept(requests::HttpEvent event, Timestamp now);
    void accept(requests::TargetEvent event, Timestamp now);
    void accept(const model::Delivery& delivery, Timestamp now);
    void accept(const host::LinkUp& up, Timestamp now);
    void accept(const host::LinkDown& down, Timestamp now);
    void accept(const control::StorageDone& /*done*/, Timestamp /*now*/) { }
    void accept(const control::StorageFailed& /*failed*/, Timestamp /*now*/) { }
    void accept(host::StopRequested stop, Timestamp now);
    void accept(const host::SeedsChanged& changed, Timestamp now);

    void noteCredits(const model::LimitCreditReply& reply, Timestamp now);
    void noteTargets(const model::TargetReport& report, Timestamp now);
    void updateSplit(Timestamp now);
    void answerReadiness(const requests::HttpEvent& event);
    [[nodiscard]] bool isReady() const;
    void installPlan(Timestamp now);
    void noteDoubt(Timestamp now);
    void logProof(bool isProven, Timestamp now);
    void noteWord(Timestamp now);
    [[nodiscard]] std::vector<const membership::RosterEntry*> registriesHeard(Timestamp now) const;
    void updateSources(Timestamp now);
    void updateLinks();
    void tellLoads(Timestamp now);
    void tellSuspects(Timestamp now);
    void tellBackpressure(Timestamp now);
    void tellNearRegistries(const model::Message& message);
    void noteProbeAnswer(const requests::TargetEvent& event, Timestamp now);
    [[nodiscard]] std::string probePathOf(const ServiceName& service) const;
    void updateState();
    void updateStop(Timestamp now);
    void gather(Timestamp now);
    void log(host::LogSeverity severity, std::string text);

    settings::RoutedHostSettings settings_;
    HostId self_;
    Incarnation incarnation_;
    model::Counters counters_;
    std::unique_ptr<membership::IHostRoster> roster_;
    std::unique_ptr<control::IBundleHolder> holder_;
    RegistryWatch registry_;
    RegistryWord word_ = RegistryWord::Current; ///< As of the last tick.
    TargetSet targets_;
    RegionSplit split_;
    Placement placement_;
    RetryAllowance retries_;
    Quarantine quarantine_;
    BackpressureWatch backpressure_;
    RequestLatencies latencies_;
    LinkBudget link_;
    LimitCredits credits_;
    DecisionLog decisions_;
    RequestRunner runner_;
    settings::RoutePlanReader planReader_;
    std::shared_ptr<RouteTable> routes_;
    std::optional<Timestamp> unprovenSince_; ///< The plan in force, where it was not proven for LongestUnproven.
    host::RoutedLinks links_;
    std::vector<host::Action> actions_;
    Timestamp nextSplitAt_ {};
    Timestamp nextSourcesAt_ {};
    Timestamp nextLoadsAt_ {};
    Timestamp nextFarLoadsAt_ {};
    bool hasToldLoads_ = false;
    std::optional<Timestamp> stopAskedAt_;
    Timestamp busyAt_ {}; ///< When a request or an answer was last under way.
    bool isStopTold_ = false;
};

} // namespace saltvane::gateway
