/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/internal/addressprefix.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cstring>

namespace saltvane::model {
namespace {

constexpr uint32_t Ipv4Bits = 32;
constexpr uint32_t Ipv6Bits = 128;
constexpr uint32_t WordBits = 64;
constexpr uint64_t AllBits = ~uint64_t {0};
constexpr uint64_t MappedPrefix = 0xffff; ///< Bits 64 to 95 of an IPv4-mapped address (RFC 4291, 2.5.5.2).

uint64_t readBigEndian(const unsigned char* bytes, size_t count)
{
    uint64_t result = 0;
    for (size_t i = 0; i < count; ++i)
        result = (result << 8) | bytes[i];
    return result;
}

IpAddress ipv4(uint64_t number)
{
    return {.family = AddressFamily::Ipv4, .key = {.high = number << Ipv4Bits, .low = 0}};
}

/// Mask of the bits of a 64-bit word that follow its first `prefixBits` bits.
uint64_t suffixMask(uint32_t prefixBits)
{
    if (prefixBits >= WordBits)
        return 0;
    return AllBits >> prefixBits;
}

/// Mask of the bits of a key that follow its first `length` bits.
AddressKey suffixMaskOf(uint32_t length)
{
    const uint32_t lowPrefixBits = length > WordBits ? length - WordBits : 0;
    return {.high = suffixMask(length), .low = suffixMask(lowPrefixBits)};
}

/// The same, limited to the bits of the address family.
AddressKey suffixMaskOf(AddressFamily family, uint32_t length)
{
    AddressKey suffix = suffixMaskOf(length);
    if (family == AddressFamily::Ipv4) {
        suffix.high &= ~suffixMask(Ipv4Bits);
        suffix.low = 0;
    }
    return suffix;
}

std::optional<uint32_t> parseLength(std::string_view text, uint32_t maximum)
{
    uint32_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (error != std::errc {} || end != text.data() + text.size() || length > maximum)
        return std::nullopt;
    return length;
}

std::optional<IpAddress> parseIpv4(const char* text)
{
    std::array<unsigned char, sizeof(in_addr)> bytes {};
    if (inet_pton(AF_INET, text, bytes.data()) != 1)
        return std::nullopt;
    return ipv4(readBigEndian(bytes.data(), bytes.size()));
}

std::optional<IpAddress> parseIpv6(const char* text)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes {};
    if (inet_pton(AF_INET6, text, bytes.data()) != 1)
        return std::nullopt;
    const uint64_t high = readBigEndian(bytes.data(), 8);
    const uint64_t low = readBigEndian(bytes.data() + 8, 8);
    if (high == 0 && low >> Ipv4Bits == MappedPrefix)
        return ipv4(low & suffixMask(Ipv4Bits));
    return IpAddress {.family = AddressFamily::Ipv6, .key = {.high = high, .low = low}};
}

} // namespace

AddressKey AddressPrefix::last() const
{
    const AddressKey suffix = suffixMaskOf(family, length);
    return {.high = key.high | suffix.high, .low = key.low | suffix.low};
}

std::optional<IpAddress> parseIpAddress(std::string_view text)
{
    std::array<char, INET6_ADDRSTRLEN> buffer {};
    if (text.empty() || text.size() >= buffer.size())
        return std::nullopt;
    std::memcpy(buffer.data(), text.data(), text.size());
    if (text.find('\0') != std::string_view::npos)
        return std::nullopt;
    const bool isIpv6 = text.find(':') != std::string_view::npos;
    return isIpv6 ? parseIpv6(buffer.data()) : parseIpv4(buffer.data());
}

std::optional<AddressPrefix> parseAddressPrefix(std::string_view text)
{
    const size_t slash = text.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto address = parseIpAddress(text.substr(0, slash));
    if (!address)
        return std::nullopt;
    const bool isMapped = address->family == AddressFamily::Ipv4 && text.find(':') != std::string_view::npos;
    if (isMapped)
        return std::nullopt;
    const uint32_t bits = address->family == AddressFamily::Ipv4 ? Ipv4Bits : Ipv6Bits;
    const auto length = parseLength(text.substr(slash + 1), bits);
    if (!length)
        return std::nullopt;
    const AddressKey suffix = suffixMaskOf(address->family, *length);
    if ((address->key.high & suffix.high) != 0 || (address->key.low & suffix.low) != 0)
        return std::nullopt;
    return AddressPrefix {.family = address->family, .key = address->key, .length = *length};
}

} // namespace saltvane::model
