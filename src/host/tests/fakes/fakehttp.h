/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/hosttypes.h"
#include "host/tests/fakes/virtualtime.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace saltvane::host::fakes {

/// A request of a caller, target or operator to a host's entry address.
struct HttpCall {
    HostId host;
    std::string method = "GET";
    std::string path = "/";
    std::vector<model::Header> headers;
    std::string body;
    std::string remoteAddress = "10.10.0.1";
    Duration oneWayDelay {}; ///< Delay from the caller to the host.
    ZoneName origin; ///< Zone of a target; empty for callers, which are not affected by cuts between zones.
};

/// The response that the caller received.
struct HttpReply {
    int status = 0; ///< 0: no response arrived.
    std::vector<model::Header> headers;
    std::string body;
    bool isComplete = false; ///< False: the connection broke before the end of the response.
    Duration duration {};

    [[nodiscard]] std::string header(std::string_view name) const; ///< Empty where absent.
};

struct FakeHttpOptions {
    VirtualTime* time = nullptr;
    /// Delivers an event to the host; false when the host is down.
    std::function<bool(const HostId&, Event)> deliver;
    std::function<bool(const ZoneName& origin, const HostId&)> isCut;
    Duration timeout = 1s; ///< Until a caller that is cut off from the host gives up.
};

/// HTTP exchanges with hosts in virtual time.
class FakeHttp {
public:
    using Done = std::function<void(const HttpReply&)>;
    using CallId = uint64_t;

    explicit FakeHttp(FakeHttpOptions options);

    CallId send(HttpCall call, Done done);
    /// The caller disconnects and its `done` is not called. False where the call had already completed.
    bool abort(CallId call);
    /// The host's process is down: its exchanges break.
    void onHostDown(const HostId& host);
    [[nodiscard]] size_t openCalls() const { return exchanges_.size(); }

    // Actions of hosts.
    void execute(const HostId& host, requests::HttpRespond action);
    void execute(const HostId& host, requests::HttpResponseBody action);
    void execute(const HostId& host, const requests::HttpAbort& action);
    void execute(const HostId& host, const requests::HttpRequestWindow& action);

private:
    struct Exchange {
        HttpCall call;
        Done done;
        Timestamp started;
        HttpReply reply;
        std::optional<uint64_t> announcedLength;
        uint64_t bodySent = 0;
        uint64_t bodyWindow = requests::InitialBodyWindow;
        bool isEndSent = false;
    };

    void arrive(CallId id);
    void sendBody(CallId id);
    void receive(CallId id, std::string bytes, bool isLast);
    void finish(CallId id, bool isComplete);
    void scheduleBreak(CallId id, Duration delay);
    [[nodiscard]] Exchange* find(CallId id);
    [[nodiscard]] bool isCut(const Exchange& exchange) const;

    FakeHttpOptions options_;
    CallId lastCall_ = 0;
    std::map<CallId, Exchange> exchanges_;
};

} // namespace saltvane::host::fakes
