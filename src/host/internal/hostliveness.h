/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/ihosttable.h"
#include "membership/membershiptypes.h"
#include "requests/ientryrequests.h"

namespace saltvane::host {

/// Tells the entry side of requests which incarnations of hosts are alive, by the host table.
class HostLiveness : public requests::IHostLiveness {
public:
    /// `hosts` must outlive the object.
    HostLiveness(membership::HostIdentity self, const membership::IHostTable& hosts);
    [[nodiscard]] bool isAlive(const HostId& host, Incarnation incarnation) const override;

private:
    membership::HostIdentity self_;
    const membership::IHostTable& hosts_;
};

} // namespace saltvane::host
