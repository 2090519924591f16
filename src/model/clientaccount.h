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

/// Limit on the requests of a client account, counted over all gateways.
struct RateLimit {
    double perSecond = 0; ///< Requests per second.
    double burst = 0; ///< Requests that may exceed that rate at once.
    auto operator<=>(const RateLimit&) const = default;
};

/// The client account on whose behalf a caller sends requests, identified by the key that the caller presents
/// (docs/ROUTES.md).
struct ClientAccount {
    ClientAccountName name;
    std::vector<std::string> keys; ///< Secrets: never logged, displayed or forwarded.
    std::optional<uint32_t> rank; ///< Overrides the rank of the route; 0 is the most urgent.
    std::optional<RateLimit> limit; ///< Not set: no limit.
    std::vector<RegionName> permittedRegions; ///< Empty: all. The route's permitted regions apply in addition.
};

/// A reference-counted account. Successive plans share the accounts that did not change between them.
struct PlanAccount : boost::intrusive_ref_counter<PlanAccount, boost::thread_unsafe_counter> {
    explicit PlanAccount(ClientAccount value)
        : account(std::move(value))
    {
    }
    const ClientAccount account;
};
using AccountRef = boost::intrusive_ptr<const PlanAccount>;
[[nodiscard]] inline AccountRef makeAccount(ClientAccount account) { return {new PlanAccount(std::move(account))}; }

} // namespace saltvane::model
