/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstring>
#include <string_view>

namespace saltvane::gateway {

/// Keyed digest of the key that a caller presents. The same at all gateways of a deployment, so that one of them can
/// ask another about a key without telling it.
using ClientKeyDigest = std::array<unsigned char, 16>;

struct ClientKeyDigestHash {
    size_t operator()(const ClientKeyDigest& digest) const
    {
        size_t hash = 0;
        std::memcpy(&hash, digest.data(), sizeof(hash));
        return hash;
    }
};

/// Computes digests of clients' keys under a secret that is derived from the key of the links.
class ClientKeyHasher {
public:
    explicit ClientKeyHasher(std::string_view linkKey);

    [[nodiscard]] ClientKeyDigest digestOf(std::string_view key) const;

private:
    std::array<unsigned char, 16> secret_ {};
};

} // namespace saltvane::gateway
