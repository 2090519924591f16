/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/disconnectmonitor.h"

#include "base/log.h"

#include <array>
#include <sys/epoll.h>

namespace saltvane::net {

namespace {
constexpr size_t MaxEventsPerPoll = 64;
}

DisconnectMonitor::DisconnectMonitor(struct ev_loop* loop, std::function<void(HttpConnection&)> onDisconnect)
    : onDisconnect_(std::move(onDisconnect))
    , poll_(::epoll_create1(EPOLL_CLOEXEC))
    , watcher_(loop, [this](int) { handleEvents(); })
{
    watcher_.watch(poll_.get(), EV_READ);
}

void DisconnectMonitor::add(HttpConnection& connection)
{
    epoll_event event {};
    event.events = EPOLLRDHUP | EPOLLET;
    event.data.ptr = &connection;
    if (::epoll_ctl(poll_.get(), EPOLL_CTL_ADD, connection.fd, &event) != 0)
        LOG_TAGGED(WARNING, "net") << "event=client_watch_failed remote=" << connection.remoteIp;
}

void DisconnectMonitor::handleEvents()
{
    std::array<epoll_event, MaxEventsPerPoll> events {};
    const int count = ::epoll_wait(poll_.get(), events.data(), static_cast<int>(events.size()), 0);
    for (int i = 0; i < count; ++i) {
        auto& connection = *static_cast<HttpConnection*>(events[static_cast<size_t>(i)].data.ptr);
        connection.isClientDisconnected = true;
        onDisconnect_(connection);
    }
}

} // namespace saltvane::net
