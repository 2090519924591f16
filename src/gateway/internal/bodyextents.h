/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "base/timetypes.h"
#include "model/routeplan.h"

#include <cstdint>
#include <map>
#include <optional>

namespace saltvane::gateway {

/// The largest size and the longest duration of bodies, as learnt from a route's complete responses. Each gateway
/// learns from its own responses only. Bounded in the number of routes.
class BodyExtents {
public:
    struct Extent {
        uint64_t bytes = 0;
        Duration duration {}; ///< From the head to the end of the body.
    };
    /// A response of the route was received completely.
    void record(const model::RouteName& route, const Extent& extent);
    /// None before the first complete response, and for routes beyond the bound.
    [[nodiscard]] std::optional<Extent> largest(const model::RouteName& route) const;

private:
    std::map<model::RouteName, Extent> routes_;
};

} // namespace saltvane::gateway
