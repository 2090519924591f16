/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/internal/iowatcher.h"
#include "net/internal/looptask.h"
#include "net/internal/timerwatcher.h"

#include <curl/curl.h>
#include <functional>
#include <memory>
#include <unordered_map>

namespace saltvane::net {

/// Drives a libcurl multi handle from the event loop.
class CurlLoop {
public:
    /// `onTransferDone` is never called from within libcurl's callbacks; it may add and remove transfers.
    CurlLoop(struct ev_loop* loop, std::function<void(CURL*, CURLcode)> onTransferDone);
    ~CurlLoop();
    CurlLoop(const CurlLoop&) = delete;
    CurlLoop& operator=(const CurlLoop&) = delete;

    /// The transfer starts later in the current loop iteration.
    [[nodiscard]] bool add(CURL* transfer);
    /// Cancels a transfer; closes its connection if the transfer was not complete.
    void remove(CURL* transfer);

private:
    static int onSocket(CURL* transfer, curl_socket_t fd, int interest, void* loop, void* context);
    static int onTimer(CURLM* multi, long milliseconds, void* loop);
    void watch(curl_socket_t fd, int interest);
    void processSocket(curl_socket_t fd, int events);
    void processCompletions();

    struct ev_loop* loop_;
    std::function<void(CURL*, CURLcode)> onTransferDone_;
    CURLM* multi_;
    std::unordered_map<curl_socket_t, std::unique_ptr<IoWatcher>> watchers_;
    TimerWatcher timer_;
    LoopTask timeoutTask_;
};

} // namespace saltvane::net
