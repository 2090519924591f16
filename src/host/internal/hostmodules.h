/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/ibundlereplica.h"
#include "control/icontrolreplica.h"
#include "host/ihostcore.h"
#include "host/internal/hostliveness.h"
#include "membership/icredits.h"
#include "membership/ihosttable.h"
#include "membership/itargetdirectory.h"
#include "model/counters.h"
#include "model/deployment.h"
#include "requests/ientryrequests.h"
#include "requests/iownerrequests.h"
#include "requests/itokenissuer.h"
#include "steering/iretrybudget.h"
#include "steering/isteering.h"
#include "steering/itargetpool.h"

#include <memory>

namespace saltvane::host {

/// The modules of one host; each is declared after those that it depends on.
struct HostModules {
    explicit HostModules(HostCoreOptions options);

    /// Installs a bundle that came into force; the first one also creates steering and the entry side of requests.
    void install(model::DeploymentPtr installed, Timestamp now);
    /// The host is down or restarted: requests in flight there get no response any more.
    void onHostLost(const HostId& host, Timestamp now);
    [[nodiscard]] uint32_t requestsInFlight() const;
    /// Terminates the requests in flight on the entry and owner sides; returns how many there were.
    uint32_t terminateAll(Timestamp now);

    HostCoreOptions options;
    membership::HostIdentity self;
    model::Counters counters;
    model::HostRecord ownRecord; ///< As last passed to the host table.
    std::unique_ptr<membership::IHostTable> hostTable;
    std::unique_ptr<membership::ITargetDirectory> directory;
    std::unique_ptr<steering::ITargetPool> pool;
    std::unique_ptr<requests::IOwnerRequests> owner;
    std::unique_ptr<membership::ICreditIssuer> creditIssuer;
    std::unique_ptr<membership::ICreditStore> creditStore;
    std::unique_ptr<steering::IRetryBudget> retryBudget;
    std::unique_ptr<requests::ITokenIssuer> tokenIssuer;
    std::unique_ptr<HostLiveness> hostLiveness;
    std::unique_ptr<control::IBundleReplica> bundleReplica;
    std::unique_ptr<control::IControlReplica> replica; ///< Null without the control role.
    model::DeploymentPtr deployment; ///< Null before the first bundle, as are the next two members.
    std::unique_ptr<steering::ISteering> steering;
    std::unique_ptr<requests::IEntryRequests> entry;
};

} // namespace saltvane::host
