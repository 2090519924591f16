/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/hostliveness.h"

#include <utility>

namespace saltvane::host {

HostLiveness::HostLiveness(membership::HostIdentity self, const membership::IHostTable& hosts)
    : self_(std::move(self))
    , hosts_(hosts)
{
}

bool HostLiveness::isAlive(const HostId& host, Incarnation incarnation) const
{
    if (host == self_.host)
        return incarnation == self_.incarnation;
    const membership::HostView* view = hosts_.find(host);
    if (view == nullptr || view->health == membership::HostHealth::Dead)
        return false;
    return view->record.incarnation == incarnation;
}

} // namespace saltvane::host
