/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/internal/httpconnection.h"
#include "net/internal/requestframing.h"
#include "net/internal/sendqueue.h"
#include "requests/exchangetypes.h"

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <microhttpd.h>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>

namespace saltvane::net {

/// Hook of the exchanges that wait for the next turn of the event loop.
using PausedHook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// One request of a caller and its response. Uses libmicrohttpd's connection, but not the core's events.
class HttpExchange
    : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
    HttpExchange(requests::HttpHandle handle, HttpConnection& connection, std::string target)
        : handle_(handle)
        , connection_(connection)
    {
        head_.target = std::move(target);
    }

    [[nodiscard]] requests::HttpHandle handle() const { return handle_; }
    [[nodiscard]] HttpConnection& connection() { return connection_; }
    [[nodiscard]] RequestHead& head() { return head_; }

    /// Suspends the connection, so that its handler isn't called again before resume().
    void suspend();
    /// Does nothing if the connection is not suspended.
    void resume();
    [[nodiscard]] bool isSuspended() const { return isSuspended_; }

    /// Closes the connection with a reset as soon as possible, so that the caller does not take a truncated response
    /// for a complete one.
    void abort();
    [[nodiscard]] bool isAborted() const { return isAborted_; }

    /// Stores the response until the handler can queue it. False: the exchange already has a response.
    [[nodiscard]] bool setResponse(requests::HttpRespond response);
    [[nodiscard]] bool hasResponse() const { return response_.has_value(); }
    /// Whether the response can be queued. One that ends with its head waits until it is known to be complete: the
    /// caller could not see that it was aborted.
    [[nodiscard]] bool isResponseReady() const { return hasResponse() && (isBodyComplete_ || !endsWithHead()); }
    [[nodiscard]] bool isResponseQueued() const { return isResponseQueued_; }
    /// Passes the response to libmicrohttpd. False: it was rejected and the connection must be closed.
    [[nodiscard]] bool queueResponse();
    /// Writes the response to the socket while libmicrohttpd still reads the request's body, during which it accepts
    /// none, and ends the sending direction. False: a part of the response was sent already, is missing, or didn't fit
    /// into the socket's buffer.
    [[nodiscard]] bool sendResponseDuringBody();
    /// Appends to a streamed body. False: the body exceeds its declared length.
    [[nodiscard]] bool addResponseBody(std::string_view bytes, bool isLast);
    /// Body bytes of a streamed response that were sent since the last call.
    [[nodiscard]] uint64_t drainProgress() { return std::exchange(progress_, 0); }

    // State of reading the request, managed by HttpServer.
    RequestFraming framing;
    bool isHeadSeen = false;
    bool isStarted = false; ///< HttpRequestStarted was sent to the core.
    bool isLastBodySent = false;
    bool isInHandler = false; ///< A libmicrohttpd callback of this exchange is running.
    bool isEnded = false; ///< The core was notified of its termination, or terminated it.
    uint64_t bodyReceived = 0;
    uint64_t bodyWindow = requests::InitialBodyWindow;
    bool isBodyRead = false; ///< The request was received to its end.
    /// Named to the caller as the time for which the connection is kept after the response. Zero: the connection ends
    /// with the response, or is kept for less than a second.
    std::chrono::seconds keptTime {};
    std::optional<Timestamp> discardingSince; ///< The response is known, and the rest of the body is discarded.
    uint64_t discardedBytes = 0;
    std::optional<Timestamp> lingeringSince; ///< The response was sent during the body.
    Timestamp rateSince; ///< Start of the period in which rateBytes of the body arrived.
    uint64_t rateBytes = 0;
    uint64_t progressBytes
        = 0; ///< Bytes of the body since the connection's place in the list of closable ones changed.
    PausedHook pausedHook; ///< Linked while suspended for the next turn of the event loop.
    std::function<void()> onProgress; ///< Called while libmicrohttpd reads the body.

private:
    [[nodiscard]] MHD_Response* makeResponse();
    [[nodiscard]] std::optional<uint64_t> declaredLength() const;
    [[nodiscard]] bool hasNoBody() const;
    [[nodiscard]] bool endsWithHead() const { return hasNoBody() || response_->bodyLength == 0; }
    void addHeaders(MHD_Response* response) const;
    [[nodiscard]] ssize_t readBody(char* buffer, size_t capacity);
    static ssize_t readBodyCallback(void* exchange, uint64_t position, char* buffer, size_t capacity);

    requests::HttpHandle handle_;
    HttpConnection& connection_;
    RequestHead head_;
    std::optional<requests::HttpRespond> response_;
    bool isResponseQueued_ = false;
    bool isSuspended_ = false;
    Timestamp suspendedAt_;
    bool isAborted_ = false;
    bool isBodyComplete_ = false; ///< The last part of the response body was added.
    std::string completeBody_; ///< Of a response that was complete from the beginning.
    SendQueue unsentBody_; ///< Bytes of a streamed response that libmicrohttpd has not read yet.
    uint64_t bodyTotal_ = 0; ///< Bytes of the response body received from the core so far.
    uint64_t progress_ = 0;
};

using HttpExchanges = boost::intrusive::list<HttpExchange, boost::intrusive::constant_time_size<false>>;
using PausedExchanges = boost::intrusive::list<HttpExchange,
    boost::intrusive::member_hook<HttpExchange, PausedHook, &HttpExchange::pausedHook>,
    boost::intrusive::constant_time_size<false>>;

} // namespace saltvane::net
