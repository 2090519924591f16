/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace saltvane::net {

inline constexpr size_t LinkNonceBytes = 32;
using LinkNonce = std::array<unsigned char, LinkNonceBytes>;

/// First message of each side of a link: identifies the sender. docs/design/0008-links.md
struct LinkHello {
    std::string deployment;
    HostId host;
    Incarnation incarnation;
    LinkNonce nonce {};
};

inline constexpr size_t MaxLinkHelloBytes = 1024; ///< Without the length prefix.
inline constexpr size_t LinkHelloLengthBytes = 2;

/// The encoded hello, without the length prefix.
[[nodiscard]] std::string encodeLinkHello(const LinkHello& hello);
/// No value: another protocol or version, or a malformed hello.
[[nodiscard]] std::optional<LinkHello> decodeLinkHello(std::string_view bytes);

/// Little-endian integers, as used on links and in stored records.
[[nodiscard]] std::string encodeLinkInteger(uint64_t value, size_t bytes);
[[nodiscard]] uint64_t decodeLinkInteger(std::string_view bytes);

} // namespace saltvane::net
