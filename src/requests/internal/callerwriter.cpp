/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/callerwriter.h"

#include "requests/headerfilter.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace saltvane::requests {
namespace {

const Completion AnsweredCompletion {.outcome = model::Outcome::Answered};

void addHeader(std::vector<model::Header>& headers, std::string_view name, std::string value)
{
    headers.push_back({.name = std::string(name), .value = std::move(value)});
}

/// True if the request itself is invalid, so that repeating it unchanged can't succeed.
bool isCallerError(model::Reason reason)
{
    switch (reason) {
    case model::Reason::BadRequest:
    case model::Reason::MissingKey:
    case model::Reason::KeyConflict:
    case model::Reason::UnknownService:
        return true;
    default:
        return false;
    }
}

/// Whole seconds, rounded up, at least 1 (RFC 9110, 10.2.3).
std::string retryAfterText(Duration retryAfter)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
    return std::to_string(std::max<int64_t>(seconds, 1));
}

std::string refusalBody(const Exchange& exchange, const Completion& completion)
{
    nlohmann::json body {
        {"outcome", toString(completion.outcome)},
        {"reason", toString(completion.reason)},
        {"request", exchange.request.value()},
    };
    if (!completion.field.empty())
        body["field"] = completion.field;
    return body.dump() + "\n";
}

std::vector<model::Header> refusalHeaders(const Exchange& exchange, const Completion& completion)
{
    std::vector<model::Header> headers;
    addHeader(headers, "Content-Type", "application/json");
    addHeader(headers, OutcomeHeader, std::string(toString(completion.outcome)));
    addHeader(headers, ReasonHeader, std::string(toString(completion.reason)));
    addHeader(headers, RequestIdHeader, exchange.request.value());
    const bool isRefusal = completion.outcome == model::Outcome::NotRun && !isCallerError(completion.reason);
    if (isRefusal || completion.retryAfter > Duration::zero())
        addHeader(headers, RetryAfterHeader, retryAfterText(completion.retryAfter));
    return headers;
}

std::vector<model::Header> callerHeaders(const Exchange& exchange, std::vector<model::Header> headers)
{
    addHeader(headers, OutcomeHeader, std::string(toString(model::Outcome::Answered)));
    addHeader(headers, RequestIdHeader, exchange.request.value());
    return headers;
}

/// The caller's HTTP exchange while its response is incomplete; null for other callers.
const HttpOrigin* incompleteHttpOrigin(const Exchange& exchange)
{
    return exchange.isResponseDelivered ? nullptr : std::get_if<HttpOrigin>(&exchange.origin);
}

bool isBodyless(const Exchange& exchange, const ResponseHead& head)
{
    return exchange.method == "HEAD" || head.status == 204 || head.status == 304;
}

} // namespace

void CallerWriter::writeRefusal(Exchange& exchange, const Completion& completion)
{
    exchange.status = httpStatus(completion.outcome, completion.reason);
    if (const auto* forwarded = std::get_if<ForwardedOrigin>(&exchange.origin))
        return sendEnd(exchange, *forwarded, completion);
    const auto* http = std::get_if<HttpOrigin>(&exchange.origin);
    if (!http)
        return;
    std::string body = exchange.method == "HEAD" ? std::string() : refusalBody(exchange, completion);
    const uint64_t length = body.size();
    context_.actions.emplace_back(HttpRespond {.handle = http->handle,
        .status = exchange.status,
        .headers = refusalHeaders(exchange, completion),
        .bodyLength = length,
        .bytes = std::move(body),
        .isLast = true});
}

void CallerWriter::writeComplete(Exchange& exchange, const ResponseHead& head, std::string body, bool isReplayed)
{
    exchange.status = head.status;
    ResponseHead sent = head;
    if (isReplayed)
        addHeader(sent.headers, ReplayedHeader, "true");
    if (!isBodyless(exchange, head))
        sent.bodyLength = body.size();
    if (const auto* http = std::get_if<HttpOrigin>(&exchange.origin)) {
        context_.actions.emplace_back(HttpRespond {.handle = http->handle,
            .status = sent.status,
            .headers = callerHeaders(exchange, std::move(sent.headers)),
            .bodyLength = sent.bodyLength,
            .bytes = std::move(body),
            .isLast = true});
        return;
    }
    if (!std::holds_alternative<ForwardedOrigin>(exchange.origin))
        return;
    startStream(exchange, sent);
    writeBody(exchange, std::move(body));
    finishStream(exchange);
}

