/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/issuerforwards.h"

namespace saltvane::host {

void IssuerForwards::add(const HostId& from, CorrelationId correlation) { open_.insert({from, correlation}); }

void IssuerForwards::remove(const HostId& from, CorrelationId correlation) { open_.erase({from, correlation}); }

void IssuerForwards::removeAll(const HostId& from)
{
    const auto first = open_.lower_bound({from, {}});
    auto last = first;
    while (last != open_.end() && last->from == from)
        ++last;
    open_.erase(first, last);
}

bool IssuerForwards::contains(const HostId& from, CorrelationId correlation) const
{
    return !open_.empty() && open_.contains({from, correlation});
}

} // namespace saltvane::host
