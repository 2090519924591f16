/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/clientaccount.h"

#include <array>
#include <cstring>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace saltvane::gateway {

/// Looks up client accounts by the key that a caller presents. Stores keyed digests under a per-process secret instead
/// of the keys, so that the time of a look-up does not reveal how close a guessed key is to a real one.
class AccountTable {
public:
    AccountTable();

    /// Replaces all accounts; the cost is proportional to the number of changed accounts.
    void install(std::span<const model::AccountRef> accounts);
    /// Returns null if no account holds the key.
    [[nodiscard]] model::AccountRef find(std::string_view key) const;
    /// Returns null if there is no account of this name.
    [[nodiscard]] model::AccountRef findNamed(const model::ClientAccountName& name) const;

private:
    using KeyDigest = std::array<unsigned char, 16>;
    struct DigestHash {
        size_t operator()(const KeyDigest& digest) const
        {
            size_t hash = 0;
            std::memcpy(&hash, digest.data(), sizeof(hash));
            return hash;
        }
    };

    [[nodiscard]] KeyDigest digestOf(std::string_view key) const;

    std::array<unsigned char, 16> secret_ {};
    std::vector<model::AccountRef> accounts_;
    std::unordered_map<KeyDigest, model::AccountRef, DigestHash> byKey_;
    std::unordered_map<model::ClientAccountName, model::AccountRef> byName_;
};

} // namespace saltvane::gateway
