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

const Ending AnsweredEnding {.outcome = model::Outcome::Answered};

void addHeader(std::vector<model::Header>& headers, std::string_view name, std::string value)
{
    headers.push_back({.name = std::string(name), .value = std::move(value)});
}

/// The request as sent can't be served; waiting won't help.
bool isCallersFault(model::Reason reason)
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

std::string refusalBody(const Exchange& exchange, const Ending& ending)
{
    nlohmann::json body {
        {"outcome", toString(ending.outcome)},
        {"reason", toString(ending.reason)},
        {"request", exchange.request.value()},
    };
    if (!ending.field.empty())
        body["field"] = ending.field;
    return body.dump() + "\n";
}

std::vector<model::Header> refusalHeaders(const Exchange& exchange, const Ending& ending)
{
    std::vector<model::Header> headers;
    addHeader(headers, "Content-Type", "application/json");
    addHeader(headers, OutcomeHeader, std::string(toString(ending.outcome)));
    addHeader(headers, ReasonHeader, std::string(toString(ending.reason)));
    addHeader(headers, RequestIdHeader, exchange.request.value());
    const bool isRefusal = ending.outcome == model::Outcome::NotRun && !isCallersFault(ending.reason);
    if (isRefusal || ending.retryAfter > Duration::zero())
        addHeader(headers, RetryAfterHeader, retryAfterText(ending.retryAfter));
    return headers;
}

std::vector<model::Header> callerHeaders(const Exchange& exchange, std::vector<model::Header> headers)
{
    addHeader(headers, OutcomeHeader, std::string(toString(model::Outcome::Answered)));
    addHeader(headers, RequestIdHeader, exchange.request.value());
    return headers;
}

bool isBodyless(const Exchange& exchange, const AnswerHead& head)
{
    return exchange.method == "HEAD" || head.status == 204 || head.status == 304;
}

} // namespace

void CallerWriter::writeRefusal(Exchange& exchange, const Ending& ending)
{
    exchange.status = httpStatus(ending.outcome, ending.reason);
    if (const auto* link = std::get_if<LinkOrigin>(&exchange.origin))
        return sendEnd(exchange, *link, ending);
    const auto* http = std::get_if<HttpOrigin>(&exchange.origin);
    if (!http)
        return;
    std::string body = exchange.method == "HEAD" ? std::string() : refusalBody(exchange, ending);
    const uint64_t length = body.size();
    context_.actions.emplace_back(HttpRespond {.handle = http->handle,
        .status = exchange.status,
        .headers = refusalHeaders(exchange, ending),
        .bodyLength = length,
        .bytes = std::move(body),
        .isLast = true});
}

void CallerWriter::writeWhole(Exchange& exchange, const AnswerHead& head, std::string body, bool isReplayed)
{
    exchange.status = head.status;
    AnswerHead sent = head;
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
    if (!std::holds_alternative<LinkOrigin>(exchange.origin))
        return;
    startStream(exchange, sent);
    writeBody(exchange, std::move(body));
    finishStream(exchange);
}

void CallerWriter::startStream(Exchange& exchange, const AnswerHead& head)
{
    exchange.status = head.status;
    if (const auto* link = std::get_if<LinkOrigin>(&exchange.origin)) {
        context_.send(link->host,
            model::ForwardResponseHead {.correlation = link->correlation,
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
    if (const auto* link = std::get_if<LinkOrigin>(&exchange.origin))
        return sendBody(exchange, *link, bytes, false);
    const auto* http = std::get_if<HttpOrigin>(&exchange.origin);
    if (!http)
        return;
    exchange.answerSent += bytes.size();
    context_.actions.emplace_back(HttpResponseBody {.handle = http->handle, .bytes = std::move(bytes)});
}

void CallerWriter::finishStream(Exchange& exchange)
{
    if (const auto* http = std::get_if<HttpOrigin>(&exchange.origin))
        context_.actions.emplace_back(HttpResponseBody {.handle = http->handle, .bytes = {}, .isLast = true});
    if (const auto* link = std::get_if<LinkOrigin>(&exchange.origin)) {
        sendBody(exchange, *link, {}, true);
        sendEnd(exchange, *link, AnsweredEnding);
    }
}

void CallerWriter::abort(Exchange& exchange, const Ending& ending)
{
    if (const auto* http = std::get_if<HttpOrigin>(&exchange.origin))
        context_.actions.emplace_back(HttpAbort {.handle = http->handle});
    if (const auto* link = std::get_if<LinkOrigin>(&exchange.origin))
        sendEnd(exchange, *link, ending);
}

void CallerWriter::allowBody(Exchange& exchange, uint64_t bytes)
{
    if (bytes == 0)
        return;
    if (const auto* http = std::get_if<HttpOrigin>(&exchange.origin))
        context_.actions.emplace_back(HttpRequestWindow {.handle = http->handle, .bytes = bytes});
    if (const auto* link = std::get_if<LinkOrigin>(&exchange.origin)) {
        context_.send(link->host,
            model::ForwardWindow {
                .correlation = link->correlation, .direction = model::Direction::ToTarget, .bytes = bytes});
    }
}

void CallerWriter::sendBody(Exchange& exchange, const LinkOrigin& link, std::string_view bytes, bool isLast)
{
    do {
        const std::string_view part = bytes.substr(0, LargestBodyFrame);
        bytes.remove_prefix(part.size());
        context_.send(link.host,
            model::ForwardBody {.correlation = link.correlation,
                .direction = model::Direction::ToClient,
                .offset = exchange.answerSent,
                .bytes = std::string(part),
                .isLast = isLast && bytes.empty()});
        exchange.answerSent += part.size();
    } while (!bytes.empty());
}

void CallerWriter::sendEnd(const Exchange& exchange, const LinkOrigin& link, const Ending& ending)
{
    context_.send(link.host,
        model::ForwardEnd {.correlation = link.correlation,
            .outcome = ending.outcome,
            .reason = ending.reason,
            .retryAfter = ending.retryAfter,
            .target = exchange.target,
            .tries = exchange.tries});
}

} // namespace saltvane::requests
