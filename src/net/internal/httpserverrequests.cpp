/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/httpserver.h"

#include "base/monotonicclock.h"
#include "requests/headerfilter.h"

#include <algorithm>
#include <cstring>

/// Reading of requests in HttpServer: the callbacks of libmicrohttpd for one exchange, in order.
namespace saltvane::net {

namespace {

constexpr size_t TypicalHeaderCount = 16; ///< Reserved for each request.
/// Discarded after a response that was sent during the body.
constexpr uint64_t MaxLingerBytes = 4 * 1024 * 1024;
constexpr std::chrono::seconds OverLimitRetryAfter {1}; ///< Connections that stand still make room within it.
constexpr std::string_view MetricsPath = "/metrics";
constexpr const char* MetricsType = "text/plain; version=0.0.4; charset=utf-8";

MHD_Result collectHeader(void* headers, MHD_ValueKind /*kind*/, const char* name, const char* value)
{
    static_cast<std::vector<model::Header>*>(headers)->push_back(
        {.name = name, .value = value == nullptr ? "" : value});
    return MHD_YES;
}

HttpConnection* connectionOf(MHD_Connection* connection)
{
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info == nullptr ? nullptr : static_cast<HttpConnection*>(info->socket_context);
}

size_t headSizeOf(MHD_Connection* connection)
{
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    return info == nullptr ? 0 : info->header_size;
}

bool isMetricsRequest(const RequestHead& head)
{
    const std::string_view path = pathOf(head.target);
    return head.method == "GET" && path.substr(0, path.find('?')) == MetricsPath;
}

} // namespace

void* HttpServer::onUri(void* server, const char* uri, MHD_Connection* connection)
{
    auto& self = *static_cast<HttpServer*>(server);
    HttpConnection* owner = connectionOf(connection);
    const requests::HttpHandle handle {++self.lastHandle_};
    auto exchange = std::make_unique<HttpExchange>(handle, *owner, uri);
    owner->exchange = exchange.get();
    if (owner->phase == HttpConnection::Phase::BetweenRequests)
        owner->phaseSince = monotonicNow();
    owner->phase = HttpConnection::Phase::InHead;
    self.recordProgress(*owner);
    return self.exchanges_.emplace(handle, std::move(exchange)).first->second.get();
}

MHD_Result HttpServer::onAccess(void* server, MHD_Connection* /*connection*/, const char* /*url*/, const char* method,
    const char* version, const char* data, size_t* size, void** context)
{
    auto& self = *static_cast<HttpServer*>(server);
    auto& exchange = *static_cast<HttpExchange*>(*context);
    if (!exchange.isHeadSeen)
        self.readHead(exchange, method, version);
    exchange.isInHandler = true;
    MHD_Result result = self.handleAccess(exchange, data, size);
    exchange.isInHandler = false;
    if (exchange.isSuspended() && exchange.connection().isClientDisconnected)
        self.onClientDisconnected(exchange.connection());
    return exchange.isAborted() && !exchange.isResponseQueued() ? MHD_NO : result;
}

void HttpServer::readHead(HttpExchange& exchange, const char* method, const char* version) const
{
    RequestHead& head = exchange.head();
    head.method = method;
    head.isHttp11 = std::strcmp(version, MHD_HTTP_VERSION_1_0) != 0;
    head.headers.reserve(TypicalHeaderCount);
    MHD_get_connection_values(exchange.connection().connection, MHD_HEADER_KIND, &collectHeader, &head.headers);
    // Idle connections are closed only headerTimeout after this time, by when a request that the caller sent within it
    // has arrived.
    if (head.isHttp11 && !requests::endsConnection(head.headers))
        exchange.keptTime = std::chrono::floor<std::chrono::seconds>(options_.limits.idleTimeout);
    exchange.connection().phase = HttpConnection::Phase::InExchange;
    exchange.connection().closableHook.unlink();
}

MHD_Result HttpServer::handleAccess(HttpExchange& exchange, const char* data, size_t* size)
{
    if (exchange.isAborted())
        return MHD_NO;
    if (!exchange.isHeadSeen)
        return handleHead(exchange);
    if (*size > 0 && exchange.isSuspended())
        return MHD_YES; // The next chunk of the same read.
    if (*size > 0)
        return handleBody(exchange, data, size);
    return handleEnd(exchange);
}

MHD_Result HttpServer::handleHead(HttpExchange& exchange)
{
    exchange.isHeadSeen = true;
    if (exchange.connection().isClosing)
        return discardLateRequest(exchange);
    if (exchange.connection().isOverLimit && !admitOverLimit(exchange.connection()))
        return refuse(
            exchange, {.status = 503, .reason = model::Reason::TooManyConnections, .message = "too many connections"});
    const auto framing = readHeadFraming(exchange);
    if (!framing)
        return refuse(exchange, framing.error());
    exchange.framing = framing.value();
    const bool hasBody = exchange.framing.bodyLength != 0;
    if (!hasBody)
        return MHD_YES; // libmicrohttpd closes the connection of a POST whose response is queued here.
    exchange.rateSince = monotonicNow();
    recordProgress(exchange.connection());
    emitStarted(exchange);
    // A caller that waits for "100 Continue" is refused before it sends its body. Any other caller sends the body
    // anyway: it is read to its end, because closing early would reset the connection and could lose the response.
    const bool isRefusedEarly = exchange.framing.expectsContinue && exchange.isResponseReady();
    if (!isRefusedEarly || exchange.isAborted())
        return MHD_YES;
    exchange.keptTime = {}; // libmicrohttpd closes the connection.
    return exchange.queueResponse() ? MHD_YES : MHD_NO;
}

Result<RequestFraming, EdgeRefusal> HttpServer::readHeadFraming(HttpExchange& exchange) const
{
    const auto framing = readFraming(exchange.head());
    if (!framing)
        return framing;
    if (headSizeOf(exchange.connection().connection) > options_.limits.requestHeaderBytes)
        return EdgeRefusal {.status = 431, .reason = model::Reason::HeadersTooLarge, .message = "headers too large"};
    if (framing.value().bodyLength.value_or(0) > options_.limits.requestBodyBytes)
        return EdgeRefusal {.status = 413, .reason = model::Reason::BodyTooLarge, .message = "body too large"};
    return framing;
}

MHD_Result HttpServer::refuse(HttpExchange& exchange, const EdgeRefusal& refusal)
{
    if (refusal.reason != model::Reason::TooManyConnections)
        options_.counters->add(model::Counter::BadHttpRequests);
    exchange.isEnded = true; // The core is not notified of this request.
    const std::string text = refusal.message + "\n";
    std::vector<model::Header> headers {{.name = "Connection", .value = "close"},
        {.name = "Content-Type", .value = "text/plain; charset=utf-8"},
        {.name = "Saltvane-Outcome", .value = std::string(toString(model::Outcome::NotRun))},
        {.name = "Saltvane-Reason", .value = std::string(toString(refusal.reason))}};
    if (refusal.reason == model::Reason::TooManyConnections)
        headers.push_back({.name = "Retry-After", .value = std::to_string(OverLimitRetryAfter.count())});
    const bool isNew = exchange.setResponse({.handle = exchange.handle(),
        .status = refusal.status,
        .headers = std::move(headers),
        .bodyLength = text.size(),
        .bytes = text});
    if (!isNew)
        return MHD_NO;
    // A caller that sends its body anyway would lose a response that libmicrohttpd sends before it closes.
    const bool isBodyComing
        = refusal.reason == model::Reason::BodyTooLarge && (exchange.isStarted || !exchange.framing.expectsContinue);
    if (!isBodyComing)
        return exchange.queueResponse() ? MHD_YES : MHD_NO;
    linger(exchange);
    return MHD_YES;
}

bool HttpServer::respondAtEdge(HttpExchange& exchange) const
{
    if (!options_.isMetricsServed || !options_.metricsText || !isMetricsRequest(exchange.head()))
        return false;
    std::string text = options_.metricsText();
    const uint64_t length = text.size();
    exchange.isEnded = true;
    exchange.discardingSince = monotonicNow();
    return exchange.setResponse({.handle = exchange.handle(),
        .headers = {{.name = "Content-Type", .value = MetricsType}},
        .bodyLength = length,
        .bytes = std::move(text)});
}

void HttpServer::emitStarted(HttpExchange& exchange)
{
    if (respondAtEdge(exchange))
        return;
    exchange.isStarted = true;
    exchange.onProgress = [this, &exchange] {
        if (!exchange.is_linked())
            progressing_.push_back(exchange);
    };
    options_.sink(requests::HttpRequestStarted {.handle = exchange.handle(),
        .method = exchange.head().method,
        .path = std::string(pathOf(exchange.head().target)),
        .headers = std::move(exchange.head().headers),
        .bodyLength = exchange.framing.bodyLength,
        .remoteAddress = exchange.connection().remoteIp});
}

MHD_Result HttpServer::handleBody(HttpExchange& exchange, const char* data, size_t* size)
{
    recordBodyProgress(exchange, *size);
    if (exchange.hasResponse() || exchange.isEnded)
        return discardBody(exchange, size);
    if (exchange.bodyReceived + *size > options_.limits.requestBodyBytes)
        return refuseOversizedBody(exchange, size);
    const size_t passed = passBody(exchange, {data, *size});
    recordCost(exchange.connection(), passed);
    *size -= passed;
    if (*size > 0 && (exchange.hasResponse() || exchange.isEnded))
        return discardBody(exchange, size);
    if (*size == 0) {
        pauseIfShareIsUsed(exchange);
        return MHD_YES;
    }
    exchange.suspend(); // Until the core opens the window.
    exchange.connection().closableHook.unlink();
    return MHD_YES;
}

size_t HttpServer::passBody(HttpExchange& exchange, std::string_view bytes)
{
    size_t passed = 0;
    while (passed < bytes.size() && exchange.bodyWindow > 0 && !exchange.hasResponse() && !exchange.isEnded) {
        const std::string_view part = bytes.substr(passed, exchange.bodyWindow);
        passed += part.size();
        exchange.bodyReceived += part.size();
        exchange.bodyWindow -= part.size();
        exchange.rateBytes += part.size();
        exchange.isLastBodySent = exchange.framing.bodyLength == exchange.bodyReceived;
        if (exchange.isLastBodySent || !options_.isBodyTakenWhole)
            exchange.connection().closableHook.unlink(); // The request may run from now on.
        options_.sink(requests::HttpRequestBody {
            .handle = exchange.handle(), .bytes = std::string(part), .isLast = exchange.isLastBodySent});
    }
    return passed;
}

MHD_Result HttpServer::discardBody(HttpExchange& exchange, size_t* size)
{
    exchange.discardedBytes += *size;
    recordCost(exchange.connection(), *size);
    *size = 0;
    if (exchange.lingeringSince && exchange.discardedBytes > MaxLingerBytes)
        return MHD_NO;
    if (!exchange.lingeringSince && exchange.discardedBytes > options_.paceLimits.discardedBytes)
        linger(exchange);
    if (exchange.isAborted())
        return MHD_NO;
    pauseIfShareIsUsed(exchange);
    return MHD_YES;
}

MHD_Result HttpServer::refuseOversizedBody(HttpExchange& exchange, size_t* size)
{
    reportAborted(exchange);
    if (refuse(exchange, {.status = 413, .reason = model::Reason::BodyTooLarge, .message = "body too large"}) == MHD_NO)
        return MHD_NO;
    return discardBody(exchange, size);
}

MHD_Result HttpServer::handleEnd(HttpExchange& exchange)
{
    exchange.isBodyRead = true;
    exchange.connection().closableHook.unlink(); // The request may run from now on.
    if (exchange.lingeringSince)
        return MHD_NO; // The response has been sent.
    if (!exchange.isStarted && !exchange.isEnded)
        emitStarted(exchange);
    const bool hasBody = exchange.framing.bodyLength != 0;
    if (hasBody && !exchange.isLastBodySent && !exchange.isEnded && !exchange.hasResponse()) {
        exchange.isLastBodySent = true;
        options_.sink(requests::HttpRequestBody {.handle = exchange.handle(), .isLast = true});
    }
    if (exchange.isAborted())
        return MHD_NO;
    if (exchange.isResponseReady()) {
        const bool isQueued = exchange.queueResponse();
        if (!isQueued) {
            recordClose(exchange.connection(), model::CloseReason::Aborted);
            reportAborted(exchange);
        }
        return isQueued ? MHD_YES : MHD_NO;
    }
    exchange.suspend();
    return MHD_YES;
}

void HttpServer::onCompleted(
    void* server, MHD_Connection* /*connection*/, void** context, MHD_RequestTerminationCode code)
{
    auto& self = *static_cast<HttpServer*>(server);
    if (*context != nullptr)
        self.complete(*static_cast<HttpExchange*>(*context), code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    *context = nullptr;
}

void HttpServer::complete(HttpExchange& exchange, bool isCompleted)
{
    HttpConnection& connection = exchange.connection();
    connection.exchange = nullptr;
    connection.phase = HttpConnection::Phase::BetweenRequests;
    connection.phaseSince = monotonicNow();
    connection.keptTime = exchange.keptTime;
    recordProgress(connection);
    if (!exchange.isHeadSeen && !isStopping_)
        options_.counters->add(model::Counter::BadHttpRequests);
    // Keeps the exchange alive until the function returns.
    const auto extracted = exchanges_.extract(exchange.handle());
    const bool isReported = exchange.isStarted && !exchange.isEnded && !isStopping_;
    if (!isReported)
        return;
    if (!isCompleted || exchange.isAborted()) {
        options_.sink(requests::HttpRequestAborted {.handle = exchange.handle()});
        return;
    }
    if (const uint64_t bytes = exchange.drainProgress(); bytes > 0)
        options_.sink(requests::HttpResponseProgress {.handle = exchange.handle(), .bytes = bytes});
    options_.sink(requests::HttpResponseDone {.handle = exchange.handle()});
}

} // namespace saltvane::net
