/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "fleet.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace saltvane::fleet::test {

/// Carries HTTP requests that gateways send to other gateways.
class PeerNetwork {
public:
    explicit PeerNetwork(Fleet& fleet);

    /// Handles an action of a gateway; returns false if the action does not concern a request between gateways.
    bool handleAction(size_t gateway, const requests::Action& action);
    void step();
    /// The process of the gateway was killed: its connections are closed.
    void dropGateway(size_t gateway);
    /// Requests between gateways so far.
    [[nodiscard]] size_t sent() const { return sent_; }

private:
    /// A request from one gateway to another.
    struct Exchange {
        size_t from = 0;
        requests::DispatchId dispatch; ///< At the sender.
        size_t to = 0;
    };
    struct PendingEvent {
        Timestamp at;
        size_t gateway = 0;
        host::Event event;
    };

    void start(size_t from, size_t to, const requests::TargetStart& start);
    bool sendBody(size_t from, const requests::TargetRequestBody& body);
    bool cancel(size_t from, requests::DispatchId dispatch);
    bool respond(const requests::HttpRespond& response);
    bool respond(const requests::HttpResponseBody& body);
    bool abort(requests::HttpHandle handle);
    [[nodiscard]] std::optional<requests::HttpHandle> handleOf(size_t from, requests::DispatchId dispatch) const;
    void complete(requests::HttpHandle handle);
    void deliver(size_t gateway, host::Event event);

    Fleet& fleet_;
    std::map<requests::HttpHandle, Exchange> exchanges_; ///< By handle at the receiver.
    std::vector<PendingEvent> pendingEvents_;
    uint64_t lastHandle_;
    size_t sent_ = 0;
};

} // namespace saltvane::fleet::test
