/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"

#include <set>
#include <utility>

namespace saltvane::host {

/// Open requests that other hosts forwarded to this one because it issued their keys. Their frames go to the entry
/// side; all other forwarded frames go to the owner side.
class IssuerForwards {
public:
    void add(const HostId& from, CorrelationId correlation);
    void remove(const HostId& from, CorrelationId correlation);
    void removeAll(const HostId& from);
    [[nodiscard]] bool contains(const HostId& from, CorrelationId correlation) const;

private:
    struct Key {
        HostId from;
        CorrelationId correlation;
        auto operator<=>(const Key&) const = default;
    };
    std::set<Key> open_;
};

} // namespace saltvane::host
