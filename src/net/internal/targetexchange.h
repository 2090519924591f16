/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/sharedbytes.h"
#include "net/internal/curlloop.h"
#include "net/internal/requestframing.h"
#include "net/internal/responsehead.h"
#include "net/internal/targetconnections.h"
#include "requests/exchangetypes.h"

#include <curl/curl.h>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace saltvane::net {

/// One request to a target and its response: the callbacks of one libcurl transfer.
class TargetExchange {
public:
    struct Options {
        CurlLoop& curl;
        requests::TargetStart start;
        Duration connectTimeout {};
        int receiveBufferBytes = 0;
        std::function<model::Reason(const requests::TargetStart&)> recheck;
        TargetConnections& connections;
        /// Must not call back into this exchange synchronously.
        std::function<void(requests::TargetEvent)> emit;
    };
    /// `transfer` has no options set; releaseTransfer() returns it.
    TargetExchange(Options options, CURL* transfer);
    ~TargetExchange();
    TargetExchange(const TargetExchange&) = delete;
    TargetExchange& operator=(const TargetExchange&) = delete;

    /// False: the request is invalid and nothing was sent.
    [[nodiscard]] bool start();
    void addRequestBody(SharedBytes bytes, bool isLast);
    void widenWindow(uint64_t bytes);
    /// To be called for a response that arrives before the request is complete: libcurl stops sending the body of a
    /// refused request, but would wait forever if sending is paused.
    void resumeSending();
    /// Called when libcurl has completed and removed the transfer.
    void end(CURLcode code);
    /// Cancels the transfer if it is in progress and returns its reset handle.
    [[nodiscard]] CURL* releaseTransfer();

private:
    static size_t onHeader(char* data, size_t size, size_t count, void* exchange);
    static size_t onBody(char* data, size_t size, size_t count, void* exchange);
    static size_t onRead(char* buffer, size_t size, size_t count, void* exchange);
    static int onReady(void* exchange, char* remoteIp, char* localIp, int remotePort, int localPort);

    static int onSocketMade(void* exchange, curl_socket_t fd, curlsocktype purpose);
    static int onSocketClosing(void* connections, curl_socket_t fd);

    /// libcurl has chosen the connection with this local port. Returns false if no request may be sent on it.
    [[nodiscard]] bool useConnection(int localPort);
    [[nodiscard]] TargetConnections::Key connectionKey() const;
    /// Starts the transfer again, on a new connection. No byte of it was sent.
    void reconnect();
    [[nodiscard]] bool isSendable() const;
    void setOptions();
    [[nodiscard]] bool needsExclusiveConnection() const;
    void setExclusiveConnection();
    void setMaxReuseIdleTime();
    void setMethod();
    void addHeaders();
    void addHeader(const std::string& line);
    /// Updates the header that tells the target the time left.
    void updateDeadlineLine();
    [[nodiscard]] bool handleHeadLine(std::string_view line);
    /// Tells the connections for how long this one may be used after the response.
    void recordResponse();
    [[nodiscard]] bool handleTrailerLine(std::string_view line);
    /// The request's id, which its target echoes; empty if it has none.
    [[nodiscard]] std::string_view requestId() const;
    /// Whether the response can be told from those to other requests by its id. Callers choose the id: one that is no
    /// token could read like a part of a head.
    [[nodiscard]] bool isNamed() const { return isToken(requestId()); }
    /// Whether the complete head is that of the response to this request. A response without an id is only on a
    /// connection that has carried no other request.
    [[nodiscard]] bool isOwnResponse();
    /// Whether the complete head is that of a 408 without an id: the target has closed a kept connection while the
    /// request was on its way. Whether it has read the request is not known.
    [[nodiscard]] bool isIdleTimeout();
    [[nodiscard]] size_t receiveBody(std::string_view bytes);
    [[nodiscard]] size_t readBody(char* buffer, size_t capacity);
    /// Returns the number of bytes of the request body that were copied into the buffer.
    [[nodiscard]] size_t takeRequestBody(char* buffer, size_t capacity);
    void emitBody(std::string_view bytes);
    void emitDone();
    void fail(std::string message, bool isRefused = false);
    [[nodiscard]] bool isConnectionRefused(CURLcode code) const;
    void applyPauses();

    Options options_;
    CURL* transfer_;
    curl_slist* headerLines_ = nullptr;
    curl_slist* deadlineLine_ = nullptr; ///< The one of the headerLines_ that tells the time left.
    std::string url_;
    ResponseHead head_;
    bool isInTransfer_ = false;
    std::optional<int> newSocket_; ///< Of the connection that was established for this request, if one was.
    requests::ConnectionUse connection_;
    bool mustReconnect_ = false; ///< The kept connection that libcurl chose can't be used.
    bool hasSurplus_ = false; ///< The target sent bytes on a connection on which no request waited for them.
    bool hasConnected_ = false; ///< A connection was established, so bytes may have been sent.
    model::Reason withheldFor_ = model::Reason::None; ///< Why the request was not sent once connected.
    std::string failure_; ///< Set by a callback; more specific than libcurl's code.

    // Request body.
    std::deque<SharedBytes> requestBody_; ///< Parts of the request body that were not passed to libcurl yet.
    uint64_t requestBytes_ = 0; ///< Bytes of requestBody_.
    size_t requestBlock_ = 0; ///< Index of the present block of the first part.
    size_t requestOffset_ = 0; ///< Bytes of that block that were passed to libcurl.
    uint64_t requestSent_ = 0; ///< Bytes passed to libcurl so far.
    bool isRequestComplete_ = false;
    bool isSendPaused_ = false;

    // Response body.
    uint64_t window_ = requests::InitialBodyWindow;
    size_t trailerBytes_ = 0;
    std::string buffered_; ///< Bytes received beyond the window.
    bool isReceivePaused_ = false;
    bool isResponseComplete_ = false; ///< The response was received; buffered_ is not delivered yet.
};

} // namespace saltvane::net
