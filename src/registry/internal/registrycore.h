/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/tokenbucket.h"
#include "control/ibundlereplica.h"
#include "host/routedlinks.h"
#include "membership/ihostroster.h"
#include "registry/internal/calls.h"
#include "registry/internal/creditpool.h"
#include "registry/internal/leaveresolver.h"
#include "registry/internal/loadtable.h"
#include "registry/internal/nearestgateways.h"
#include "registry/internal/ordertracker.h"
#include "registry/internal/peerdirectory.h"
#include "registry/internal/planqueue.h"
#include "registry/internal/refusedreports.h"
#include "registry/internal/suspectrelay.h"
#include "registry/internal/targettable.h"
#include "registry/iregistry.h"
#include "rollout/irolloutcontroller.h"
#include "settings/routeplanreader.h"

#include <set>
#include <span>
#include <tuple>
#include <unordered_map>

namespace saltvane::registry {

/// The logic of a registry host, without I/O.
class RegistryCore final : public host::IHostCore {
public:
    struct Parts {
        std::unique_ptr<model::Counters> counters; ///< Also incremented by the replica.
        std::unique_ptr<control::IControlReplica> replica;
        std::shared_ptr<settings::RoutePlanReader> planReader; ///< Also used by the replica to check plans.
    };
    RegistryCore(const RegistryOptions& options, Parts parts);

    void handle(host::Event event, Timestamp now) override;
    void tick(Timestamp now) override;
    [[nodiscard]] std::vector<host::Action> drainActions() override;
    [[nodiscard]] host::HostStatus status(Timestamp now) const override;
    [[nodiscard]] const model::Counters& counters() const override { return *counters_; }
    [[nodiscard]] Duration tickInterval() const override;

private:
    /// A call whose body is being received, or whose order is pending.
    struct OpenCall {
        Call call;
        std::string path;
        std::string body;
        uint64_t reservedBytes = 0; ///< For its body, also after an order has taken it over.
    };

    void accept(requests::HttpEvent event, Timestamp now);
    void accept(const requests::HttpRequestStarted& request, Timestamp now);
    void accept(const requests::HttpRequestBody& body, Timestamp now);
    void accept(const requests::HttpRequestAborted& aborted, Timestamp now);
    void accept(const requests::HttpResponseProgress& /*progress*/, Timestamp /*now*/) { }
    void accept(const requests::HttpResponseDone& done, Timestamp now);
    void accept(const requests::TargetEvent& /*event*/, Timestamp /*now*/) { }
    void accept(const model::Delivery& delivery, Timestamp now);
    void accept(const host::LinkUp& up, Timestamp now);
    void accept(const host::LinkDown& down, Timestamp now);
    void accept(const control::StorageDone& done, Timestamp now);
    void accept(const control::StorageFailed& failed, Timestamp now);
    void accept(host::StopRequested stop, Timestamp now);
    void accept(const host::SeedsChanged& changed, Timestamp now);

    void runCall(requests::HttpHandle handle, OpenCall& openCall, Timestamp now);
    void run(requests::HttpHandle handle, const LookUpCall& call, OpenCall& openCall, Timestamp now);
    void run(requests::HttpHandle handle, const TargetHeartbeatCall& call, OpenCall& openCall, Timestamp now);
    void run(requests::HttpHandle handle, const TargetLeaveCall& call, OpenCall& openCall, Timestamp now);
    void run(requests::HttpHandle handle, const ReplacePlanCall& call, OpenCall& openCall, Timestamp now);
    void run(requests::HttpHandle handle, ReadPlanCall call, OpenCall& openCall, Timestamp now);
    void run(requests::HttpHandle handle, const EvacuationCall& call, OpenCall& openCall, Timestamp now);
    void run(requests::HttpHandle handle, StartRolloutCall call, OpenCall& openCall, Timestamp now);
    void run(requests::HttpHandle handle, const RolloutStatusCall& call, OpenCall& openCall, Timestamp now);
    void run(requests::HttpHandle handle, StatusCall call, OpenCall& openCall, Timestamp now);
    void run(requests::HttpHandle handle, UnknownCall call, OpenCall& openCall, Timestamp now);