void CallerWriter::startStream(Exchange& exchange, const ResponseHead& head)
{
    exchange.status = head.status;
    if (const auto* forwarded = std::get_if<ForwardedOrigin>(&exchange.origin)) {
        context_.send(forwarded->host,
            model::ForwardResponseHead {.correlation = forwarded->correlation,
                .status = head.status,
                .headers = head.headers,
                .bodyLength = head.bodyLength,
                .target = exchange.target});
    }
    if (const auto* http = std::get_if<HttpOrigin>(&exchange.origin)) {
        context_.actions.emplace_back(HttpRespond {.handle = http->handle,
            .status = head.status,
            .headers = callerHeaders(exchange, head.headers),
            .bodyLength = head.bodyLength,
            .isLast = false});
    }
}

void CallerWriter::writeBody(Exchange& exchange, std::string bytes)
{
    if (bytes.empty())
        return;
    if (const auto* forwarded = std::get_if<ForwardedOrigin>(&exchange.origin))
        return sendBody(exchange, *forwarded, bytes, false);
    const auto* http = std::get_if<HttpOrigin>(&exchange.origin);
    if (!http)
        return;
    exchange.responseBytesSent += bytes.size();
    context_.actions.emplace_back(HttpResponseBody {.handle = http->handle, .bytes = std::move(bytes)});
}

void CallerWriter::finishStream(Exchange& exchange)
{
    if (const HttpOrigin* http = incompleteHttpOrigin(exchange))
        context_.actions.emplace_back(HttpResponseBody {.handle = http->handle, .bytes = {}, .isLast = true});
    if (const auto* forwarded = std::get_if<ForwardedOrigin>(&exchange.origin)) {
        sendBody(exchange, *forwarded, {}, true);
        sendEnd(exchange, *forwarded, AnsweredCompletion);
    }
}

void CallerWriter::abort(Exchange& exchange, const Completion& completion)
{
    if (const HttpOrigin* http = incompleteHttpOrigin(exchange))
        context_.actions.emplace_back(HttpAbort {.handle = http->handle});
    if (const auto* forwarded = std::get_if<ForwardedOrigin>(&exchange.origin))
        sendEnd(exchange, *forwarded, completion);
}

void CallerWriter::extendBodyWindow(Exchange& exchange, uint64_t bytes)
{
    if (bytes == 0)
        return;
    if (const auto* http = std::get_if<HttpOrigin>(&exchange.origin))
        context_.actions.emplace_back(HttpRequestWindow {.handle = http->handle, .bytes = bytes});
    if (const auto* forwarded = std::get_if<ForwardedOrigin>(&exchange.origin)) {
        context_.send(forwarded->host,
            model::ForwardWindow {
                .correlation = forwarded->correlation, .direction = model::Direction::ToTarget, .bytes = bytes});
    }
}

void CallerWriter::sendBody(Exchange& exchange, const ForwardedOrigin& forwarded, std::string_view bytes, bool isLast)
{
    do {
        const std::string_view part = bytes.substr(0, MaxBodyFrameBytes);
        bytes.remove_prefix(part.size());
        context_.send(forwarded.host,
            model::ForwardBody {.correlation = forwarded.correlation,
                .direction = model::Direction::ToClient,
                .offset = exchange.responseBytesSent,
                .bytes = std::string(part),
                .isLast = isLast && bytes.empty()});
        exchange.responseBytesSent += part.size();
    } while (!bytes.empty());
}

void CallerWriter::sendEnd(const Exchange& exchange, const ForwardedOrigin& forwarded, const Completion& completion)
{
    context_.send(forwarded.host,
        model::ForwardEnd {.correlation = forwarded.correlation,
            .outcome = completion.outcome,
            .reason = completion.reason,
            .retryAfter = completion.retryAfter,
            .target = exchange.target,
            .tries = exchange.tries});
}

} // namespace saltvane::requests
