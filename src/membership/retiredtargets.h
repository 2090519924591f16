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

/// Starts of targets that said they leave. Each binds itself and all earlier starts under its id, never a later one.
/// Bounded: the oldest orders are forgotten first.
class RetiredTargets {
public:
    explicit RetiredTargets(size_t capacity);

    /// False: it is bound already.
    bool note(const model::TargetIncarnation& start);
    [[nodiscard]] bool contains(const model::TargetIncarnation& start) const;
    /// Oldest order first; of an id the latest binds.
    [[nodiscard]] const std::deque<model::TargetIncarnation>& inOrder() const { return order_; }

private:
    void forgetOldest();

    size_t capacity_;
    std::deque<model::TargetIncarnation> order_;
    std::map<TargetId, Incarnation> latest_;
};

} // namespace saltvane::membership
