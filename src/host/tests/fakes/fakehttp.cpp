/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/fakes/fakehttp.h"

#include <algorithm>
#include <strings.h>
#include <utility>

namespace saltvane::host::fakes {

namespace {

constexpr uint64_t MaxChunkBytes = 64 * 1024;

} // namespace

std::string HttpReply::header(std::string_view name) const
{
    for (const model::Header& header : headers) {
        if (header.name.size() == name.size() && strncasecmp(header.name.data(), name.data(), name.size()) == 0)
            return header.value;
    }
    return {};
}

FakeHttp::FakeHttp(FakeHttpOptions options)
    : options_(std::move(options))
{
}

FakeHttp::CallId FakeHttp::send(HttpCall call, Done done)
{
    const CallId id = ++lastCall_;
    const Duration oneWayDelay = call.oneWayDelay;
    exchanges_[id] = {.call = std::move(call), .done = std::move(done), .started = options_.time->now()};
    options_.time->after(oneWayDelay, [this, id] { arrive(id); });
    return id;
}

void FakeHttp::arrive(CallId id)
{
    Exchange* exchange = find(id);
    if (exchange == nullptr)
        return;
    if (isCut(*exchange)) {
        scheduleBreak(id, options_.timeout);
        return;
    }
    const HttpCall& call = exchange->call;
    requests::HttpRequestStarted started {.handle = {id},
        .method = call.method,
        .path = call.path,
        .headers = call.headers,
        .bodyLength = call.body.size(),
        .remoteAddress = call.remoteAddress};
    if (!options_.deliver(call.host, requests::HttpEvent(std::move(started)))) {
        scheduleBreak(id, call.oneWayDelay);
        return;
    }
    if (find(id) != nullptr && !exchange->call.body.empty())
        sendBody(id);
}

void FakeHttp::sendBody(CallId id)
{
    while (Exchange* exchange = find(id)) {
        const std::string& body = exchange->call.body;
        const uint64_t size
            = std::min({MaxChunkBytes, body.size() - exchange->bodySent, exchange->bodyWindow - exchange->bodySent});
        if (exchange->isEndSent || size == 0)
            return;
        requests::HttpRequestBody event {.handle = {id}, .bytes = body.substr(exchange->bodySent, size)};
        exchange->bodySent += size;
        event.isLast = exchange->bodySent == body.size();
        exchange->isEndSent = event.isLast;
        (void)options_.deliver(exchange->call.host, requests::HttpEvent(std::move(event)));
    }
}

bool FakeHttp::abort(CallId id)
{
    const Exchange* exchange = find(id);
    if (exchange == nullptr)
        return false;
    const HostId host = exchange->call.host;
    options_.time->after(exchange->call.oneWayDelay,
        [this, host, id] { (void)options_.deliver(host, requests::HttpEvent(requests::HttpRequestAborted {{id}})); });
    exchanges_.erase(id);
    return true;
}

void FakeHttp::onHostDown(const HostId& host)
{
    for (const auto& [id, exchange] : exchanges_) {
        if (exchange.call.host == host)
            scheduleBreak(id, exchange.call.oneWayDelay);
    }
}

void FakeHttp::execute(const HostId& host, requests::HttpRespond action)
{
    Exchange* exchange = find(action.handle.value);
    if (exchange == nullptr || exchange->call.host != host)
        return;
    exchange->reply.status = action.status;
    exchange->reply.headers = std::move(action.headers);
    exchange->announcedLength = action.bodyLength;
    receive(action.handle.value, std::move(action.bytes), action.isLast);
}

void FakeHttp::execute(const HostId& host, requests::HttpResponseBody action)
{
    const Exchange* exchange = find(action.handle.value);
    if (exchange != nullptr && exchange->call.host == host)
        receive(action.handle.value, std::move(action.bytes), action.isLast);
}

void FakeHttp::execute(const HostId& host, const requests::HttpAbort& action)
{
    const Exchange* exchange = find(action.handle.value);
    if (exchange != nullptr && exchange->call.host == host)
        scheduleBreak(action.handle.value, exchange->call.oneWayDelay);
}

void FakeHttp::execute(const HostId& host, const requests::HttpRequestWindow& action)
{
    Exchange* exchange = find(action.handle.value);
    if (exchange == nullptr || exchange->call.host != host)
        return;
    exchange->bodyWindow += action.bytes;
    options_.time->after({}, [this, id = action.handle.value] { sendBody(id); });
}

void FakeHttp::receive(CallId id, std::string bytes, bool isLast)
{
    Exchange& exchange = *find(id);
    const HostId host = exchange.call.host;
    const uint64_t size = bytes.size();
    if (size > 0 || isLast) {
        options_.time->after({}, [this, host, id, size, isLast] {
            if (size > 0)
                (void)options_.deliver(host, requests::HttpEvent(requests::HttpResponseProgress {{id}, size}));
            if (isLast)
                (void)options_.deliver(host, requests::HttpEvent(requests::HttpResponseDone {{id}}));
        });
    }
    options_.time->after(exchange.call.oneWayDelay, [this, id, carried = std::move(bytes), isLast] {
        Exchange* open = find(id);
        if (open == nullptr)
            return;
        open->reply.body += carried;
        if (isLast)
            finish(id, true);
    });
}

void FakeHttp::finish(CallId id, bool isComplete)
{
    Exchange* exchange = find(id);
    if (exchange == nullptr)
        return;
    Exchange ended = std::move(*exchange);
    exchanges_.erase(id);
    const bool isHead = ended.call.method == "HEAD";
    const bool hasLength = isHead || !ended.announcedLength || *ended.announcedLength == ended.reply.body.size();
    ended.reply.isComplete = isComplete && hasLength;
    ended.reply.duration = options_.time->now() - ended.started;
    if (ended.done)
        ended.done(ended.reply);
}

void FakeHttp::scheduleBreak(CallId id, Duration delay)
{
    options_.time->after(delay, [this, id] { finish(id, false); });
}

FakeHttp::Exchange* FakeHttp::find(CallId id)
{
    const auto found = exchanges_.find(id);
    return found == exchanges_.end() ? nullptr : &found->second;
}

bool FakeHttp::isCut(const Exchange& exchange) const
{
    return options_.isCut && !exchange.call.origin.isEmpty()
        && options_.isCut(exchange.call.origin, exchange.call.host);
}

} // namespace saltvane::host::fakes
