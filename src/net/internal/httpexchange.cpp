/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/httpexchange.h"

#include "base/monotonicclock.h"
#include "requests/headerfilter.h"

#include <algorithm>
#include <cstring>
#include <sys/socket.h>

namespace saltvane::net {

namespace {

constexpr size_t ReadBlockBytes = 64 * 1024; ///< Of a streamed response, passed to libmicrohttpd per call.
constexpr int NoContent = 204;
constexpr int NotModified = 304;

/// Headers that libmicrohttpd sets from the response's length.
bool isFramingHeader(std::string_view name)
{
    return equalsIgnoringCase(name, "Content-Length") || equalsIgnoringCase(name, "Transfer-Encoding");
}

/// libmicrohttpd rejects tabs in values; RFC 9110 allows replacing them with spaces.
void addHeader(MHD_Response* response, const model::Header& header)
{
    if (header.value.find('\t') == std::string::npos) {
        MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
        return;
    }
    std::string value = header.value;
    std::replace(value.begin(), value.end(), '\t', ' ');
    MHD_add_response_header(response, header.name.c_str(), value.c_str());
}

} // namespace

void HttpExchange::suspend()
{
    isSuspended_ = true;
    suspendedAt_ = monotonicNow();
    MHD_suspend_connection(connection_.connection);
}

void HttpExchange::resume()
{
    if (!isSuspended_)
        return;
    isSuspended_ = false;
    rateSince += monotonicNow() - suspendedAt_; // The caller isn't read meanwhile.
    MHD_resume_connection(connection_.connection);
}

void HttpExchange::abort()
{
    isAborted_ = true;
    const linger reset {.l_onoff = 1, .l_linger = 0};
    ::setsockopt(connection_.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    if (isResponseQueued_ && !isSuspended_ && !isInHandler)
        ::shutdown(connection_.fd, SHUT_RDWR);
}

bool HttpExchange::setResponse(requests::HttpRespond response)
{
    if (response_)
        return false;
    bodyTotal_ = response.bytes.size();
    isBodyComplete_ = response.isLast;
    if (response.isLast)
        completeBody_ = std::move(response.bytes);
    else
        unsentBody_.append(response.bytes);
    response_ = std::move(response);
    return true;
}

bool HttpExchange::hasNoBody() const
{
    return head_.method == "HEAD" || response_->status == NoContent || response_->status == NotModified;
}

std::optional<uint64_t> HttpExchange::declaredLength() const
{
    if (head_.method == "HEAD") {
        for (const model::Header& header : response_->headers) {
            if (equalsIgnoringCase(header.name, "Content-Length"))
                return parseLength(header.value);
        }
    }
    return response_->bodyLength;
}

bool HttpExchange::addResponseBody(std::string_view bytes, bool isLast)
{
    bodyTotal_ += bytes.size();
    if (response_->bodyLength && bodyTotal_ > *response_->bodyLength)
        return false;
    isBodyComplete_ = isBodyComplete_ || isLast;
    if (!hasNoBody())
        unsentBody_.append(bytes);
    return true;
}

MHD_Response* HttpExchange::makeResponse()
{
    const auto length = declaredLength();
    if (hasNoBody() && length.value_or(0) == 0)
        return MHD_create_response_from_buffer(0, nullptr, MHD_RESPMEM_PERSISTENT);
    if (!hasNoBody() && response_->isLast && (!length || *length == completeBody_.size()))
        return MHD_create_response_from_buffer(completeBody_.size(), completeBody_.data(), MHD_RESPMEM_PERSISTENT);
    unsentBody_.append(std::exchange(completeBody_, {})); // Its declared length differs.
    if (!length && !head_.isHttp11)
        return nullptr; // An HTTP/1.0 caller cannot tell a truncated body from a complete one.
    const uint64_t size = length.value_or(MHD_SIZE_UNKNOWN);
    const size_t block = std::min<uint64_t>(size, ReadBlockBytes);
    return MHD_create_response_from_callback(size, block, &HttpExchange::readBodyCallback, this, nullptr);
}

void HttpExchange::addHeaders(MHD_Response* response) const
{
    for (const model::Header& header : response_->headers) {
        if (!isFramingHeader(header.name))
            addHeader(response, header);
    }
    if (requests::endsConnection(response_->headers))
        return;
    if (connection_.isServedOverLimit)
        MHD_add_response_header(response, "Connection", "close");
    else if (keptTime > 0s)
        MHD_add_response_header(response, "Keep-Alive", ("timeout=" + std::to_string(keptTime.count())).c_str());
}

bool HttpExchange::queueResponse()
{
    MHD_Response* response = makeResponse();
    if (response == nullptr)
        return false;
    addHeaders(response);
    isResponseQueued_ = true;
    const auto queued
        = MHD_queue_response(connection_.connection, static_cast<unsigned int>(response_->status), response);
    MHD_destroy_response(response);
    return queued == MHD_YES;
}

bool HttpExchange::sendResponseDuringBody()
{
    if (isResponseQueued_ || !hasResponse() || !isBodyComplete_)
        return false;
    isResponseQueued_ = true;
    const std::string_view body = hasNoBody() ? std::string_view() : std::string_view(completeBody_);
    std::string text = "HTTP/1.1 " + std::to_string(response_->status) + " "
        + MHD_get_reason_phrase_for(static_cast<unsigned int>(response_->status)) + "\r\nConnection: close\r\n";
    for (const model::Header& header : response_->headers) {
        if (!isFramingHeader(header.name) && !equalsIgnoringCase(header.name, "Connection"))
            text += header.name + ": " + header.value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(declaredLength().value_or(body.size())) + "\r\n\r\n";
    text += body;
    const ssize_t sent = ::send(connection_.fd, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    ::shutdown(connection_.fd, SHUT_WR);
    return sent == static_cast<ssize_t>(text.size());
}

ssize_t HttpExchange::readBodyCallback(void* exchange, uint64_t /*position*/, char* buffer, size_t capacity)
{
    auto& self = *static_cast<HttpExchange*>(exchange);
    return self.readBody(buffer, capacity);
}

ssize_t HttpExchange::readBody(char* buffer, size_t capacity)
{
    if (isAborted_)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    const std::string_view unsent = unsentBody_.front();
    const size_t count = std::min(capacity, unsent.size());
    if (count == 0 && isBodyComplete_) {
        if (!response_->bodyLength)
            return MHD_CONTENT_READER_END_OF_STREAM;
        abort(); // Shorter than the declared length.
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (count == 0) {
        suspend();
        return 0;
    }
    std::memcpy(buffer, unsent.data(), count);
    unsentBody_.consume(count);
    progress_ += count;
    onProgress();
    return static_cast<ssize_t>(count);
}

} // namespace saltvane::net
