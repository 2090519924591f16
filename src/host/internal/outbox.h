/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/hosttypes.h"
#include "membership/membershiptypes.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace saltvane::host {

/// Queues the core's actions in order; messages of the host to itself are returned as deliveries instead.
class Outbox {
public:
    Outbox(HostId self, Incarnation incarnation);

    void add(Action action);
    void add(requests::Action action);
    void add(std::vector<requests::Action> actions);
    void send(model::OutgoingMessage outgoing);
    void send(std::vector<model::OutgoingMessage> outgoing);
    void log(LogSeverity severity, std::string text);

    [[nodiscard]] std::vector<Action> drainActions();
    /// The next message of the host to itself, in the order sent.
    [[nodiscard]] std::optional<model::Delivery> popOwnDelivery();
    [[nodiscard]] bool hasOwnDelivery() const { return !ownDeliveries_.empty(); }

private:
    HostId self_;
    Incarnation incarnation_;
    std::vector<Action> actions_;
    std::deque<model::Delivery> ownDeliveries_;
};

} // namespace saltvane::host