    /// Submits a completely parsed plan to the log.
    void submitPreparedPlan(Timestamp now);
    /// A report that was not simply applied. `knownSequence`: of the report before it; 0: none.
    void onUnexpectedReport(
        const model::TargetRecord& report, ReportOutcome outcome, uint64_t knownSequence, Timestamp now);
    void refuseReport(requests::HttpHandle handle, const OpenCall& openCall, const Findings& findings, Timestamp now);
    /// Whether the target's service is in the plan in force; otherwise the target doesn't belong to this deployment.
    [[nodiscard]] bool isServiceInPlan(const model::TargetRecord& record);
    /// The services of the plan in force; empty before the first plan.
    [[nodiscard]] const std::set<ServiceName>& planServices();
    void retire(requests::HttpHandle handle, const model::TargetIncarnation& entry, Timestamp now);
    void answer(requests::HttpRespond respond);
    void answerOrders();
    [[nodiscard]] requests::HttpRespond answerOf(const OrderAnswer& order, const OpenCall& openCall) const;
    /// False: the memory limit for open calls is reached, and the call has been refused.
    [[nodiscard]] bool reserveCallBytes(requests::HttpHandle handle, uint64_t bytes);
    void closeCall(requests::HttpHandle handle);
    void answerWithPlan(requests::HttpHandle handle);
    [[nodiscard]] std::string statusText(Timestamp now) const;
    /// The entries that the log added to its retired targets since the last call. Adds them to retired_.
    [[nodiscard]] std::vector<model::TargetIncarnation> drainNewlyRetired(Timestamp now);
    void applyRetirement(const model::TargetIncarnation& entry, Timestamp now);
    /// Finds the incarnations of retired targets whose orders name none.
    void resolveLeaves(Timestamp now);

    /// Applies what the log committed, and moves the outputs of all components to actions_.
    void collectOutputs(Timestamp now);
    void applyOrders(Timestamp now);
    void distribute(Timestamp now);
    void reportTargets(Timestamp now);
    /// Sends all orders, targets and limits over a new link, once.
    void syncGateway(const HostId& gateway, Timestamp now);
    /// The zones that were reopened last, `maxCount` at most.
    [[nodiscard]] std::vector<model::ReopenedZone> recentlyReopenedZones(size_t maxCount, Timestamp now) const;
    /// Tells each gateway its number as well.
    void sendReport(model::TargetReport report, Timestamp now);
    [[nodiscard]] uint32_t gatewayNumberOf(const HostId& gateway, Timestamp now) const;
    /// Whether gateways have other numbers than last told; checked once per second.
    [[nodiscard]] bool areGatewaysRenumbered(Timestamp now);
    void sendToGateways(const model::Message& message);
    void sendPlanMessages();
    /// Once the log is proven current: lets recalled targets be reported, except where an order contradicts them.
    void releaseRecalled(Timestamp now);
    void recallTargets(Timestamp now);
    void recallSuspects(Timestamp now);
    [[nodiscard]] LogPosition settledOrdersPosition(Timestamp now) const;
    /// Time between writes of the soft state.
    [[nodiscard]] Duration softStateInterval() const;
    void writeSoftState(Timestamp now);
    void reportLoads(Timestamp now);
    /// Forwards new information about requests under which targets fail.
    void reportSuspects(Timestamp now);
    /// Targets that announced to a gateway that they leave.
    void accept(const model::TargetReport& report, const HostId& from, Timestamp now);
    /// The target refused the sender a connection. False where nothing changes.
    bool expectStart(const model::TargetRecord& record, const HostId& from, Timestamp now);
    void accept(const model::BackpressureReport& report, const HostId& from, Timestamp now);
    void accept(const model::BundlePull& pull, const HostId& from, Timestamp now);
    void accept(const model::RolloutReport& report, Timestamp now);
    /// The leader moves rollouts to their next phases.
    void decideRollouts(Timestamp now);
    void relayFromGateway(const model::Message& message, const HostId& from, Timestamp now);
    /// Forwards changes of targets' limits that gateways reported.
    void reportLimits(Timestamp now);
    /// Sends all limits of targets in force.
    void sendLimits(const HostId& host, Timestamp now);
    /// Tells a gateway which other ones may carry its requests.
    void sendPeers(const HostId& gateway, Timestamp now);
    /// Updates the limits of the plan's client accounts, and the hosts among which they are divided.
    void installPlanSettings(Timestamp now);
    void updateCredits(Timestamp now);
    void sendVerdicts(const HostId& host, Timestamp now);
    [[nodiscard]] model::TargetReport makeReport(Timestamp now) const;
    /// Gateways with a recent heartbeat; the result is cached for ReportInterval.
    [[nodiscard]] std::span<const HostLocation> gateways(Timestamp now) const;
    [[nodiscard]] std::vector<HostLocation> liveRegistryHosts(Timestamp now) const;
    /// Whether this host hears every member of the group.
    [[nodiscard]] bool isGroupComplete(Timestamp now) const;
    void updateLinks();
    void logLeaderChange(Timestamp now);
    void logGroupChange();
    void log(host::LogSeverity severity, std::string text);
    void send(std::vector<model::OutgoingMessage> outgoing);

