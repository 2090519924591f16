/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/ibundlereplica.h"
#include "gateway/igateway.h"
#include "gateway/internal/backpressuremonitor.h"
#include "gateway/internal/decisionlog.h"
#include "gateway/internal/peerset.h"
#include "gateway/internal/placement.h"
#include "gateway/internal/planinstaller.h"
#include "gateway/internal/regionsplit.h"
#include "gateway/internal/registrywatch.h"
#include "gateway/internal/requestrunner.h"
#include "gateway/internal/targetreachability.h"
#include "gateway/internal/targetset.h"
#include "host/routedlinks.h"
#include "membership/ihostroster.h"

namespace saltvane::gateway {

/// The gateway's logic without I/O.
class GatewayCore final : public host::IHostCore {
public:
    explicit GatewayCore(const GatewayOptions& options);

    void handle(host::Event event, Timestamp now) override;
    void tick(Timestamp now) override;
    [[nodiscard]] model::Reason recheckDispatch(requests::DispatchId dispatch, Timestamp now) override;
    [[nodiscard]] std::vector<host::Action> drainActions() override;
    [[nodiscard]] host::HostStatus status(Timestamp now) const override;
    [[nodiscard]] const model::Counters& counters() const override { return counters_; }
    [[nodiscard]] std::span<const model::StageLatency> latencies() const override { return latencies_.all(); }
    [[nodiscard]] Duration tickInterval() const override;

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

    void onCreditReply(const model::LimitCreditReply& reply, Timestamp now);
    void checkOrders(const HostId& from, const LogPosition& reportedOrders);
    /// Asks the host whose report was missed for its full report, with the next pull.
    void requestFullReport(model::OutgoingMessage& outgoing, Timestamp now);
    void onTargetReport(const model::TargetReport& report, const HostId& from, Timestamp now);
    void logSlowStarts(Timestamp now);
    void updateSplit(Timestamp now);
    void answerReadiness(const requests::HttpEvent& event);
    [[nodiscard]] bool isReady() const;
    /// Starts to install a new plan, if there is one; a small one takes effect at once.
    void installPlan(Timestamp now);
    /// Takes the next step with a large plan.
    void continuePlanInstallation(Timestamp now);
    void installParsedPlan(Timestamp now);
    void updatePlanCertainty(Timestamp now);
    void logPlanProof(bool isProven, Timestamp now);
    void updateRegistryFreshness(Timestamp now);
    /// Restricts requests to targets while the registry's information is not current.
    void updateConfirmation(Timestamp now);
    [[nodiscard]] std::vector<const membership::RosterEntry*> responsiveRegistries(Timestamp now) const;
    void updateSources(Timestamp now);
    void updateLinks();
    void sendLoads(Timestamp now);
    void sendRolloutReports(Timestamp now);
    /// The nearest registry host and another one each time: a single host may be down, or know no leader to forward the
    /// report to. Counts in reports are cumulative, so the leader may receive several copies of one.
    [[nodiscard]] std::set<HostId> nextRolloutReportReceivers();
    void sendSuspects(Timestamp now);
    void sendBackpressure(Timestamp now);
    void sendToRegionRegistries(const model::Message& message);
    void onProbeResponse(const requests::TargetEvent& event, Timestamp now);
    [[nodiscard]] std::string probePathOf(const ServiceName& service) const;
    void updateState();
    /// Logs and reports whether targets are reachable if that has changed.
    void updateReachability(Timestamp now);
    /// Probes targets while none is reachable, to learn when they are again.
    void probeTargets(Timestamp now);
    void onTargetAnswered(bool isNewConnection, Timestamp now);
    void onSurplusBytes(const model::TargetIncarnation& targetIncarnation, Timestamp now);
    void logSuperseded(const model::RouteName& route, LogIndex newerPlan, Timestamp now);
    /// Asks a registry host which gateways may carry requests for this one.
    void requestPeers(Timestamp now);
    [[nodiscard]] Duration peerRequestInterval() const;
    void updateStop(Timestamp now);
    void collectActions(Timestamp now);
    void log(host::LogSeverity severity, std::string text);

    settings::RoutedHostSettings settings_;
    HostId self_;
    Incarnation incarnation_;
    model::Counters counters_;
    std::unique_ptr<membership::IHostRoster> roster_;
    std::unique_ptr<control::IBundleReplica> replica_;
    RegistryWatch registry_;
    RegistryFreshness registryFreshness_ = RegistryFreshness::Current; ///< As of the last tick.
    TargetSet targets_;
    RegionSplit split_;
    Placement placement_;
    RetryAllowance retries_;
    Quarantine quarantine_;
    TargetReachability reachability_;
    PeerSet peers_;
    std::optional<Timestamp> loggedUnreachableSince_; ///< Since when no target is reachable, as last logged.
    BackpressureMonitor backpressure_;
    RequestLatencies latencies_;
    LinkBudget link_;
    BodyBudget bodyBudget_;
    LimitCredits credits_;
    DecisionLog decisions_;
    TokenBucket slowStartLineBudget_ {{.perSecond = 5, .burst = 20}}; ///< Log lines.
    TokenBucket supersededLineBudget_ {{.perSecond = 5, .burst = 20}};
    TokenBucket surplusLogBudget_ {{.perSecond = 5, .burst = 20}};
    ClientKeyHasher keyHasher_;
    RequestRunner runner_;
    PlanInstaller planInstaller_;
    Timestamp planProvenAt_ {}; ///< When the plan in force was last proven to be the newest.
    std::shared_ptr<RouteTable> routes_;
    /// When the age of the proof of the plan in force exceeded MaxUnprovenAge.
    std::optional<Timestamp> unprovenSince_;
    host::RoutedLinks links_;
    std::vector<host::Action> actions_;
    Timestamp nextSplitAt_ {};
    Timestamp nextSourcesAt_ {};
    Timestamp nextLoadsAt_ {};
    Timestamp nextOtherRegionLoadsAt_ {};
    bool haveLoadsBeenSent_ = false;
    Timestamp nextProbeAt_ {};
    Timestamp nextPeerRequestAt_ {};
    size_t registryVoters_ = 0; ///< As a registry host reported last; 0: unknown.
    HostId missedReportsOf_; ///< Reported orders up to missedOrders_ in a message that did not arrive.
    LogPosition missedOrders_;
    Timestamp nextFullReportAt_ {};
    std::vector<HostId> registrySources_; ///< Responsive registry hosts, nearest first.
    size_t rolloutReports_ = 0; ///< Number of reports so far.
    size_t peerRequests_ = 0; ///< Number of requests for peers so far.
    std::optional<Timestamp> stopRequestedAt_;
    size_t requestsCut_ = 0; ///< Requests that were ended by the stop.
    Timestamp lastBusyAt_ {}; ///< When a request or a response was last in progress.
    bool isStopReported_ = false;
};

} // namespace saltvane::gateway
