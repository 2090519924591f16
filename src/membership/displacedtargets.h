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

/// Target incarnations whose address has been taken over by a newer target. A heartbeat that was delayed by a network
/// cut can arrive after its target has crashed and another one has registered at the same address; it must not bring
/// the old target back.
class DisplacedTargets {
public:
    /// Longer than a network delays a message that it still delivers. Entries expire, since a host that started between
    /// the two messages may have displaced the newer target by mistake.
    static constexpr Duration RetentionTime = 20s;

    void record(const model::TargetIncarnation& instance, Timestamp now);
    /// The target turned out to be the newer one.
    void forget(const TargetId& target) { entries_.erase(target); }
    /// True if this incarnation, or a later one of the same target, was displaced recently.
    [[nodiscard]] bool contains(const model::TargetIncarnation& instance, Timestamp now) const;

private:
    struct Entry {
        Incarnation incarnation;
        Timestamp displacedAt;
    };
    void eraseExpired(Timestamp now);

    std::map<TargetId, Entry> entries_;
    Timestamp lastExpiryAt_ {};
};

} // namespace saltvane::membership
