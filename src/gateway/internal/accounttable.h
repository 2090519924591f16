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

/// Client accounts by the keys that their callers present. Holds digests of keys under a secret of the process, so that
/// a look-up takes the same time whether a key is known or nearly so.
class AccountTable {
public:
    AccountTable();

    /// Takes the place of the accounts before; costs what differs.
    void install(std::span<const model::AccountRef> accounts);
    /// Null where no account holds the key.
    [[nodiscard]] model::AccountRef find(std::string_view key) const;

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
};

} // namespace saltvane::gateway
