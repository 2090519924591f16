/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/httprouter.h"

#include "host/internal/statusapi.h"

#include <algorithm>
#include <array>
#include <utility>

namespace saltvane::host {

namespace {

constexpr std::string_view ApiPrefix = "/v1/";
constexpr std::string_view HealthPath = "/healthz";
constexpr std::string_view ServiceHeader = "Saltvane-Service";
constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";
constexpr size_t NoBody = 0;
constexpr size_t MaxAnnouncementBytes = 16 * 1024;
constexpr size_t MaxOperatorRequestBytes = 40 * 1024 * 1024;

requests::HttpHandle handleOf(const requests::HttpEvent& event)
{
    return std::visit([](const auto& concrete) { return concrete.handle; }, event);
}

} // namespace

struct HttpRouter::Route {
    std::string_view method;
    std::string_view path;
    bool isPrefix = false;
    size_t maxBodyBytes = NoBody;
    Handler handler = nullptr;

    [[nodiscard]] bool matches(std::string_view requestPath) const
    {
        return isPrefix ? requestPath.starts_with(path) && requestPath.size() > path.size() : requestPath == path;
    }
};

std::span<const HttpRouter::Route> HttpRouter::routes()
{
    static constexpr std::array Routes {
        Route {"GET", "/v1/entry", false, NoBody, &HttpRouter::lookUp},
        Route {"POST", "/v1/announce", false, MaxAnnouncementBytes, &HttpRouter::announce},
        Route {"GET", HealthPath, false, NoBody, &HttpRouter::health},
        Route {"GET", "/v1/status", false, NoBody, &HttpRouter::hostStatus},
        Route {
            "POST", "/v1/control/propose", false, MaxOperatorRequestBytes, &HttpRouter::control<&ControlApi::propose>},
        Route {
            "POST", "/v1/control/approve", false, MaxOperatorRequestBytes, &HttpRouter::control<&ControlApi::approve>},
        Route {"POST", "/v1/control/revert", false, MaxOperatorRequestBytes, &HttpRouter::control<&ControlApi::revert>},
        Route {"GET", "/v1/control/bundles", false, NoBody, &HttpRouter::control<&ControlApi::listBundles>},
        Route {"GET", "/v1/control/bundles/", true, NoBody, &HttpRouter::control<&ControlApi::showBundle>},
        Route {"GET", "/v1/control/replicas", false, NoBody, &HttpRouter::control<&ControlApi::listReplicas>},
    };
    return Routes;
}

const HttpRouter::Route* HttpRouter::findRoute(std::string_view path, std::string_view method)
{
    for (const Route& route : routes()) {
        if (route.matches(path) && route.method == method)
            return &route;
    }
    return nullptr;
}

std::string HttpRouter::allowedMethods(std::string_view path)
{
    for (const Route& route : routes()) {
        if (route.matches(path))
            return std::string(route.method);
    }
    return {};
}

HttpRouter::HttpRouter(
    HostModules& modules, TargetSync& targets, Outbox& outbox, std::function<HostStatus(Timestamp)> status)
    : modules_(modules)
    , outbox_(outbox)
    , status_(std::move(status))
    , lookUpApi_(modules)
    , announceApi_(modules, targets)
    , controlApi_(modules)
{
}

void HttpRouter::handle(requests::HttpEvent event, Timestamp now)
{
    if (auto* started = std::get_if<requests::HttpRequestStarted>(&event)) {
        if (isApiPath(*started))
            start(std::move(*started), now);
        else
            toEntry(std::move(event), now);
        return;
    }
    const auto exchange = exchanges_.find(handleOf(event));
    if (exchange == exchanges_.end()) {
        toEntry(std::move(event), now);
        return;
    }
    if (const auto* body = std::get_if<requests::HttpRequestBody>(&event)) {
        handleBody(*body, exchange->second, now);
        return;
    }
    const bool isOver = std::holds_alternative<requests::HttpRequestAborted>(event)
        || std::holds_alternative<requests::HttpResponseDone>(event);
    if (isOver)
        exchanges_.erase(exchange);
}

bool HttpRouter::isApiPath(const requests::HttpRequestStarted& started) const
{
    const std::string_view path = withoutQuery(started.path);
    if (!allowedMethods(path).empty())
        return true;
    if (!path.starts_with(ApiPrefix))
        return false;
    // A service may use paths below the API's prefix; the caller's service header distinguishes its requests.
    return !ApiRequest {.headers = started.headers}.header(ServiceHeader).has_value();
}

void HttpRouter::start(requests::HttpRequestStarted started, Timestamp now)
{
    const requests::HttpHandle handle = started.handle;
    Exchange& exchange = exchanges_[handle];
    exchange.pathWithQuery = std::move(started.path);
    exchange.request.method = std::move(started.method);
    exchange.request.path = std::string(withoutQuery(exchange.pathWithQuery));
    exchange.request.headers = std::move(started.headers);
    exchange.request.remoteAddress = std::move(started.remoteAddress);
    exchange.route = findRoute(exchange.request.path, exchange.request.method);
    if (exchange.route == nullptr) {
        const std::string allowed = allowedMethods(exchange.request.path);
        ApiResponse error = allowed.empty() ? makeError(404, "unknown-path") : makeError(405, "wrong-method");
        if (!allowed.empty())
            error.headers.push_back({"Allow", allowed});
        modules_.counters.add(model::Counter::BadHttpRequests);
        respond(handle, std::move(error));
        return;
    }
    if (started.bodyLength.value_or(0) > exchange.route->maxBodyBytes) {
        modules_.counters.add(model::Counter::BadHttpRequests);
        respond(handle, makeError(413, "body-too-large", "body"));
        return;
    }
    const bool hasNoBody = started.bodyLength && *started.bodyLength == 0;
    if (hasNoBody)
        run(handle, exchange, now);
}

void HttpRouter::handleBody(const requests::HttpRequestBody& body, Exchange& exchange, Timestamp now)
{
    if (exchange.isAnswered)
        return;
    exchange.receivedBytes += body.bytes.size();
    if (exchange.receivedBytes > exchange.route->maxBodyBytes) {
        modules_.counters.add(model::Counter::BadHttpRequests);
        respond(body.handle, makeError(413, "body-too-large", "body"));
        return;
    }
    exchange.request.body += body.bytes;
    if (!body.isLast) {
        outbox_.add(requests::Action(requests::HttpRequestWindow {body.handle, body.bytes.size()}));
        return;
    }
    run(body.handle, exchange, now);
}

void HttpRouter::toEntry(requests::HttpEvent event, Timestamp now)
{
    if (modules_.entry) {
        modules_.entry->handle(std::move(event), now);
        return;
    }
    if (const auto* started = std::get_if<requests::HttpRequestStarted>(&event))
        refuseNotReady(*started);
}

void HttpRouter::refuseNotReady(const requests::HttpRequestStarted& started)
{
    // A host without a bundle cannot look up the key: an earlier request with it may have run, here or elsewhere.
    const bool hasKey = ApiRequest {.headers = started.headers}.header(IdempotencyKeyHeader).has_value();
    const model::Outcome outcome = hasKey ? model::Outcome::Unknown : model::Outcome::NotRun;
    modules_.counters.add(model::Counter::Requests);
    modules_.counters.add(hasKey ? model::Counter::RequestsUnknown : model::Counter::RequestsNotRun);
    if (hasKey)
        modules_.counters.addUnknown(model::Reason::NotReady);
    else
        modules_.counters.addRefusal(model::Reason::NotReady);
    ApiResponse response
        = makeError(model::httpStatus(outcome, model::Reason::NotReady), model::toString(model::Reason::NotReady));
    response.headers.push_back({"Saltvane-Outcome", std::string(model::toString(outcome))});
    response.headers.push_back({"Saltvane-Reason", std::string(model::toString(model::Reason::NotReady))});
    response.headers.push_back({"Retry-After", "1"});
    exchanges_[started.handle] = {};
    respond(started.handle, std::move(response));
}

void HttpRouter::run(requests::HttpHandle handle, Exchange& exchange, Timestamp now)
{
    std::optional<std::vector<QueryParameter>> query = parseQuery(exchange.pathWithQuery);
    if (!query) {
        respond(handle, makeError(400, "bad-request", "query", "has an invalid percent escape"));
        return;
    }
    exchange.request.query = std::move(*query);
    ApiResult result = (this->*exchange.route->handler)(exchange.request, now);
    if (const auto* pending = std::get_if<ApiPending>(&result)) {
        submissions_[pending->submission] = handle;
        return;
    }
    respond(handle, std::move(std::get<ApiResponse>(result)));
}

void HttpRouter::respond(requests::HttpHandle handle, ApiResponse response)
{
    Exchange& exchange = exchanges_.at(handle);
    exchange.isAnswered = true;
    exchange.request.body.clear();
    std::vector<model::Header> headers = std::move(response.headers);
    headers.push_back({"Content-Type", "application/json"});
    headers.push_back({"Cache-Control", "no-store"});
    requests::HttpRespond action {.handle = handle, .status = response.status, .headers = std::move(headers)};
    action.bodyLength = response.body.size();
    action.bytes = std::move(response.body);
    outbox_.add(requests::Action(std::move(action)));
}

void HttpRouter::answerSubmissions()
{
    if (!modules_.replica)
        return;
    for (const control::SubmissionAnswer& answer : modules_.replica->drainAnswers()) {
        const auto submission = submissions_.find(answer.submission);
        if (submission == submissions_.end())
            continue;
        const requests::HttpHandle handle = submission->second;
        submissions_.erase(submission);
        // The operator may have disconnected meanwhile.
        if (exchanges_.contains(handle))
            respond(handle, controlApi_.answer(answer));
    }
}

ApiResult HttpRouter::lookUp(const ApiRequest& request, Timestamp now) { return lookUpApi_.answer(request, now); }

ApiResult HttpRouter::announce(const ApiRequest& request, Timestamp now) { return announceApi_.answer(request, now); }

ApiResult HttpRouter::health(const ApiRequest&, Timestamp now) { return answerHealth(status_(now)); }

ApiResult HttpRouter::hostStatus(const ApiRequest&, Timestamp now)
{
    return answerStatus(status_(now), modules_.counters);
}

} // namespace saltvane::host
