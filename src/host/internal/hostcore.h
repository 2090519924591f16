/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/internal/bundleinstaller.h"
#include "host/internal/hostmodules.h"
#include "host/internal/httpgate.h"
#include "host/internal/incarnationwatch.h"
#include "host/internal/linkplanner.h"
#include "host/internal/messagerouter.h"
#include "host/internal/mintforwards.h"
#include "host/internal/outbox.h"
#include "host/internal/ownersync.h"
#include "host/internal/periodictimer.h"
#include "host/internal/plannedstop.h"
#include "host/internal/startup.h"
#include "host/internal/targetsync.h"
#include "host/internal/zonesummary.h"

namespace saltvane::host {

/// Composes the modules: hands them events, runs the systems each tick, gathers what they want done.
class HostCore : public IHostCore {
public:
    explicit HostCore(HostCoreOptions options);

    void handle(Event event, Timestamp now) override;
    void tick(Timestamp now) override;
    [[nodiscard]] std::vector<Action> takeActions() override;
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
    void accept(const SeedsChanged& /*changed*/, Timestamp /*now*/) { } ///< Its hosts are listed in its settings.

    // Systems, in the order of the table in hostcore.cpp.
    void tickControl(Timestamp now);
    void tickBundles(Timestamp now);
    void tickMembership(Timestamp now);
    void tickTargets(Timestamp now);
    void tickCredits(Timestamp now);
    void tickSteering(Timestamp now);
    void noteServedElsewhere(Timestamp now);
    void tickStartup(Timestamp now);
    void tickRequests(Timestamp now);
    void tickStop(Timestamp now);
    void tickLinks(Timestamp now);

    /// Carries the host's messages to itself until none is left, up to a bound, and gathers the modules' actions.
    void settle(Timestamp now);
    void gather();
    void gatherEntry();
    /// False where the sender is an earlier incarnation.
    [[nodiscard]] bool noteIncarnation(const HostId& host, Incarnation incarnation, Timestamp now);
    void noteHostLost(const HostId& host, Timestamp now);
    [[nodiscard]] model::HostState state() const;

    Timestamp lastTick_;
    HostModules modules_;
    Outbox outbox_;
    IncarnationWatch incarnations_;
    MintForwards mintForwards_;
    TargetSync targets_;
    ZoneSummary zones_;
    OwnerSync owners_;
    LinkPlanner links_;
    BundleInstaller bundles_;
    Startup startup_;
    PlannedStop stop_;
    MessageRouter router_;
    HttpGate http_;
    PeriodicTimer summaryTimer_;
};

} // namespace saltvane::host
