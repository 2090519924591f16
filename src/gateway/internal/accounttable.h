/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/clientkeydigest.h"
#include "model/clientaccount.h"

#include <span>
#include <unordered_map>
#include <vector>

namespace saltvane::gateway {

/// Looks up client accounts by the key that a caller presents. Stores keyed digests instead of the keys, so that the
/// time of a look-up does not reveal how close a guessed key is to a real one.
class AccountTable {
public:
    explicit AccountTable(const ClientKeyHasher& hasher)
        : hasher_(hasher)
    {
    }

    /// Replaces all accounts; the cost is proportional to the number of changed accounts.
    void install(std::span<const model::AccountRef> accounts);
    /// Returns null if no account holds the key.
    [[nodiscard]] model::AccountRef find(const ClientKeyDigest& key) const;
    /// Returns null if there is no account of this name.
    [[nodiscard]] model::AccountRef findNamed(const model::ClientAccountName& name) const;

private:
    const ClientKeyHasher& hasher_;
    std::vector<model::AccountRef> accounts_;
    std::unordered_map<ClientKeyDigest, model::AccountRef, ClientKeyDigestHash> byKey_;
    std::unordered_map<model::ClientAccountName, model::AccountRef> byName_;
};

} // namespace saltvane::gateway
