/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/curlloop.h"

#include <chrono>

namespace saltvane::net {

namespace {
constexpr long MaxIdleConnections = 4096; ///< Over all targets.
}

CurlLoop::CurlLoop(struct ev_loop* loop, std::function<void(CURL*, CURLcode)> onTransferDone)
    : loop_(loop)
    , onTransferDone_(std::move(onTransferDone))
    , multi_(curl_multi_init())
    , timer_(loop, [this] { processSocket(CURL_SOCKET_TIMEOUT, 0); })
    , timeoutTask_(loop, TaskOrder::AfterIo, [this] { processSocket(CURL_SOCKET_TIMEOUT, 0); })
{
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &CurlLoop::onSocket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &CurlLoop::onTimer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
}

CurlLoop::~CurlLoop() { curl_multi_cleanup(multi_); }

bool CurlLoop::add(CURL* transfer) { return curl_multi_add_handle(multi_, transfer) == CURLM_OK; }

void CurlLoop::remove(CURL* transfer) { curl_multi_remove_handle(multi_, transfer); }

int CurlLoop::onSocket(CURL* /*transfer*/, curl_socket_t fd, int interest, void* loop, void* /*context*/)
{
    static_cast<CurlLoop*>(loop)->watch(fd, interest);
    return 0;
}

int CurlLoop::onTimer(CURLM* /*multi*/, long milliseconds, void* loop)
{
    auto& self = *static_cast<CurlLoop*>(loop);
    self.timer_.stop();
    if (milliseconds == 0)
        self.timeoutTask_.schedule();
    else if (milliseconds > 0)
        self.timer_.startOnce(std::chrono::milliseconds(milliseconds));
    return 0;
}

void CurlLoop::watch(curl_socket_t fd, int interest)
{
    if (interest == CURL_POLL_REMOVE) {
        const auto found = watchers_.find(fd);
        if (found != watchers_.end())
            found->second->stop();
        return;
    }
    auto& watcher = watchers_[fd];
    if (!watcher)
        watcher = std::make_unique<IoWatcher>(loop_, [this, fd](int events) { processSocket(fd, events); });
    const int reading = (interest & CURL_POLL_IN) != 0 ? EV_READ : 0;
    const int writing = (interest & CURL_POLL_OUT) != 0 ? EV_WRITE : 0;
    watcher->watch(fd, reading | writing);
}

void CurlLoop::processSocket(curl_socket_t fd, int events)
{
    const int reading = (events & EV_READ) != 0 ? CURL_CSELECT_IN : 0;
    const int writing = (events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0;
    int running = 0;
    curl_multi_socket_action(multi_, fd, reading | writing, &running);
    processCompletions();
}

void CurlLoop::processCompletions()
{
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        CURL* transfer = message->easy_handle;
        const CURLcode code = message->data.result;
        curl_multi_remove_handle(multi_, transfer);
        onTransferDone_(transfer, code);
    }
}

} // namespace saltvane::net
