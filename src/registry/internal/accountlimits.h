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

/// The limits of the plan's client accounts, by what identifies them.
class AccountLimits {
public:
    /// Takes the place of the accounts before; costs what differs.
    void install(std::span<const model::AccountRef> accounts);
    /// None where the account isn't known or has no limit.
    [[nodiscard]] std::optional<model::RateLimit> find(const model::LimitId& id) const;
    /// Grows with each change.
    [[nodiscard]] uint64_t version() const { return version_; }

private:
    std::vector<model::AccountRef> accounts_;
    std::unordered_map<model::LimitId, model::RateLimit> limits_;
    uint64_t version_ = 0;
};

} // namespace saltvane::registry
