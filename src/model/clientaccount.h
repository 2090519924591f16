/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace saltvane::model {

using ClientAccountName = Name<struct ClientAccountNameTag>;

/// What an account's requests may add up to, over all gateways.
struct RateLimit {
    double perSecond = 0; ///< Requests.
    double burst = 0; ///< Requests beyond that at any moment.
    auto operator<=>(const RateLimit&) const = default;
};

/// On whose behalf callers send requests: known by the keys they present. docs/ROUTES.md
struct ClientAccount {
    ClientAccountName name;
    std::vector<std::string> keys; ///< Secrets: never logged, shown or passed on.
    std::optional<uint32_t> rank; ///< Goes before the rank of the route; 0 is the most urgent.
    std::optional<RateLimit> limit; ///< None: no limit.
    std::vector<RegionName> permittedRegions; ///< Empty: all. The route's own bind as well.
};

/// An account as plans share it: plans that follow each other hold the same one where it did not change.
struct PlanAccount : boost::intrusive_ref_counter<PlanAccount, boost::thread_unsafe_counter> {
    explicit PlanAccount(ClientAccount given)
        : account(std::move(given))
    {
    }
    const ClientAccount account;
};
using AccountRef = boost::intrusive_ptr<const PlanAccount>;
[[nodiscard]] inline AccountRef makeAccount(ClientAccount account) { return {new PlanAccount(std::move(account))}; }

} // namespace saltvane::model
