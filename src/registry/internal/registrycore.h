/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/ibundleholder.h"
#include "host/routedlinks.h"
#include "membership/ihostroster.h"
#include "registry/internal/calls.h"
#include "registry/internal/creditpool.h"
#include "registry/internal/loadboard.h"
#include "registry/internal/neargateways.h"
#include "registry/internal/orders.h"
#include "registry/internal/planqueue.h"
#include "registry/internal/refusedreports.h"
#include "registry/internal/suspectrelay.h"
#include "registry/internal/targetbook.h"
#include "registry/iregistry.h"
#include "settings/routeplanreader.h"

#include <set>
#include <span>
#include <tuple>
#include <unordered_map>

namespace saltvane::registry {

/// A registry host without I/O.
class RegistryCore final : public host::IHostCore {
public:
    struct Parts {
        std::unique_ptr<model::Counters> counters; ///< The replica adds to them.
        std::unique_ptr<control::IControlReplica> replica;
        std::shared_ptr<settings::RoutePlanReader> planReader; ///< By which the replica checks plans.
    };
    RegistryCore(const RegistryOptions& options, Parts parts);

    void handle(host::Event event, Timestamp now) override;
    void tick(Timestamp now) override;
    [[nodiscard]] std::vector<host::Action> takeActions() override;
    [[nodiscard]] host::HostStatus status(Timestamp now) const override;
    [[nodiscard]] const model::Counters& counters() const override { return *counters_; }
    [[nodiscard]] Duration tickPeriod() const override;

private:
    /// A call whose body comes in, or whose order is on its way.
    struct OpenCall {
        Call call;
        std::string path;
        std::string body;
        uint64_t heldBytes = 0; ///< Of its body, also once an order holds it.
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

    void runWhole(requests::HttpHandle handle, OpenCall& open, Timestamp now);
    void run(requests::HttpHandle handle, const LookUpCall& call, OpenCall& open, Timestamp now);
    void run(requests::HttpHandle handle, const TargetHeartbeatCall& call, OpenCall& open, Timestamp now);
    void run(requests::HttpHandle handle, const TargetLeaveCall& call, OpenCall& open, Timestamp now);
    void run(requests::HttpHandle handle, const ReplacePlanCall& call, OpenCall& open, Timestamp now);
    void run(requests::HttpHandle handle, ReadPlanCall call, OpenCall& open, Timestamp now);
    void run(requests::HttpHandle handle, const EvacuationCall& call, OpenCall& open, Timestamp now);
    void run(requests::HttpHandle handle, StatusCall call, OpenCall& open, Timestamp now);
    void run(requests::HttpHandle handle, UnknownCall call, OpenCall& open, Timestamp now);

    /// Gives the plan that was read to the end to the log.
    void submitReadPlan(Timestamp now);
    void refuseReport(requests::HttpHandle handle, const OpenCall& open, const Findings& findings, Timestamp now);
    /// Whether the plan in force knows a target's service: a report of another one is not of this deployment.
    [[nodiscard]] bool isServiceNamed(const model::TargetRecord& record);
    void retire(requests::HttpHandle handle, const model::TargetIncarnation& start, Timestamp now);
    void answer(requests::HttpRespond respond);
    void answerOrders();
    [[nodiscard]] requests::HttpRespond answerOf(const OrderAnswer& order, const OpenCall& open) const;
    /// False: what calls under way hold is as much as may be held; this one was refused.
    [[nodiscard]] bool mayHold(requests::HttpHandle handle, uint64_t bytes);
    void endCall(requests::HttpHandle handle);
    void answerWithPlan(requests::HttpHandle handle);
    [[nodiscard]] std::string statusText(Timestamp now) const;
    [[nodiscard]] bool isRetired(const model::TargetIncarnation& start) const { return retired_.contains(start); }
    /// Takes up what the log retired since the last call.
    [[nodiscard]] std::vector<model::TargetIncarnation> noteRetired();

