/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/requestframing.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace saltvane::net {

namespace {

constexpr std::string_view TokenPunctuation = "!#$%&'*+-.^_`|~";
constexpr unsigned char FirstPrintable = 0x21;
constexpr unsigned char Delete = 0x7f;
constexpr size_t ByteValues = 256;

constexpr char lowered(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

constexpr bool isTokenCharacter(char c)
{
    const char low = lowered(c);
    if ((low >= 'a' && low <= 'z') || (c >= '0' && c <= '9'))
        return true;
    return TokenPunctuation.find(c) != std::string_view::npos;
}

using CharacterTable = std::array<bool, ByteValues>;

constexpr CharacterTable TokenCharacters = [] {
    CharacterTable table {};
    for (size_t i = 0; i < ByteValues; ++i)
        table[i] = isTokenCharacter(static_cast<char>(i));
    return table;
}();
constexpr CharacterTable ValueCharacters = [] {
    CharacterTable table {};
    for (size_t i = 0; i < ByteValues; ++i)
        table[i] = i == '\t' || (i >= ' ' && i != Delete);
    return table;
}();
constexpr CharacterTable TargetCharacters = [] {
    CharacterTable table {};
    for (size_t i = 0; i < ByteValues; ++i)
        table[i] = i >= FirstPrintable && i != Delete && i != '#';
    return table;
}();

bool consistsOf(const CharacterTable& table, std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [&](char c) { return table[static_cast<unsigned char>(c)]; });
}

EdgeRefusal badRequest(std::string message)
{
    return {.status = 400, .reason = model::Reason::BadRequest, .message = std::move(message)};
}

/// A header that determines framing, with its number of occurrences.
struct FramingField {
    std::string_view name;
    size_t count = 0;
    std::string_view value {}; ///< Of the first occurrence.
};

struct FramingFields {
    FramingField contentLength {.name = "Content-Length"};
    FramingField transferEncoding {.name = "Transfer-Encoding"};
    FramingField host {.name = "Host"};
    FramingField expect {.name = "Expect"};

    explicit FramingFields(const RequestHead& head)
    {
        for (const model::Header& header : head.headers) {
            for (FramingField* field : {&contentLength, &transferEncoding, &host, &expect})
                record(*field, header);
        }
    }

private:
    static void record(FramingField& field, const model::Header& header)
    {
        if (!equalsIgnoringCase(header.name, field.name))
            return;
        if (field.count == 0)
            field.value = header.value;
        ++field.count;
    }
};

std::optional<EdgeRefusal> findBadField(const RequestHead& head, const FramingFields& /*fields*/)
{
    for (const model::Header& header : head.headers) {
        if (!isToken(header.name))
            return badRequest("header name is not a token");
        if (!isFieldValue(header.value))
            return badRequest("header " + header.name + " contains a control character");
    }
    return std::nullopt;
}

std::optional<EdgeRefusal> findBadLength(const RequestHead& head, const FramingFields& fields)
{
    const FramingField& length = fields.contentLength;
    const FramingField& coding = fields.transferEncoding;
    if (length.count > 1)
        return badRequest("Content-Length is given more than once");
    if (length.count > 0 && coding.count > 0)
        return badRequest("Content-Length and Transfer-Encoding exclude each other");
    if (length.count > 0 && !parseLength(length.value))
        return badRequest("Content-Length is not a number");
    if (coding.count > 1)
        return badRequest("Transfer-Encoding is given more than once");
    if (coding.count == 0)
        return std::nullopt;
    if (!head.isHttp11)
        return badRequest("Transfer-Encoding requires HTTP/1.1");
    if (!equalsIgnoringCase(coding.value, "chunked"))
        return badRequest("Transfer-Encoding other than chunked");
    return std::nullopt;
}

std::optional<EdgeRefusal> findBadHost(const RequestHead& head, const FramingFields& fields)
{
    if (fields.host.count > 1)
        return badRequest("Host is given more than once");
    if (fields.host.count == 0 && head.isHttp11)
        return badRequest("Host is missing");
    return std::nullopt;
}

std::optional<EdgeRefusal> findBadTarget(const RequestHead& head, const FramingFields& /*fields*/)
{
    if (!isToken(head.method))
        return badRequest("method is not a token");
    if (head.method == "CONNECT" || head.method == "TRACE")
        return EdgeRefusal {.status = 405, .reason = model::Reason::BadRequest, .message = "method is not supported"};
    if (!isRequestTarget(head.target))
        return badRequest("request target contains a space, a control character or a fragment");
    const std::string_view path = pathOf(head.target);
    const bool isServerWide = head.method == "OPTIONS" && path == "*";
    if (!isServerWide && !path.starts_with('/'))
        return badRequest("request target is not a path");
    return std::nullopt;
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) { return lowered(a) == lowered(b); });
}

std::optional<uint64_t> parseLength(std::string_view text)
{
    uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

bool isToken(std::string_view text) { return !text.empty() && consistsOf(TokenCharacters, text); }

bool isFieldValue(std::string_view text) { return consistsOf(ValueCharacters, text); }

bool isRequestTarget(std::string_view text) { return !text.empty() && consistsOf(TargetCharacters, text); }

std::string_view pathOf(std::string_view target)
{
    constexpr std::string_view SchemeEnd = "://";
    if (target.starts_with('/'))
        return target;
    const size_t scheme = target.find(SchemeEnd);
    if (scheme == std::string_view::npos)
        return target;
    const std::string_view rest = target.substr(scheme + SchemeEnd.size());
    const size_t end = rest.find_first_of("/?");
    return end == std::string_view::npos ? "/" : rest.substr(end);
}

Result<RequestFraming, EdgeRefusal> readFraming(const RequestHead& head)
{
    const FramingFields fields(head);
    for (const auto check : {findBadField, findBadLength, findBadHost, findBadTarget}) {
        if (auto refusal = check(head, fields))
            return *refusal;
    }
    RequestFraming framing {.bodyLength = 0};
    if (fields.transferEncoding.count > 0)
        framing.bodyLength = std::nullopt;
    if (fields.contentLength.count > 0)
        framing.bodyLength = parseLength(fields.contentLength.value);
    framing.expectsContinue = equalsIgnoringCase(fields.expect.value, "100-continue");
    return framing;
}

} // namespace saltvane::net
