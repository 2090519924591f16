/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/forwardedheader.h"

#include <array>
#include <charconv>
#include <sodium.h>

namespace saltvane::gateway {

namespace {

constexpr std::string_view KeyContext = "saltvane forwarded request v1 key";
static_assert(KeyContext.size() >= crypto_generichash_KEYBYTES_MIN);
static_assert(KeyContext.size() <= crypto_generichash_KEYBYTES_MAX);
constexpr char Separator = ';';
constexpr Duration MaxElapsed = 1h;
/// Keeps a code of one header from being one of the other.
constexpr std::string_view PlanLabel = "plan;";

std::optional<uint64_t> parseNumber(std::string_view text)
{
    uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = parsed.ec == std::errc {} && parsed.ptr == text.data() + text.size();
    return isWhole ? std::optional(value) : std::nullopt;
}

std::string toHex(const ClientKeyDigest& digest)
{
    std::string hex(digest.size() * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    hex.pop_back();
    return hex;
}

std::optional<ClientKeyDigest> keyDigestFrom(std::string_view hex)
{
    ClientKeyDigest digest {};
    size_t size = 0;
    const bool isHex
        = sodium_hex2bin(digest.data(), digest.size(), hex.data(), hex.size(), nullptr, &size, nullptr) == 0;
    return isHex && size == digest.size() ? std::optional(digest) : std::nullopt;
}

} // namespace

ForwardedHeaderCodec::ForwardedHeaderCodec(std::string_view linkKey)
    : key_(deriveKey(linkKey, KeyContext))
{
}

std::string ForwardedHeaderCodec::codeOf(std::string_view text, const Request& request) const
{
    RequestHasher hasher(key_,
        {.clientAccount = request.clientAccount, .method = request.method, .host = request.host, .path = request.path});
    hasher.addField(request.id);
    hasher.addField(text);
    const model::RequestDigest code = hasher.finish();
    return model::toString(code) + model::toString({.high = code.low, .low = 0});
}

std::string ForwardedHeaderCodec::encode(const ForwardedInfo& info, const Request& request) const
{
    const auto elapsedMs = std::chrono::floor<std::chrono::milliseconds>(info.elapsed).count();
    std::string text = std::to_string(info.attempts) + Separator + std::to_string(elapsedMs);
    const std::string code = codeOf(text, request);
    return text + Separator + code;
}

std::optional<std::string_view> ForwardedHeaderCodec::verifiedText(
    std::string_view value, std::string_view label, const Request& request) const
{
    const size_t codeAt = value.rfind(Separator);
    if (codeAt == std::string_view::npos)
        return std::nullopt;
    const std::string_view text = value.substr(0, codeAt);
    const std::string_view code = value.substr(codeAt + 1);
    const std::string expected = codeOf(std::string(label).append(text), request);
    if (code.size() != expected.size() || sodium_memcmp(code.data(), expected.data(), expected.size()) != 0)
        return std::nullopt;
    return text;
}

std::optional<ForwardedInfo> ForwardedHeaderCodec::decode(std::string_view value, const Request& request) const
{
    const std::optional<std::string_view> text = verifiedText(value, {}, request);
    const size_t elapsedAt = text ? text->find(Separator) : std::string_view::npos;
    if (elapsedAt == std::string_view::npos)
        return std::nullopt;
    const auto attempts = parseNumber(text->substr(0, elapsedAt));
    const auto elapsedMs = parseNumber(text->substr(elapsedAt + 1));
    if (!attempts || !elapsedMs || std::chrono::milliseconds(*elapsedMs) > MaxElapsed)
        return std::nullopt;
    return ForwardedInfo {
        .attempts = static_cast<uint32_t>(*attempts), .elapsed = std::chrono::milliseconds(*elapsedMs)};
}

std::string ForwardedHeaderCodec::encodePlan(const ForwardedPlan& plan, const Request& request) const
{
    std::string text = std::to_string(plan.planIndex.value) + Separator + std::to_string(plan.judgement.route)
        + Separator + std::to_string(plan.judgement.account) + Separator;
    if (plan.key)
        text += toHex(*plan.key);
    const std::string code = codeOf(std::string(PlanLabel).append(text), request);
    return text + Separator + code;
}

std::optional<ForwardedPlan> ForwardedHeaderCodec::decodePlan(std::string_view value, const Request& request) const
{
    std::optional<std::string_view> text = verifiedText(value, PlanLabel, request);
    if (!text)
        return std::nullopt;
    std::array<uint64_t, 3> numbers {};
    for (uint64_t& number : numbers) {
        const size_t end = text->find(Separator);
        const auto parsed = end == std::string_view::npos ? std::nullopt : parseNumber(text->substr(0, end));
        if (!parsed)
            return std::nullopt;
        number = *parsed;
        text->remove_prefix(end + 1);
    }
    const std::optional<ClientKeyDigest> key = keyDigestFrom(*text);
    if (!text->empty() && !key)
        return std::nullopt;
    const auto [plan, route, account] = numbers;
    return ForwardedPlan {.planIndex = {plan}, .judgement = {.route = route, .account = account}, .key = key};
}

} // namespace saltvane::gateway
