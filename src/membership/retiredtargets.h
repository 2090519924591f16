/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/targetmessages.h"

#include <cstddef>
#include <deque>
#include <map>

namespace saltvane::membership {

/// Precedes every incarnation that targets report. An order with it retires a target that reports none.
constexpr Incarnation EarliestIncarnation {1};

/// Targets that announced their shutdown. Each entry applies to its incarnation and all earlier ones of the target,
/// never to a later one. An entry without an incarnation leaves open to which one it applies: the target's later entry
/// tells it, and until then the target is unresolved. Bounded: the oldest entries are dropped first.
class RetiredTargets {
public:
    explicit RetiredTargets(size_t capacity);
    /// The entry that retires this incarnation and all earlier ones.
    [[nodiscard]] static model::TargetIncarnation entryFor(const model::TargetIncarnation& instance);

    /// Returns false if the entry is covered already.
    bool record(const model::TargetIncarnation& entry);
    /// Whether an order with this entry would change nothing.
    [[nodiscard]] bool covers(const model::TargetIncarnation& entry) const;
    /// Whether this incarnation is known to be retired.
    [[nodiscard]] bool contains(const model::TargetIncarnation& instance) const;
    /// Whether the target is retired, and it is not known which of its incarnations.
    [[nodiscard]] bool isUnresolved(const TargetId& target) const;
    /// Whether no new work may be sent to this incarnation.
    [[nodiscard]] bool blocks(const model::TargetIncarnation& instance) const
    {
        return contains(instance) || isUnresolved(instance.target);
    }
    /// The latest incarnation of the target that is known to be retired; 0: none.
    [[nodiscard]] Incarnation latestOf(const TargetId& target) const;
    /// Oldest entry first; of several for one target the latest applies.
    [[nodiscard]] const std::deque<model::TargetIncarnation>& inOrder() const { return order_; }

private:
    struct Target {
        Incarnation latest; ///< 0: no entry names one.
        bool isUnresolved = false; ///< Its last entry names none.
        size_t entries = 0;
        size_t entriesWithIncarnation = 0;
    };
    void eraseOldest();

    size_t capacity_;
    std::deque<model::TargetIncarnation> order_;
    std::map<TargetId, Target> targets_;
};

} // namespace saltvane::membership