    settings::RoutedHostSettings settings_;
    HostId self_;
    Incarnation incarnation_;
    std::unique_ptr<model::Counters> counters_;
    std::unique_ptr<control::IControlReplica> replica_;
    std::shared_ptr<settings::RoutePlanReader> planReader_;
    PlanQueue planQueue_;
    std::unique_ptr<membership::IHostRoster> roster_;
    std::unique_ptr<control::IBundleReplica> bundleReplica_;
    TargetTable targets_;
    OrderTracker orders_;
    std::unordered_map<requests::HttpHandle, OpenCall> calls_;
    std::unordered_map<requests::HttpHandle, uint64_t> planAnswers_; ///< Bytes of plans being sent to callers.
    uint64_t callBytes_ = 0; ///< Reserved by open calls and by planAnswers_.
    /// As of appliedOrdersPosition_. Same capacity as in the log, whose older entries no host needs any more.
    membership::RetiredTargets retired_ {control::RoutingState::MaxRetiredTargets};
    std::set<ZoneName> evacuated_; ///< As of appliedOrdersPosition_.
    uint64_t appliedRetirements_ = 0; ///< Of RoutingState::retirements.
    LeaveResolver leaveResolver_;
    std::set<ServiceName> services_; ///< Services of the plan at servicesPosition_.
    LogPosition servicesPosition_;
    RefusedReports refusedReports_;
    TokenBucket targetEventLines_ {{.perSecond = 5, .burst = 20}}; ///< Log lines.
    LogPosition appliedOrdersPosition_;
    std::set<HostId> syncedGateways_; ///< Gateways that were sent all targets on their present link.
    std::vector<HostId> numberedGateways_; ///< As last told to gateways.
    Timestamp nextNumbersAt_ {};
    Timestamp nextReportAt_ {};
    LoadTable loads_;
    NearestGateways nearestGateways_;
    SuspectRelay suspects_;
    std::optional<CreditPool> credits_; ///< Created by the first tick or plan.
    std::unique_ptr<rollout::IRolloutController> rollouts_;
    Timestamp nextRolloutDecisionsAt_ {};
    settings::RoutePlanReader planSettingsReader_;
    Timestamp nextHoldersAt_ {};
    LogPosition planSettingsPosition_; ///< Of the plan that account limits and slow starts come from.
    std::set<HostId>
        loadSyncedGateways_; ///< Gateways that receive load sums from this host, and were sent all of them.
    Timestamp nextLoadsAt_ {};
    mutable std::vector<HostLocation> gateways_; ///< As of gatewaysUpdatedAt_.
    mutable std::optional<Timestamp> gatewaysUpdatedAt_;
    PeerDirectory peers_; ///< As of peersUpdatedAt_.
    std::optional<Timestamp> peersUpdatedAt_;
    HostId leader_;
    std::vector<control::ReplicaInfo> group_; ///< As logged last.
    host::RoutedLinks links_;
    LogPosition recalledOrdersPosition_; ///< Of the settled orders when the soft state was written.
    std::vector<model::TargetRecord> recalled_; ///< Soft state of the previous run, until it is applied.
    std::vector<model::SuspectRequest> recalledSuspects_; ///< Likewise.
    bool isRecallReleased_ = false;
    /// Versions of targets, orders, settled orders, verdicts and unconfirmed suspects that writeSoftState() last
    /// considered.
    std::tuple<uint64_t, LogPosition, LogPosition, uint64_t, uint64_t> softStateVersion_;
    uint64_t writtenSoftStateHash_ = 0; ///< 0: nothing written in this run.
    uint64_t writtenVerdictChanges_ = 0; ///< Verdicts of which writeSoftState() has considered the changes.
    uint64_t writtenUnconfirmedChanges_ = 0; ///< Likewise of unconfirmed suspects.
    Timestamp softStateCheckedAt_ {};
    std::vector<host::Action> actions_;
    std::optional<Timestamp> stopAt_;
};

} // namespace saltvane::registry
