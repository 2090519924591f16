/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/hostmessages.h"
#include "model/internal/addressprefix.h"

#include <charconv>

namespace saltvane::model {
namespace {

struct AddressParts {
    std::string_view ip;
    std::string_view port;
};

std::optional<AddressParts> splitAddress(std::string_view text)
{
    const bool isBracketed = text.starts_with('[');
    const size_t colon = isBracketed ? text.find("]:") : text.find(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    if (isBracketed)
        return AddressParts {.ip = text.substr(1, colon - 1), .port = text.substr(colon + 2)};
    return AddressParts {.ip = text.substr(0, colon), .port = text.substr(colon + 1)};
}

std::optional<uint16_t> parsePort(std::string_view text)
{
    uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (error != std::errc {} || end != text.data() + text.size() || port == 0)
        return std::nullopt;
    return port;
}

bool isIpv6Text(std::string_view ip) { return ip.find(':') != std::string_view::npos; }

} // namespace

std::string toString(const Address& address)
{
    const std::string host = isIpv6Text(address.ip) ? "[" + address.ip + "]" : address.ip;
    return host + ":" + std::to_string(address.port);
}

std::optional<Address> parseAddress(std::string_view text)
{
    const auto parts = splitAddress(text);
    if (!parts || !parseIpAddress(parts->ip) || isIpv6Text(parts->ip) != text.starts_with('['))
        return std::nullopt;
    const auto port = parsePort(parts->port);
    if (!port)
        return std::nullopt;
    return Address {.ip = std::string(parts->ip), .port = *port};
}

} // namespace saltvane::model
