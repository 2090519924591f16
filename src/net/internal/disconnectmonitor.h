/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/internal/httpconnection.h"
#include "net/internal/iowatcher.h"
#include "net/internal/uniquefd.h"

#include <functional>

namespace saltvane::net {

/// Detects callers that close their connection. libmicrohttpd does not poll suspended connections, so this class has an
/// epoll set of its own, for this event only. A caller that shuts down its sending side is treated as disconnected.
class DisconnectMonitor {
public:
    DisconnectMonitor(struct ev_loop* loop, std::function<void(HttpConnection&)> onDisconnect);

    void add(HttpConnection& connection);

private:
    void handleEvents();

    std::function<void(HttpConnection&)> onDisconnect_;
    UniqueFd poll_;
    IoWatcher watcher_;
};

} // namespace saltvane::net
