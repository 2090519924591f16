/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "base/timetypes.h"

#include <map>

namespace saltvane::membership {

/// Starts of targets whose address a newer start has taken over. A heartbeat that a cut held up can come after its
/// target has crashed and another one has registered at the address; it must not put the old one back there.
class DisplacedTargets {
public:
    void note(const TargetId& target, Timestamp now);
    [[nodiscard]] bool contains(const TargetId& target, Timestamp now) const;

private:
    /// Longer than networks hold up what they deliver after all. Not for ever: a host that started between the two may
    /// have taken the old one for the newer.
    static constexpr Duration Memory = 20s;

    std::map<TargetId, Timestamp> since_;
};

} // namespace saltvane::membership
