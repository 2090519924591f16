/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/internal/curlloop.h"
#include "net/internal/responsehead.h"
#include "requests/exchangetypes.h"

#include <curl/curl.h>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace saltvane::net {

/// One request to a target and its answer: the callbacks of one libcurl transfer.
class TargetExchange {
public:
    struct Options {
        CurlLoop& curl;
        requests::TargetStart start;
        Duration connectTimeout {};
        int receiveBuffer = 0;
        /// Never calls back into this exchange at once.
        std::function<void(requests::TargetEvent)> emit;
    };
    /// `transfer` is blank; the exchange gives it back by takeTransfer().
    TargetExchange(Options options, CURL* transfer);
    ~TargetExchange();
    TargetExchange(const TargetExchange&) = delete;
    TargetExchange& operator=(const TargetExchange&) = delete;

    /// False: it can't be sent as it is; nothing was sent.
    [[nodiscard]] bool start();
    void addRequestBody(std::string_view bytes, bool isLast);
    void widenWindow(uint64_t bytes);
    /// After an answer that came ahead of the request's end: libcurl sends no more of the body of a request that
    /// was refused, but a paused sender would keep it waiting for ever.
    void releaseSender();
    /// The transfer ended; libcurl has let go of it.
    void end(CURLcode code);
    /// Lets go of the transfer, in whatever state it is.
    [[nodiscard]] CURL* takeTransfer();

private:
    static size_t onHeader(char* data, size_t size, size_t count, void* exchange);
    static size_t onBody(char* data, size_t size, size_t count, void* exchange);
    static size_t onRead(char* buffer, size_t size, size_t count, void* exchange);
    static int onReady(void* exchange, char* remoteIp, char* localIp, int remotePort, int localPort);

    static int onSocketMade(void* exchange, curl_socket_t fd, curlsocktype purpose);

    [[nodiscard]] bool isSendable() const;
    void setOptions();
    [[nodiscard]] bool needsOwnConnection() const;
    void setOwnConnection();
    void setReuseLimit();
    void setMethod();
    void addHeaders();
    void addHeader(const std::string& line);
    [[nodiscard]] bool takeHeadLine(std::string_view line);
    /// The head, now whole, belongs to another request: a surplus answer came in the place of this one's.
    [[nodiscard]] bool isOfAnotherRequest();
    [[nodiscard]] size_t takeBody(std::string_view bytes);
    [[nodiscard]] size_t readBody(char* buffer, size_t room);
    void passOn(std::string_view bytes);
    void emitEnd();
    void fail(std::string message, bool isRefused = false);
    [[nodiscard]] bool isConnectionRefused(CURLcode code) const;
    void applyPauses();

    Options options_;
    CURL* transfer_;
    curl_slist* headerLines_ = nullptr;
    std::string url_;
    ResponseHead head_;
    bool isInTransfer_ = false;
    bool hasReachedConnection_ = false; ///< A connection stood; bytes may have been sent since.
    std::string failure_; ///< Found by a callback; says more than libcurl's code.

    // Request body.
    std::string requestBody_; ///< Not taken by libcurl yet.
    size_t requestTaken_ = 0;
    uint64_t requestGiven_ = 0; ///< Bytes libcurl took, in all.
    bool isRequestWhole_ = false;
    bool isSendPaused_ = false;

    // Answer's body.
    uint64_t window_ = requests::InitialBodyWindow;
    std::string heldBack_; ///< Received beyond the window.
    bool isReceivePaused_ = false;
    bool isAnswerWhole_ = false; ///< Only held-back bytes are missing.
};

} // namespace saltvane::net
