/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/tokenissuer.h"

#include <sodium.h>
#include <xxhash.h>

namespace saltvane::requests {
namespace {

constexpr std::string_view TokenPrefix = "s1";
constexpr size_t MacBytes = 16; ///< The 32 bytes of crypto_auth are truncated.
constexpr size_t MaxSuffixLength = 64;
constexpr size_t NumberBytes = 8;
constexpr size_t FixedBytes = 4 * NumberBytes;

static_assert(sizeof(std::array<unsigned char, 32>) == crypto_auth_KEYBYTES);

void appendNumber(std::string& bytes, uint64_t number)
{
    for (size_t index = 0; index < NumberBytes; ++index)
        bytes.push_back(static_cast<char>(number >> (8 * index)));
}

uint64_t numberAt(std::string_view bytes, size_t position)
{
    uint64_t number = 0;
    for (size_t index = 0; index < NumberBytes; ++index)
        number |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[position + index])) << (8 * index);
    return number;
}

uint64_t hashOf(const ServiceName& service) { return XXH64(service.value().data(), service.value().size(), 0); }

std::string encode(std::string_view bytes)
{
    constexpr int Variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
    std::string text(sodium_base64_encoded_len(bytes.size(), Variant), '\0');
    sodium_bin2base64(
        text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), Variant);
    text.pop_back();
    return text;
}

std::optional<std::string> decode(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    size_t size = 0;
    const char* end = nullptr;
    const int failure = sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
        text.size(), nullptr, &size, &end, sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    if (failure != 0 || end != text.data() + text.size())
        return std::nullopt;
    bytes.resize(size);
    return bytes;
}

/// The decoded token of a key of the form TOKEN.SUFFIX; no value if the key has another form.
std::optional<std::string> tokenOf(std::string_view key)
{
    const size_t dot = key.rfind('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const size_t suffix = key.size() - dot - 1;
    if (suffix == 0 || suffix > MaxSuffixLength || !key.starts_with(TokenPrefix) || dot <= TokenPrefix.size())
        return std::nullopt;
    std::optional<std::string> bytes = decode(key.substr(TokenPrefix.size(), dot - TokenPrefix.size()));
    if (!bytes || bytes->size() <= FixedBytes + MacBytes)
        return std::nullopt;
    return bytes;
}

} // namespace

TokenIssuer::TokenIssuer(const TokenIssuerOptions& options)
    : host_(options.host)
    , incarnation_(options.incarnation)
    , validFor_(options.validFor)
{
    crypto_generichash(key_.data(), key_.size(), reinterpret_cast<const unsigned char*>(options.macKey.data()),
        options.macKey.size(), nullptr, 0);
}

std::string TokenIssuer::issue(const ServiceName& service, Timestamp now)
{
    std::string payload;
    appendNumber(payload, incarnation_.value);
    appendNumber(payload, ++sequence_);
    appendNumber(payload, static_cast<uint64_t>((now + validFor_).time_since_epoch().count()));
    appendNumber(payload, hashOf(service));
    payload += host_.value();
    return std::string(TokenPrefix) + encode(payload + mac(payload, service));
}

Result<TokenClaims, TokenError> TokenIssuer::read(
    std::string_view idempotencyKey, const ServiceName& service, Timestamp now) const
{
    const std::optional<std::string> token = tokenOf(idempotencyKey);
    if (!token)
        return TokenError::NotAToken;
    const std::string_view payload = std::string_view(*token).substr(0, token->size() - MacBytes);
    if (numberAt(payload, 3 * NumberBytes) != hashOf(service))
        return TokenError::OtherService;
    if (sodium_memcmp(mac(payload, service).data(), token->data() + payload.size(), MacBytes) != 0)
        return TokenError::BadMac;

    const TokenClaims claims {
        .issuer = HostId(payload.substr(FixedBytes)),
        .incarnation = {numberAt(payload, 0)},
        .sequence = numberAt(payload, NumberBytes),
        .service = service,
        .expiry = Timestamp(Duration(static_cast<int64_t>(numberAt(payload, 2 * NumberBytes)))),
    };
    const bool isOwn = claims.issuer == host_ && claims.incarnation == incarnation_;
    if (isOwn && now >= claims.expiry)
        return TokenError::Expired;
    return claims;
}

std::string TokenIssuer::mac(std::string_view payload, const ServiceName& service) const
{
    std::array<unsigned char, crypto_auth_BYTES> tag {};
    const std::string text = std::string(payload) + service.value();
    crypto_auth(tag.data(), reinterpret_cast<const unsigned char*>(text.data()), text.size(), key_.data());
    return {reinterpret_cast<const char*>(tag.data()), MacBytes};
}

} // namespace saltvane::requests
