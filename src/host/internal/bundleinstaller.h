/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/internal/hostmodules.h"
#include "host/internal/outbox.h"

#include <vector>

namespace saltvane::host {

/// Passes the control replica's view and the peers to pull from and push to into the bundle replica, and installs
/// bundles that have newly come into force in the other modules.
class BundleInstaller {
public:
    /// Both must outlive the object.
    BundleInstaller(HostModules& modules, Outbox& outbox);
    void updateControlView(Timestamp now);
    void updatePeers(Timestamp now);
    void installNew(Timestamp now);

private:
    [[nodiscard]] std::vector<HostId> pullSources() const;
    [[nodiscard]] std::vector<HostId> pushReceivers(Timestamp now) const;

    HostModules& modules_;
    Outbox& outbox_;
};

} // namespace saltvane::host
