/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/retiredtargets.h"
#include "model/targetmessages.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace saltvane::registry {

/// Finds the incarnations of targets that the log retired without one. Registry hosts that know such a target when they
/// apply the order tell its incarnation to the leader, which orders the latest of them to be retired. If none knows it,
/// the first incarnation that reports afterwards counts as the one that left, since it can't be told from a later one.
/// docs/design/0012-target-incarnations.md
class LeaveResolver {
public:
    struct Role {
        bool isLeader = false;
        bool isGroupComplete = false; ///< The leader hears all members of the group.
    };

    /// The log retired the target without an incarnation.
    void add(const TargetId& target, Timestamp now);
    /// A registry host knew this incarnation when it applied the order.
    void recordKnown(const model::TargetIncarnation& instance, Timestamp now);
    /// The incarnation reported after the order. No effect if its target is resolved.
    void recordReport(const model::TargetIncarnation& instance);
    [[nodiscard]] bool isDue(Timestamp now) const { return !byDueAt_.empty() && byDueAt_.begin()->first <= now; }
    /// As the leader, what is to be ordered; elsewhere, what the leader is to be told. Repeated until the targets are
    /// resolved.
    [[nodiscard]] std::vector<model::TargetIncarnation> drainDue(
        const membership::RetiredTargets& retired, Role role, Timestamp now);

private:
    struct Unresolved {
        std::optional<Incarnation> known; ///< The latest one.
        std::optional<Incarnation> reported; ///< The first one that reported after the order.
        Timestamp addedAt;
        Timestamp dueAt;
    };
    using Entry = std::map<TargetId, Unresolved>::value_type;

    void schedule(Entry& entry, Timestamp dueAt);
    [[nodiscard]] static std::optional<Incarnation> resolve(const Unresolved& unresolved, Role role, Timestamp now);

    std::map<TargetId, Unresolved> unresolved_; ///< Includes targets that were resolved since their last due time.
    std::set<std::pair<Timestamp, TargetId>> byDueAt_;
};

} // namespace saltvane::registry
