/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/requesthasher.h"

#include <cstdint>
#include <cstring>

namespace saltvane::gateway {

namespace {

/// Separates this key from other uses of the link secret.
constexpr std::string_view KeyContext = "saltvane request digest v1 key";
static_assert(KeyContext.size() >= crypto_generichash_KEYBYTES_MIN);
static_assert(KeyContext.size() <= crypto_generichash_KEYBYTES_MAX);

static_assert(sizeof(model::RequestDigest) == crypto_generichash_BYTES_MIN);

const unsigned char* bytesOf(std::string_view text) { return reinterpret_cast<const unsigned char*>(text.data()); }

} // namespace

DigestKey deriveKey(std::string_view linkKey, std::string_view context)
{
    DigestKey key {};
    crypto_generichash(key.data(), key.size(), bytesOf(linkKey), linkKey.size(), bytesOf(context), context.size());
    return key;
}

DigestKey deriveDigestKey(std::string_view linkKey) { return deriveKey(linkKey, KeyContext); }

RequestHasher::RequestHasher(const DigestKey& key, const Head& head)
{
    crypto_generichash_init(&state_, key.data(), key.size(), sizeof(model::RequestDigest));
    for (const std::string_view field : {head.clientAccount, head.method, head.host, head.path})
        addField(field);
}

void RequestHasher::addField(std::string_view field)
{
    const uint64_t size = field.size();
    std::array<unsigned char, sizeof(size)> prefix {};
    std::memcpy(prefix.data(), &size, sizeof(size));
    crypto_generichash_update(&state_, prefix.data(), prefix.size());
    crypto_generichash_update(&state_, bytesOf(field), field.size());
}

void RequestHasher::addBody(std::string_view bytes)
{
    crypto_generichash_update(&state_, bytesOf(bytes), bytes.size());
}

model::RequestDigest RequestHasher::finish()
{
    std::array<unsigned char, sizeof(model::RequestDigest)> bytes {};
    crypto_generichash_final(&state_, bytes.data(), bytes.size());
    model::RequestDigest digest;
    std::memcpy(&digest, bytes.data(), bytes.size());
    return digest;
}

} // namespace saltvane::gateway
