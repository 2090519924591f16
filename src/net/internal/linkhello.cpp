/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/linkhello.h"

#include <algorithm>

namespace saltvane::net {

namespace {

constexpr std::string_view Magic = "SVLK";
constexpr char Version = 1;
constexpr size_t IncarnationBytes = 8;
constexpr size_t MaxNameBytes = 255;
constexpr unsigned int BitsPerByte = 8;

void appendName(std::string& to, std::string_view name)
{
    const std::string_view cut = name.substr(0, MaxNameBytes);
    to += static_cast<char>(cut.size());
    to += cut;
}

/// Removes the first `count` bytes from `rest` and returns them.
std::optional<std::string_view> popBytes(std::string_view& rest, size_t count)
{
    if (rest.size() < count)
        return std::nullopt;
    const std::string_view popped = rest.substr(0, count);
    rest.remove_prefix(count);
    return popped;
}

std::optional<std::string_view> popName(std::string_view& rest)
{
    const auto size = popBytes(rest, 1);
    if (!size)
        return std::nullopt;
    return popBytes(rest, static_cast<unsigned char>(size->front()));
}

} // namespace

std::string encodeLinkInteger(uint64_t value, size_t bytes)
{
    std::string text(bytes, '\0');
    for (size_t i = 0; i < bytes; ++i)
        text[i] = static_cast<char>(value >> (BitsPerByte * i));
    return text;
}

uint64_t decodeLinkInteger(std::string_view bytes)
{
    uint64_t value = 0;
    for (size_t i = 0; i < bytes.size(); ++i)
        value |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[i])) << (BitsPerByte * i);
    return value;
}

std::string encodeLinkHello(const LinkHello& hello)
{
    std::string bytes(Magic);
    bytes += Version;
    bytes.append(reinterpret_cast<const char*>(hello.nonce.data()), hello.nonce.size());
    bytes += encodeLinkInteger(hello.incarnation.value, IncarnationBytes);
    appendName(bytes, hello.deployment);
    appendName(bytes, hello.host.value());
    return bytes;
}

std::optional<LinkHello> decodeLinkHello(std::string_view bytes)
{
    const auto magic = popBytes(bytes, Magic.size());
    const auto version = popBytes(bytes, 1);
    const auto nonce = popBytes(bytes, LinkNonceBytes);
    const auto incarnation = popBytes(bytes, IncarnationBytes);
    const auto deployment = popName(bytes);
    const auto host = popName(bytes);
    if (!host || !bytes.empty() || *magic != Magic || version->front() != Version || host->empty())
        return std::nullopt;
    LinkHello hello {
        .deployment = std::string(*deployment),
        .host = HostId(*host),
        .incarnation = {decodeLinkInteger(*incarnation)},
    };
    std::copy(nonce->begin(), nonce->end(), hello.nonce.begin());
    return hello;
}

} // namespace saltvane::net
