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

/// The rate limits of client accounts, by limit id: those of this host's plan, and newer ones that gateways know while
/// this host doesn't receive plans.
class AccountLimits {
public:
    /// Replaces the accounts by those of the plan at this position. Costs in proportion to the accounts after the first
    /// that differs.
    void install(std::span<const model::AccountRef> accounts, const LogPosition& plan);
    /// Ignores the limit of a plan that is not newer than the one known.
    void record(const model::AccountLimitNotice& notice);
    /// None where the account is unknown or has no limit.
    [[nodiscard]] std::optional<model::RateLimit> find(const model::LimitId& id) const;
    [[nodiscard]] std::optional<model::AccountLimitNotice> noticeOf(const model::LimitId& id) const;
    /// Increases with each change.
    [[nodiscard]] uint64_t version() const { return version_; }

private:
    struct NewerLimit {
        model::RateLimit rate;
        LogPosition plan;
    };

    std::vector<model::AccountRef> accounts_;
    std::unordered_map<model::LimitId, model::RateLimit> limits_;
    LogPosition plan_;
    std::unordered_map<model::LimitId, NewerLimit> newer_; ///< Limits of plans after plan_.
    uint64_t version_ = 0;
};

} // namespace saltvane::registry
