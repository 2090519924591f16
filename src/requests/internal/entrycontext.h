/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/ientryrequests.h"
#include "requests/internal/exchangetable.h"
#include "requests/internal/keytable.h"

#include <utility>
#include <vector>

namespace saltvane::requests {

class ResponseRelay;
class CallerWriter;
class Forwarder;
class KeyedRequests;
class Finalizer;

/// Retry-After for callers if no better estimate exists.
inline constexpr Duration DefaultRetryAfter = 1s;

/// State shared by the components of the entry side, and pointers to these components.
struct EntryContext {
    EntryRequestsOptions options;
    model::Counters* counters = nullptr;
    model::DeploymentPtr deployment;
    bool isReady = false;
    bool isStopping = false;
    bool isCreditFreed = false; ///< A credit was returned since the requests waiting for credit were last served.
    HostId controlLeader;
    ExchangeTable table;
    KeyTable keys;
    std::vector<Action> actions;

    ResponseRelay* responses = nullptr;
    CallerWriter* writer = nullptr;
    Forwarder* forwarder = nullptr;
    KeyedRequests* keyed = nullptr;
    Finalizer* finalizer = nullptr;

    template <typename Sent> void send(const HostId& to, Sent message)
    {
        actions.emplace_back(model::OutgoingMessage {.to = to, .message = std::move(message)});
    }
};

} // namespace saltvane::requests