    void settle(Timestamp now);
    void noteOrders(Timestamp now);
    void distribute(Timestamp now);
    void reportTargets(Timestamp now);
    void tellGateways(const model::Message& message);
    /// Once the log is proven: what was recalled of targets is told where no order contradicts it.
    void releaseRecalled(Timestamp now);
    void recallTargets(Timestamp now);
    void recallVerdicts(Timestamp now);
    void writeSoftState(Timestamp now);
    void reportLoads(Timestamp now);
    /// Passes on what is new of requests that end targets.
    void reportSuspects(Timestamp now);
    /// Targets that said to a gateway that they leave.
    void accept(const model::TargetReport& report, const HostId& from, Timestamp now);
    void accept(const model::BackpressureReport& report, const HostId& from, Timestamp now);
    void relayFromGateway(const model::Message& message, const HostId& from, Timestamp now);
    /// Passes on what gateways tell of the limits of targets.
    void reportLimits(Timestamp now);
    /// The same, all of it.
    void sendLimits(const HostId& host, Timestamp now);
    /// Limits of the plan's client accounts, and who holds them.
    void updateCredits(Timestamp now);
    void sendVerdicts(const HostId& host, Timestamp now);
    [[nodiscard]] model::TargetReport makeReport() const;
    /// Gateways heard of lately, as of some moments ago.
    [[nodiscard]] std::span<const Gateway> gateways(Timestamp now) const;
    [[nodiscard]] std::vector<Gateway> livingRegistryHosts(Timestamp now) const;
    void updateLinks();
    void noteLeader(Timestamp now);
    void log(host::LogSeverity severity, std::string text);
    void send(std::vector<model::Outgoing> outgoing);

    settings::RoutedHostSettings settings_;
    HostId self_;
    Incarnation incarnation_;
    std::unique_ptr<model::Counters> counters_;
    std::unique_ptr<control::IControlReplica> replica_;
    std::shared_ptr<settings::RoutePlanReader> planReader_;
    PlanQueue planQueue_;
    std::unique_ptr<membership::IHostRoster> roster_;
    std::unique_ptr<control::IBundleHolder> holder_;
    TargetBook targets_;
    Orders orders_;
    std::unordered_map<requests::HttpHandle, OpenCall> calls_;
    std::unordered_map<requests::HttpHandle, uint64_t> planAnswers_; ///< On their way to slow readers; bytes.
    uint64_t callBytes_ = 0; ///< Held by calls and by these answers.
    /// As of ordersSeen_. Bounded as the log's: what it has forgotten, no host is asked for any more.
    membership::RetiredTargets retired_ {control::RoutingState::KeptRetiredTargets};
    std::set<ZoneName> evacuated_; ///< As of ordersSeen_.
    std::optional<model::TargetIncarnation> lastRetired_; ///< The newest order in the log that was noted.
    std::set<ServiceName> services_; ///< Of the plan at servicesAsOf_.
    LogPosition servicesAsOf_;
    RefusedReports refusedReports_;
    LogPosition ordersSeen_;
    std::set<HostId> toldAll_; ///< Gateways that have every target, or it is on its way on a link that stands.
    Timestamp nextReportAt_ {};
    LoadBoard loads_;
    NearGateways nearGateways_;
    SuspectRelay suspects_;
    std::optional<CreditPool> credits_; ///< From the first tick on.
    settings::RoutePlanReader accountReader_;
    Timestamp nextHoldersAt_ {};
    LogPosition accountsAsOf_; ///< Of the plan that the limits are of.
    std::set<HostId> toldLoads_; ///< Gateways that hear sums from this host, and have heard all of them.
    Timestamp nextLoadsAt_ {};
    mutable std::vector<Gateway> gateways_; ///< As of gatewaysAt_.
    mutable std::optional<Timestamp> gatewaysAt_;
    HostId leader_;
    host::RoutedLinks links_;
    std::vector<model::TargetRecord> recalled_; ///< Soft state of the start before, until it is taken up.
    std::vector<model::SuspectRequest> recalledVerdicts_; ///< The same.
    bool isRecallReleased_ = false;
    /// Changes of targets, orders and verdicts as of the last look at them.
    std::tuple<uint64_t, LogPosition, uint64_t> softStateSeen_;
    uint64_t softStateWritten_ = 0; ///< Hash of what the disk holds; 0: nothing of this start.
    Timestamp nextSoftStateAt_ {};
    std::vector<host::Action> actions_;
    std::optional<Timestamp> stopAt_;
};

} // namespace saltvane::registry
