/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/clientkeydigest.h"

#include "gateway/internal/requesthasher.h"

#include <algorithm>
#include <sodium.h>

namespace saltvane::gateway {

namespace {

/// Separates this secret from other uses of the key of the links.
constexpr std::string_view SecretContext = "saltvane client key digest v1";
static_assert(SecretContext.size() >= crypto_generichash_KEYBYTES_MIN);
static_assert(SecretContext.size() <= crypto_generichash_KEYBYTES_MAX);

} // namespace

ClientKeyHasher::ClientKeyHasher(std::string_view linkKey)
{
    static_assert(sizeof(ClientKeyDigest) == crypto_shorthash_siphashx24_BYTES);
    static_assert(sizeof(secret_) == crypto_shorthash_siphashx24_KEYBYTES);
    const DigestKey key = deriveKey(linkKey, SecretContext);
    static_assert(sizeof(key) >= sizeof(secret_));
    std::copy_n(key.begin(), secret_.size(), secret_.begin());
}

ClientKeyDigest ClientKeyHasher::digestOf(std::string_view key) const
{
    ClientKeyDigest digest {};
    crypto_shorthash_siphashx24(
        digest.data(), reinterpret_cast<const unsigned char*>(key.data()), key.size(), secret_.data());
    return digest;
}

} // namespace saltvane::gateway
