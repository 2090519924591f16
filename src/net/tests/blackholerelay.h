/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/tests/rawsocket.h"

#include <list>
#include <utility>

namespace saltvane::net::tests {

/// Relays connections to another address. Open connections can be turned into black holes: their bytes are acknowledged
/// and discarded for good, while new connections work.
class BlackholeRelay {
public:
    explicit BlackholeRelay(const model::Address& to)
        : to_(to)
    {
    }

    [[nodiscard]] const model::Address& address() const { return listener_.address(); }
    void blackhole()
    {
        for (Connection& connection : connections_)
            connection.isBlackholed = true;
    }
    /// Pauses relaying, as a stalled host does: new connections are still accepted and nothing is lost.
    void setPaused(bool isPaused) { isPaused_ = isPaused; }
    /// Relays the bytes received since the last call.
    void pump()
    {
        RawSocket accepted;
        if (listener_.accept(accepted))
            connections_.push_back({.client = std::move(accepted), .server = RawSocket::connectedTo(to_)});
        for (Connection& connection : connections_) {
            if (!isPaused_)
                pump(connection);
        }
    }

private:
    struct Connection {
        RawSocket client;
        RawSocket server;
        bool isBlackholed = false;
    };
    static void pump(Connection& connection)
    {
        connection.client.pump();
        connection.server.pump();
        const std::string toServer = std::exchange(connection.client.received, {});
        const std::string toClient = std::exchange(connection.server.received, {});
        if (connection.isBlackholed)
            return;
        connection.server.send(toServer);
        connection.client.send(toClient);
        if (connection.client.peerClosed || connection.client.peerReset)
            connection.server.close();
        if (connection.server.peerClosed || connection.server.peerReset)
            connection.client.close();
    }

    model::Address to_;
    RawListener listener_;
    std::list<Connection> connections_;
    bool isPaused_ = false;
};

} // namespace saltvane::net::tests
