/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace saltvane::model {

/// Identifies all attempts of one request: same client account, method, host, path with query, and body. The digest is
/// keyed, so that an outsider cannot construct a request with the digest of another one
/// (docs/design/0013-fatal-requests.md).
struct RequestDigest {
    uint64_t high = 0;
    uint64_t low = 0;
    auto operator<=>(const RequestDigest&) const = default;
};

[[nodiscard]] std::string toString(const RequestDigest& digest); ///< `high` in hexadecimal, for logs.

} // namespace saltvane::model

template <> struct std::hash<saltvane::model::RequestDigest> {
    size_t operator()(const saltvane::model::RequestDigest& digest) const noexcept { return digest.low; }
};
