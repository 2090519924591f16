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

/// Passes connections on to another address. Those that stand can be made silent for good: their bytes are taken and
/// acknowledged, and go nowhere, while new connections work.
class SilencingRelay {
public:
    explicit SilencingRelay(const model::Address& to)
        : to_(to)
    {
    }

    [[nodiscard]] const model::Address& address() const { return listener_.address(); }
    void silence()
    {
        for (Connection& connection : connections_)
            connection.isSilent = true;
    }
    /// Holds everything up, as a host that stands still does: new connections are taken too, and nothing is lost.
    void hold(bool isHeld) { isHeld_ = isHeld; }
    /// Passes on what came since the last call.
    void pump()
    {
        RawSocket accepted;
        if (listener_.accept(accepted))
            connections_.push_back({.near = std::move(accepted), .far = RawSocket::connectedTo(to_)});
        for (Connection& connection : connections_) {
            if (!isHeld_)
                pump(connection);
        }
    }

private:
    struct Connection {
        RawSocket near;
        RawSocket far;
        bool isSilent = false;
    };
    static void pump(Connection& connection)
    {
        connection.near.pump();
        connection.far.pump();
        const std::string towards = std::exchange(connection.near.received, {});
        const std::string back = std::exchange(connection.far.received, {});
        if (connection.isSilent)
            return;
        connection.far.send(towards);
        connection.near.send(back);
        if (connection.near.peerClosed || connection.near.peerReset)
            connection.far.close();
        if (connection.far.peerClosed || connection.far.peerReset)
            connection.near.close();
    }

    model::Address to_;
    RawListener listener_;
    std::list<Connection> connections_;
    bool isHeld_ = false;
};

} // namespace saltvane::net::tests
