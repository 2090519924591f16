/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/requestdigest.h"

#include <array>
#include <cstddef>
#include <sodium.h>
#include <string_view>

namespace saltvane::gateway {

/// Key of a keyed hash; the same on all hosts of a deployment.
using DigestKey = std::array<unsigned char, crypto_generichash_KEYBYTES>;

/// Derives a key from the secret that the hosts share for their links. `context` separates it from keys for other uses.
[[nodiscard]] DigestKey deriveKey(std::string_view linkKey, std::string_view context);
/// The key of request digests.
[[nodiscard]] DigestKey deriveDigestKey(std::string_view linkKey);

/// Computes a request's digest while its body arrives.
class RequestHasher {
public:
    struct Head {
        std::string_view clientAccount; ///< Empty if callers do not state it.
        std::string_view method;
        std::string_view host;
        std::string_view path; ///< Including the query.
    };
    RequestHasher(const DigestKey& key, const Head& head);

    void addBody(std::string_view bytes);
    /// Adds a field, prefixed with its length, so that different fields never hash the same bytes.
    void addField(std::string_view field);
    /// To be called once, after the whole body.
    [[nodiscard]] model::RequestDigest finish();

private:
    crypto_generichash_state state_;
};

} // namespace saltvane::gateway
