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

/// Target incarnations that announced their shutdown. Each entry applies to that incarnation and all earlier ones of
/// the target, never to a later one. Bounded: the oldest entries are dropped first.
class RetiredTargets {
public:
    explicit RetiredTargets(size_t capacity);

    /// Returns false if the incarnation is covered already.
    bool record(const model::TargetIncarnation& instance);
    [[nodiscard]] bool contains(const model::TargetIncarnation& instance) const;
    /// Oldest entry first; of several for one target the latest applies.
    [[nodiscard]] const std::deque<model::TargetIncarnation>& inOrder() const { return order_; }

private:
    void eraseOldest();

    size_t capacity_;
    std::deque<model::TargetIncarnation> order_;
    std::map<TargetId, Incarnation> latest_;
};

} // namespace saltvane::membership
