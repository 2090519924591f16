/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/result.h"
#include "model/routeplan.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace saltvane::settings {

/// Reads one route plan after the other, with the same results as parseRoutePlan. Routes whose text did not change are
/// taken over from the plan before: a change costs what it changes, and a look over the text. Read whole, a plan of
/// 19,000 routes takes 0.1 s of a core, which is a second of a host that has a tenth of one.
class RoutePlanReader {
public:
    [[nodiscard]] Result<model::RoutePlan, Findings> read(std::string_view text, const std::string& sourceName);
    /// Of the last plan: routes that the one before did not have.
    [[nodiscard]] size_t newRoutes() const { return newRoutes_.size(); }

private:
    using TextDigest = std::pair<uint64_t, uint64_t>;
    struct Known {
        TextDigest digest;
        model::RouteRef route;
    };
    class Finder;

    [[nodiscard]] static TextDigest digestOf(std::string_view text);
    /// None where anything is wrong.
    [[nodiscard]] std::optional<model::RoutePlan> readParts(std::string_view text, const std::string& sourceName);

    std::vector<Known> known_; ///< Of the last plan that had no findings, in its order.
    std::vector<ServiceName> services_; ///< Of the same plan.
    std::vector<Known> read_; ///< Of the plan that is being read.
    std::vector<size_t> newRoutes_; ///< Positions of its routes that are not known.
};

} // namespace saltvane::settings
