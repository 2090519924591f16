/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "model/counters.h"
#include "model/hostmessages.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace saltvane::net {

/// Closing the socket sends a reset and drops the bytes that were not acknowledged.
void setResetOnClose(int fd);

/// The open connections to targets. libcurl chooses the connection of a transfer; this table knows its socket and what
/// it has carried.
class TargetConnections {
public:
    /// A connection as libcurl names it.
    struct Key {
        model::Address target;
        int localPort = 0;
        auto operator<=>(const Key&) const = default;
    };
    enum class Input {
        None,
        Bytes,
        End ///< The target has closed the connection, perhaps after some bytes, or its 408 says that it does.
    };

    explicit TargetConnections(model::Counters* counters)
        : counters_(counters)
    {
    }

    /// A connection was established on this socket.
    void add(const Key& key, int fd);
    /// What waits to be read on the connection.
    [[nodiscard]] Input pendingInput(const Key& key) const;
    /// Closes the socket. Bytes that its peer has not acknowledged are dropped.
    int close(int fd);
    /// The last response on the connection is complete, or its head is. `keptTime`: for how long the target keeps the
    /// connection after it, if it named a time.
    void recordResponse(const Key& key, std::optional<Duration> keptTime, Timestamp now);
    /// Whether a request that is sent now may meet the close of the connection that its last response announced.
    [[nodiscard]] bool isExpiring(const Key& key, Timestamp now) const;
    /// Counts a request that is about to be sent. Returns how many the connection had carried before.
    uint32_t recordRequest(const Key& key);

private:
    struct Connection {
        int fd = -1;
        uint32_t requests = 0;
        std::optional<Timestamp> usableUntil; ///< No value: the last response named no time.
    };

    model::Counters* counters_;
    std::map<Key, Connection> connections_;
    std::unordered_map<int, Key> keys_; ///< By socket.
};

} // namespace saltvane::net
