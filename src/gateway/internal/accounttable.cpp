/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/accounttable.h"

#include <algorithm>
#include <unordered_set>

namespace saltvane::gateway {

void AccountTable::install(std::span<const model::AccountRef> accounts)
{
    const auto [formerBegin, currentBegin] = std::ranges::mismatch(accounts_, accounts);
    const std::span former(formerBegin, accounts_.end());
    const std::span current(currentBegin, accounts.end());
    std::unordered_set<const model::PlanAccount*> added;
    for (const model::AccountRef& account : current)
        added.insert(account.get());
    // Removes the old keys first, because a key may move from one account to another.
    for (const model::AccountRef& account : former) {
        if (added.erase(account.get()) > 0)
            continue;
        byName_.erase(account->account.name);
        for (const std::string& key : account->account.keys)
            byKey_.erase(hasher_.digestOf(key));
    }
    for (const model::AccountRef& account : current) {
        if (!added.contains(account.get()))
            continue;
        byName_.insert_or_assign(account->account.name, account);
        for (const std::string& key : account->account.keys)
            byKey_.insert_or_assign(hasher_.digestOf(key), account);
    }
    accounts_.assign(accounts.begin(), accounts.end());
}

model::AccountRef AccountTable::findNamed(const model::ClientAccountName& name) const
{
    const auto found = byName_.find(name);
    return found == byName_.end() ? nullptr : found->second;
}

model::AccountRef AccountTable::find(const ClientKeyDigest& key) const
{
    const auto found = byKey_.find(key);
    return found == byKey_.end() ? nullptr : found->second;
}

} // namespace saltvane::gateway
