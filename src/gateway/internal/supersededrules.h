/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "gateway/internal/clientkeydigest.h"
#include "model/routeplan.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace saltvane::gateway {

/// Routes and client keys of which a peer has shown that a newer plan says something else than the one in force here. A
/// request that concerns one of them must not be run by this gateway's plan: callers may have seen the newer one's
/// effect.
class SupersededRules {
public:
    /// The return value is false if it was known.
    bool recordRoute(const model::Route& route, LogIndex newerPlan);
    bool recordKey(const ClientKeyDigest& key, LogIndex newerPlan);
    /// `key`: none if the caller presented none.
    [[nodiscard]] bool contains(const model::Route& route, const std::optional<ClientKeyDigest>& key) const;
    /// Drops what this plan, which is in force now, contains.
    void onPlan(LogIndex plan);

private:
    /// The newest plan known to change the route, by host name and path prefix: names need not be unique.
    std::unordered_map<std::string, LogIndex> routes_;
    std::unordered_map<ClientKeyDigest, LogIndex, ClientKeyDigestHash> keys_;
};

} // namespace saltvane::gateway
