/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/internal/announceapi.h"
#include "host/internal/apitypes.h"
#include "host/internal/controlapi.h"
#include "host/internal/hostmodules.h"
#include "host/internal/lookupapi.h"
#include "host/internal/outbox.h"
#include "host/internal/targetsync.h"

#include <functional>
#include <map>
#include <span>
#include <string_view>
#include <vector>

namespace saltvane::host {

/// Routes callers' requests to the entry side and answers those to the host's own HTTP API.
class HttpRouter {
public:
    /// All references must outlive the object; `status` returns the host's status at the given time.
    HttpRouter(HostModules& modules, TargetSync& targets, Outbox& outbox, std::function<HostStatus(Timestamp)> status);
    void handle(requests::HttpEvent event, Timestamp now);
    /// Responds to operators' requests that the control replica has completed.
    void answerSubmissions();

private:
    struct Route;
    using Handler = ApiResult (HttpRouter::*)(const ApiRequest&, Timestamp);
    /// One exchange with the API, until its response is sent.
    struct Exchange {
        ApiRequest request;
        std::string pathWithQuery;
        const Route* route = nullptr;
        uint64_t receivedBytes = 0;
        bool isAnswered = false;
    };

    [[nodiscard]] static std::span<const Route> routes();
    /// The route of a request; null where no route has this path and method.
    [[nodiscard]] static const Route* findRoute(std::string_view path, std::string_view method);
    [[nodiscard]] static std::string allowedMethods(std::string_view path);

    void start(requests::HttpRequestStarted started, Timestamp now);
    void handleBody(const requests::HttpRequestBody& body, Exchange& exchange, Timestamp now);
    void toEntry(requests::HttpEvent event, Timestamp now);
    void refuseNotReady(const requests::HttpRequestStarted& started);
    void run(requests::HttpHandle handle, Exchange& exchange, Timestamp now);
    void respond(requests::HttpHandle handle, ApiResponse response);
    [[nodiscard]] bool isApiPath(const requests::HttpRequestStarted& started) const;

    [[nodiscard]] ApiResult lookUp(const ApiRequest& request, Timestamp now);
    [[nodiscard]] ApiResult announce(const ApiRequest& request, Timestamp now);
    [[nodiscard]] ApiResult health(const ApiRequest& request, Timestamp now);
    [[nodiscard]] ApiResult hostStatus(const ApiRequest& request, Timestamp now);
    template <ApiResult (ControlApi::*Method)(const ApiRequest&, Timestamp)>
    [[nodiscard]] ApiResult control(const ApiRequest& request, Timestamp now)
    {
        return (controlApi_.*Method)(request, now);
    }

    HostModules& modules_;
    Outbox& outbox_;
    std::function<HostStatus(Timestamp)> status_;
    LookUpApi lookUpApi_;
    AnnounceApi announceApi_;
    ControlApi controlApi_;
    std::map<requests::HttpHandle, Exchange> exchanges_;
    std::map<control::SubmissionId, requests::HttpHandle> submissions_;
};

} // namespace saltvane::host
