/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

#include <boost/intrusive/list.hpp>
#include <string>

struct MHD_Connection;

namespace saltvane::net {

class HttpExchange;

/// One connection of a caller.
struct HttpConnection : boost::intrusive::list_base_hook<> {
    /// Where the connection stands between requests; rules its time limit.
    enum class Phase {
        BeforeFirst, ///< No request line yet.
        InHead, ///< Request line in, headers not.
        InExchange,
        BetweenRequests
    };

    MHD_Connection* connection = nullptr;
    int fd = -1;
    std::string remoteIp;
    Phase phase = Phase::BeforeFirst;
    Timestamp phaseSince;
    bool isOverLimit = false; ///< Beyond Limits::connections: its request is refused.
    bool isClientGone = false;
    HttpExchange* exchange = nullptr; ///< Null between requests.
};

using HttpConnections = boost::intrusive::list<HttpConnection>;

} // namespace saltvane::net
