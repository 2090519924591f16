/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/accounttable.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>

namespace saltvane::gateway::test {

namespace {
const ClientKeyHasher Hasher("secret");
} // namespace

/// After any series of updates, each key belongs to the account that the last update assigns it to.
TEST(AccountTableTest, UpdatedTableMatchesFreshTable)
{
    constexpr size_t Keys = 12;
    std::mt19937 random(11); // NOLINT(cert-msc32-c,cert-msc51-cpp): reproducible sequence.
    const auto draw = [&](size_t below) { return random() % below; };
    AccountTable table {Hasher};
    std::vector<model::AccountRef> accounts;
    std::map<std::string, size_t> holders; ///< Account number by key.
    for (int round = 0; round < 2000; ++round) {
        for (size_t moves = draw(4); moves > 0; --moves) {
            const std::string key = "key-" + std::to_string(draw(Keys));
            holders[key] = draw(5);
            if (draw(4) == 0)
                holders.erase(key);
        }
        std::map<size_t, std::vector<std::string>> keysOf;
        for (const auto& [key, holder] : holders)
            keysOf[holder].push_back(key);
        std::vector<model::AccountRef> next;
        for (const auto& [holder, keys] : keysOf) {
            const model::ClientAccountName name("account-" + std::to_string(holder));
            const auto same = std::ranges::find_if(accounts, [&, &keys = keys](const model::AccountRef& account) {
                return account->account.name == name && account->account.keys == keys;
            });
            next.push_back(same == accounts.end() ? model::makeAccount({.name = name, .keys = keys}) : *same);
        }
        if (draw(3) == 0)
            std::ranges::reverse(next);
        accounts = next;
        table.install(accounts);
        for (size_t key = 0; key < Keys; ++key) {
            const std::string text = "key-" + std::to_string(key);
            const model::AccountRef found = table.find(Hasher.digestOf(text));
            const auto holder = holders.find(text);
            ASSERT_EQ(found ? found->account.name.value() : "",
                holder == holders.end() ? "" : "account-" + std::to_string(holder->second))
                << "round " << round;
        }
    }
}

} // namespace saltvane::gateway::test
