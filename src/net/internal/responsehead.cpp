/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/responsehead.h"

#include "net/internal/requestframing.h"

#include <algorithm>

namespace saltvane::net {

namespace {

constexpr size_t MaxHeadBytes = 256 * 1024; ///< Including heads of interim responses.
constexpr std::string_view VersionPrefix = "HTTP/1.";
constexpr size_t VersionEnd = 8; ///< After "HTTP/1.1".
constexpr size_t StatusOffset = 9; ///< After "HTTP/1.1 ".
constexpr size_t StatusEnd = 12; ///< After "HTTP/1.1 200".
constexpr size_t MaxQuotedBytes = 80; ///< Of a line in an error.
constexpr int MinStatus = 100;
constexpr int MaxStatus = 599; ///< Larger ones are invalid (RFC 9110, section 15).
constexpr int FirstFinalStatus = 200;
constexpr int SwitchingProtocols = 101;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
constexpr std::string_view Whitespace = " \t";
constexpr std::chrono::seconds MaxKeptTime = std::chrono::hours(24); ///< A longer one counts as this.

std::string_view trimmed(std::string_view text)
{
    const size_t first = text.find_first_not_of(Whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(Whitespace) - first + 1);
}

bool isDigit(char character) { return character >= '0' && character <= '9'; }

/// Whether the text begins with an HTTP version, a space and a status (RFC 9112, section 4).
bool startsWithStatus(std::string_view text)
{
    if (!text.starts_with(VersionPrefix) || text.size() < StatusEnd || text[VersionEnd] != ' ')
        return false;
    return isDigit(text[VersionEnd - 1])
        && std::ranges::all_of(text.substr(StatusOffset, StatusEnd - StatusOffset), isDigit);
}

/// Whether a status line begins within the line. Nothing else shows that the line consists of two: the beginning of
/// one, where a response broke off, and the status line of the response that follows it.
bool containsStatusLine(std::string_view line)
{
    for (size_t at = line.find(VersionPrefix, 1); at != std::string_view::npos; at = line.find(VersionPrefix, at + 1)) {
        if (startsWithStatus(line.substr(at)))
            return true;
    }
    return false;
}

std::string_view withoutLineEnd(std::string_view line)
{
    if (line.ends_with('\n'))
        line.remove_suffix(1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

} // namespace

ResponseHead::State ResponseHead::fail(std::string error)
{
    error_ = std::move(error);
    return state_ = State::Bad;
}

ResponseHead::State ResponseHead::failOutOfStep(std::string_view error, std::string_view line)
{
    isOutOfStep_ = true;
    return fail(std::string(error) + ": " + std::string(line.substr(0, MaxQuotedBytes)));
}

ResponseHead::State ResponseHead::addLine(std::string_view line)
{
    if (state_ != State::Reading)
        return state_;
    size_ += line.size();
    if (size_ > MaxHeadBytes)
        return fail("head too large");
    line = withoutLineEnd(line);
    // A value may mention a status line, which can only be told from a response's where there was no earlier response.
    if (followsOthers_ && containsStatusLine(line))
        return failOutOfStep("response begins within the head of another one", line);
    if (status_ == 0)
        return startHead(line);
    if (line.empty())
        return finish();
    return addField(line);
}

ResponseHead::State ResponseHead::startHead(std::string_view statusLine)
{
    if (!startsWithStatus(statusLine))
        return failOutOfStep("not an HTTP/1 status line", statusLine);
    const std::string_view reason = statusLine.substr(StatusEnd);
    if (!isFieldValue(reason) || (!reason.empty() && reason.front() != ' '))
        return failOutOfStep("bad reason phrase", statusLine);
    const auto status = parseLength(statusLine.substr(StatusOffset, StatusEnd - StatusOffset));
    if (!status || *status < MinStatus || *status > MaxStatus)
        return fail("bad status");
    status_ = static_cast<int>(*status);
    if (status_ == SwitchingProtocols)
        return fail("protocol switched without a request");
    return state_;
}

ResponseHead::State ResponseHead::addField(std::string_view line)
{
    const bool isContinued = line.front() == ' ' || line.front() == '\t';
    if (isContinued) {
        if (headers_.empty())
            return fail("head begins with a continuation line");
        headers_.back().value += " " + std::string(trimmed(line));
        return state_;
    }
    const size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
        return fail("bad header name");
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!isFieldValue(value))
        return fail("control character in a header");
    headers_.push_back({.name = std::string(line.substr(0, colon)), .value = std::string(value)});
    return state_;
}

bool ResponseHead::hasNoBody() const { return isResponseToHead_ || status_ == NoContent || status_ == NotModified; }

void ResponseHead::readKeptTime(std::string_view keepAlive)
{
    while (!keepAlive.empty()) {
        const size_t end = std::min(keepAlive.find(','), keepAlive.size());
        const std::string_view parameter = keepAlive.substr(0, end);
        keepAlive.remove_prefix(std::min(end + 1, keepAlive.size()));
        const size_t equals = parameter.find('=');
        if (equals == std::string_view::npos || !equalsIgnoringCase(trimmed(parameter.substr(0, equals)), "timeout"))
            continue;
        if (const auto seconds = parseLength(trimmed(parameter.substr(equals + 1)))) {
            const std::chrono::seconds time(std::min<uint64_t>(*seconds, MaxKeptTime.count()));
            keptTime_ = std::min(time, keptTime_.value_or(time));
        }
    }
}

ResponseHead::State ResponseHead::finish()
{
    if (status_ < FirstFinalStatus) {
        status_ = 0;
        headers_.clear();
        return state_;
    }
    bool isChunked = false;
    std::optional<std::string_view> length;
    for (const model::Header& header : headers_) {
        if (equalsIgnoringCase(header.name, "Transfer-Encoding")) {
            if (isChunked || !equalsIgnoringCase(header.value, "chunked"))
                return fail("Transfer-Encoding other than chunked");
            isChunked = true;
        }
        if (equalsIgnoringCase(header.name, "Keep-Alive"))
            readKeptTime(header.value);
        if (!equalsIgnoringCase(header.name, "Content-Length"))
            continue;
        if (length && *length != header.value)
            return fail("two values of Content-Length");
        length = header.value;
    }
    if (isChunked && length)
        return fail("both Content-Length and Transfer-Encoding");
    if (length && !parseLength(*length))
        return fail("bad Content-Length");
    bodyLength_ = 0;
    if (hasNoBody())
        return state_ = State::Complete;
    if (!isChunked && !length)
        return fail("neither Content-Length nor chunked: the end of the body cannot be verified");
    bodyLength_ = isChunked ? std::nullopt : parseLength(*length);
    return state_ = State::Complete;
}

} // namespace saltvane::net
