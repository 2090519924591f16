/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/accountlimits.h"

#include <algorithm>

namespace saltvane::registry {

void AccountLimits::install(std::span<const model::AccountRef> accounts)
{
    const auto [formerBegin, newBegin] = std::ranges::mismatch(accounts_, accounts);
    if (formerBegin == accounts_.end() && newBegin == accounts.end())
        return;
    ++version_;
    for (auto former = formerBegin; former != accounts_.end(); ++former)
        limits_.erase(model::limitIdOf((*former)->account.name));
    for (auto added = newBegin; added != accounts.end(); ++added) {
        const model::ClientAccount& account = (*added)->account;
        if (account.limit)
            limits_[model::limitIdOf(account.name)] = *account.limit;
    }
    accounts_.assign(accounts.begin(), accounts.end());
}

std::optional<model::RateLimit> AccountLimits::find(const model::LimitId& id) const
{
    const auto found = limits_.find(id);
    return found == limits_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace saltvane::registry
