/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/clientaccount.h"
#include "model/routeplan.h"

#include <cstdint>

namespace saltvane::gateway {

/// Digests of what a plan says of a request. Two plans with the same digests handle the request alike. 0: the plan has
/// no such route, or no account for the request.
struct RequestJudgement {
    uint64_t route = 0; ///< Of the route, without its name and path.
    uint64_t account = 0; ///< Of the client account, without its keys.
    auto operator<=>(const RequestJudgement&) const = default;
};

/// Null: the plan has none.
[[nodiscard]] RequestJudgement judgementOf(const model::Route* route, const model::ClientAccount* account);

} // namespace saltvane::gateway
