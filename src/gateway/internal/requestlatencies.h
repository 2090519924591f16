/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/latency.h"
#include "model/routeplan.h"

#include <array>
#include <span>

namespace saltvane::gateway {

enum class Stage { Target, Total };

/// Latencies of answered requests, by kind and stage.
class RequestLatencies {
public:
    void add(model::RouteKind kind, Stage stage, Duration duration)
    {
        all_.at(static_cast<size_t>(kind) * StageCount + static_cast<size_t>(stage)).histogram.add(duration);
    }
    [[nodiscard]] std::span<const model::StageLatency> all() const { return all_; }

private:
    static constexpr size_t StageCount = 2;
    std::array<model::StageLatency, 6> all_ {{
        {.kind = "repeatable", .stage = "target"},
        {.kind = "repeatable", .stage = "total"},
        {.kind = "at_most_once", .stage = "target"},
        {.kind = "at_most_once", .stage = "total"},
        {.kind = "large_read", .stage = "target"},
        {.kind = "large_read", .stage = "total"},
    }};
};

} // namespace saltvane::gateway
