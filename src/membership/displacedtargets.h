/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "model/targetmessages.h"

#include <map>

namespace saltvane::membership {

/// Starts of targets whose address a newer start has taken over. A heartbeat that a cut held up can come after its
/// target has crashed and another one has registered at the address; it must not put the old one back there.
class DisplacedTargets {
public:
    void note(const model::TargetIncarnation& start, Timestamp now);
    /// Whether this start, or a later one of the same id, was displaced lately.
    [[nodiscard]] bool contains(const model::TargetIncarnation& start, Timestamp now) const;

private:
    /// Longer than networks hold up what they deliver after all. Not for ever: a host that started between the two may
    /// have taken the old one for the newer.
    static constexpr Duration Memory = 20s;

    struct Entry {
        Incarnation incarnation;
        Timestamp since;
    };
    void forget(Timestamp now);

    std::map<TargetId, Entry> entries_;
    Timestamp forgottenAt_ {};
};

} // namespace saltvane::membership
