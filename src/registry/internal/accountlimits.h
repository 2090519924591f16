/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/limitmessages.h"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace saltvane::registry {

/// The rate limits of the plan's client accounts, by limit id.
class AccountLimits {
public:
    /// Replaces the accounts. Costs in proportion to the accounts after the first that differs.
    void install(std::span<const model::AccountRef> accounts);
    /// None where the account is unknown or has no limit.
    [[nodiscard]] std::optional<model::RateLimit> find(const model::LimitId& id) const;
    /// Increases with each change.
    [[nodiscard]] uint64_t version() const { return version_; }

private:
    std::vector<model::AccountRef> accounts_;
    std::unordered_map<model::LimitId, model::RateLimit> limits_;
    uint64_t version_ = 0;
};

} // namespace saltvane::registry
