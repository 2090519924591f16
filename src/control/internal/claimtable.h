/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/controltypes.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace saltvane::control {

/// Result of a claim and the holder of the key.
struct ClaimOutcome {
    model::ClaimResult result = model::ClaimResult::NoQuorum;
    HostId holder;
    Incarnation holderIncarnation;
};

/// Idempotency keys chosen by callers, each claimed by one host until it expires. Time is taken from the commands and
/// never goes back, so that every replica removes the same keys at the same entry.
class ClaimTable {
public:
    ClaimOutcome apply(const ClaimKey& command);
    /// The answer if the key is already claimed at `nowUnixMs`.
    [[nodiscard]] std::optional<ClaimOutcome> answerFor(const ClaimKey& command, int64_t nowUnixMs) const;
    [[nodiscard]] size_t size() const { return claims_.size(); }
    /// Latest time of any command, in milliseconds since 1970.
    [[nodiscard]] int64_t clock() const { return clock_; }

    [[nodiscard]] nlohmann::json toJson() const;
    [[nodiscard]] static std::optional<ClaimTable> fromJson(const nlohmann::json& array, int64_t clock);

private:
    struct Claim {
        uint64_t fingerprint = 0;
        HostId holder;
        Incarnation holderIncarnation;
        uint64_t claim = 0;
        int64_t expiresAtUnixMs = 0;
    };
    using Key = std::pair<ServiceName, std::string>;

    void prune();
    void insert(Key key, Claim claim);

    std::map<Key, Claim> claims_;
    std::set<std::pair<int64_t, Key>> expiries_;
    int64_t clock_ = 0;
};

} // namespace saltvane::control
