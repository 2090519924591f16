/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace saltvane::model {

enum class AddressFamily { Ipv4, Ipv6 };

/// An address as a 128-bit number, left-aligned: an IPv4 address occupies the first 32 bits.
struct AddressKey {
    uint64_t high = 0;
    uint64_t low = 0;
    auto operator<=>(const AddressKey&) const = default;
};

struct IpAddress {
    AddressFamily family = AddressFamily::Ipv4;
    AddressKey key;
};

/// A block of addresses: all addresses whose first `length` bits equal those of `key`.
struct AddressPrefix {
    AddressFamily family = AddressFamily::Ipv4;
    AddressKey key;
    uint32_t length = 0;
    auto operator<=>(const AddressPrefix&) const = default;

    [[nodiscard]] AddressKey last() const; ///< The last key of the block.
};

/// Parses an address without allocating. An IPv4-mapped IPv6 address is returned as an IPv4 address.
[[nodiscard]] std::optional<IpAddress> parseIpAddress(std::string_view text);

/// Parses "address/length". Bits after the prefix must be zero, and IPv4-mapped IPv6 addresses are rejected.
[[nodiscard]] std::optional<AddressPrefix> parseAddressPrefix(std::string_view text);

} // namespace saltvane::model
