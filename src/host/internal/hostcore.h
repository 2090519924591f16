/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/internal/bundleinstaller.h"
#include "host/internal/hostmodules.h"
#include "host/internal/httprouter.h"
#include "host/internal/incarnationtracker.h"
#include "host/internal/issuerforwards.h"
#include "host/internal/linkplanner.h"
#include "host/internal/messagerouter.h"
#include "host/internal/outbox.h"
#include "host/internal/ownersync.h"
#include "host/internal/periodictimer.h"
#include "host/internal/plannedstop.h"
#include "host/internal/startup.h"
#include "host/internal/targetsync.h"
#include "host/internal/zonesummary.h"

namespace saltvane::host {

/// Composes the modules: dispatches events to them, runs the systems at each tick and collects their actions.
class HostCore : public IHostCore {
public:
    explicit HostCore(HostCoreOptions options);

    void handle(Event event, Timestamp now) override;
    void tick(Timestamp now) override;
    [[nodiscard]] model::Reason recheckDispatch(requests::DispatchId dispatch, Timestamp now) override;
    [[nodiscard]] std::vector<Action> drainActions() override;
    [[nodiscard]] HostStatus status(Timestamp now) const override;
    [[nodiscard]] const model::Counters& counters() const override { return modules_.counters; }

private:
    using System = void (HostCore::*)(Timestamp);

    void accept(requests::HttpEvent event, Timestamp now);
    void accept(requests::TargetEvent event, Timestamp now);
    void accept(model::Delivery delivery, Timestamp now);
    void accept(const LinkUp& up, Timestamp now);
    void accept(const LinkDown& down, Timestamp now);
    void accept(const control::StorageDone& done, Timestamp now);
    void accept(const control::StorageFailed& failed, Timestamp now);
    void accept(StopRequested stop, Timestamp now);
    void accept(const SeedsChanged& /*changed*/, Timestamp /*now*/) {
    } ///< Unused: these hosts take their peers from the settings at the start.

    // Systems; HostCore::tick runs them in the order of its table.
    void tickControl(Timestamp now);
    void tickBundles(Timestamp now);
    void tickMembership(Timestamp now);
    void tickTargets(Timestamp now);
    void tickCredits(Timestamp now);
    void tickSteering(Timestamp now);
    void markServedElsewhere(Timestamp now);
    void tickStartup(Timestamp now);
    void tickRequests(Timestamp now);
    void tickStop(Timestamp now);
    void tickLinks(Timestamp now);

    /// Applies changes of targets, routes the host's messages to itself (a bounded number) and collects the modules'
    /// actions.
    void processPending(Timestamp now);
    void collectActions();
    void collectEntryActions();
    /// False where the sender is an earlier incarnation, whose messages are void.
    [[nodiscard]] bool recordIncarnation(const HostId& host, Incarnation incarnation, Timestamp now);
    void onHostLost(const HostId& host, Timestamp now);
    [[nodiscard]] model::HostState state() const;

    Timestamp lastTick_;
    HostModules modules_;
    Outbox outbox_;
    IncarnationTracker incarnations_;
    IssuerForwards issuerForwards_;
    TargetSync targets_;
    ZoneSummary zones_;
    OwnerSync owners_;
    LinkPlanner links_;
    BundleInstaller bundles_;
    Startup startup_;
    PlannedStop stop_;
    MessageRouter router_;
    HttpRouter http_;
    PeriodicTimer summaryTimer_;
};

} // namespace saltvane::host
