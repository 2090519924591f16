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

/// Hook of the connections that may be closed for new ones, and of those that are closed and still read.
using ClosableHook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// One connection of a caller.
struct HttpConnection : boost::intrusive::list_base_hook<> {
    /// Selects the connection's time limit.
    enum class Phase {
        BeforeFirst, ///< No request line yet.
        InHead, ///< The request line was received, the headers were not.
        InExchange,
        BetweenRequests
    };

    [[nodiscard]] bool isInExchange() const { return phase == Phase::InExchange && exchange != nullptr; }

    MHD_Connection* connection = nullptr;
    int fd = -1;
    std::string remoteIp;
    Phase phase = Phase::BeforeFirst;
    Timestamp phaseSince;
    std::chrono::seconds keptTime {}; ///< As the last response named it; plans may have changed since.
    Timestamp lastProgress; ///< When bytes last arrived, or were last acknowledged while a response is sent.
    Timestamp closableSince; ///< Of the progress by which it has its place in closableHook's list.
    uint64_t acknowledgedBytes = 0; ///< By the caller's host, as of lastProgress.
    uint64_t turn = 0; ///< Iteration of the event loop to which turnCost belongs.
    uint64_t turnCost = 0;
    bool isOverLimit = false; ///< Exceeds Limits::connections, so its request may be refused.
    bool isServedOverLimit = false; ///< Exceeds it and has a request that is not refused.
    bool isClientDisconnected = false;
    bool isClosing = false; ///< The server has ended it; requests that still arrive are not run.
    Timestamp closingSince;
    HttpExchange* exchange = nullptr; ///< Null between requests.
    ClosableHook closableHook;
    ClosableHook lingerHook;
};

using HttpConnections = boost::intrusive::list<HttpConnection>;
/// In order of last progress.
using ClosableConnections = boost::intrusive::list<HttpConnection,
    boost::intrusive::member_hook<HttpConnection, ClosableHook, &HttpConnection::closableHook>,
    boost::intrusive::constant_time_size<false>>;
/// In order of their closes.
using LingeringConnections = boost::intrusive::list<HttpConnection,
    boost::intrusive::member_hook<HttpConnection, ClosableHook, &HttpConnection::lingerHook>,
    boost::intrusive::constant_time_size<false>>;

} // namespace saltvane::net
