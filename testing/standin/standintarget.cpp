/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "standin/standintarget.h"

#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace saltvane::standin {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusTooMany = 429;
constexpr size_t ChunkBytes = 64 * 1024;
constexpr std::string_view ControlPrefix = "/_standin/";
constexpr std::string_view BytesPrefix = "/bytes/";
/// Fraction of the listed service time by which times vary, uniformly, either way.
constexpr double ServiceTimeSpread = 0.2;

std::string headerValue(const std::vector<model::Header>& headers, std::string_view name)
{
    for (const model::Header& header : headers) {
        if (model::isSameFieldName(header.name, name))
            return header.value;
    }
    return {};
}

/// Byte at an offset of a generated body. It depends on the offset only, so a reader can check any range.
char patternByte(uint64_t offset) { return static_cast<char>('a' + offset % 26); }

std::string patternBytes(uint64_t offset, uint64_t length)
{
    std::string bytes(length, '\0');
    for (uint64_t index = 0; index < length; ++index)
        bytes[index] = patternByte(offset + index);
    return bytes;
}

} // namespace

struct StandInTarget::Exchange {
    StandInTarget* target = nullptr;
    requests::HttpRequestStarted request;
    ev_timer timer {};
    uint64_t bodyLength = 0;
    uint64_t sent = 0;
    uint64_t acknowledged = 0;
    uint64_t received = 0;
    bool hasGeneratedBody = false;
    bool isResponding = false;
    bool occupiesSlot = false;
};

StandInTarget::StandInTarget(Options options)
    : options_(std::move(options))
    , random_(options_.seed)
{
}

StandInTarget::~StandInTarget()
{
    for (auto& [handle, exchange] : exchanges_)
        ev_timer_stop(options_.loop, &exchange->timer);
}

Result<std::unique_ptr<StandInTarget>, IoError> StandInTarget::start(Options options)
{
    std::unique_ptr<StandInTarget> target(new StandInTarget(std::move(options)));
    settings::Limits limits;
    limits.connections = std::max(target->options_.spec.connections, 1u);
    Result<std::unique_ptr<net::IHttpServer>, IoError> server = net::makeHttpServer({.loop = target->options_.loop,
        .address = target->options_.spec.address,
        .limits = limits,
        .sink = [pointer = target.get()](const host::Event& event) { pointer->handle(event); },
        .counters = &target->counters_,
        .metricsText = [] { return std::string(); }});
    if (!server)
        return server.error();
    target->server_ = std::move(server.value());
    return target;
}

void StandInTarget::handle(const host::Event& event)
{
    const auto* http = std::get_if<requests::HttpEvent>(&event);
    if (!http)
        return;
    if (const auto* started = std::get_if<requests::HttpRequestStarted>(http))
        return begin(*started);
    if (const auto* body = std::get_if<requests::HttpRequestBody>(http)) {
        const auto found = exchanges_.find(body->handle);
        if (found == exchanges_.end())
            return;
        found->second->received += body->bytes.size();
        server_->execute(requests::HttpRequestWindow {.handle = body->handle, .bytes = body->bytes.size()});
        if (body->isLast)
            serve(*found->second);
        return;
    }
    if (const auto* progress = std::get_if<requests::HttpResponseProgress>(http)) {
        const auto found = exchanges_.find(progress->handle);
        if (found == exchanges_.end())
            return;
        found->second->acknowledged += progress->bytes;
        if (found->second->hasGeneratedBody)
            sendMore(*found->second);
        return;
    }
    if (const auto* done = std::get_if<requests::HttpResponseDone>(http))
        return finish(done->handle, true);
    if (const auto* aborted = std::get_if<requests::HttpRequestAborted>(http))
        return finish(aborted->handle, false);
}

void StandInTarget::begin(const requests::HttpRequestStarted& started)
{
    if (started.path.starts_with(ControlPrefix))
        return respondToControl(started);
    if (inFlight_ >= options_.spec.slots) {
        ++counts_.overfills;
        ++counts_.shed;
        server_->execute(requests::HttpRespond {.handle = started.handle,
            .status = StatusTooMany,
            .headers = {{"Retry-After", "1"}},
            .bodyLength = 0,
            .isLast = true});
        return;
    }
    auto exchange = std::make_unique<Exchange>();
    exchange->target = this;
    exchange->request = started;
    exchange->occupiesSlot = true;
    ++inFlight_;
    ++counts_.runs;
    counts_.maxInFlight = std::max(counts_.maxInFlight, inFlight_);
    const std::string key = headerValue(started.headers, "Idempotency-Key");
    if (!key.empty() && started.method != "GET" && !options_.executedKeys->insert(key))
        ++counts_.doubleRuns;
    Exchange& added = *exchange;
    exchanges_[started.handle] = std::move(exchange);
    const bool hasBody = !started.bodyLength || *started.bodyLength > 0;
    if (!hasBody)
        serve(added);
}

double StandInTarget::serviceSeconds()
{
    boost::random::uniform_real_distribution<double> spread(1 - ServiceTimeSpread, 1 + ServiceTimeSpread);
    const double base = toSeconds(options_.spec.serviceTime) * spread(random_);
    if (counts_.answered >= options_.coldResponses)
        return base;
    const double warmth = static_cast<double>(counts_.answered) / options_.coldResponses;
    return base * (options_.coldFactor - (options_.coldFactor - 1) * warmth);
}

void StandInTarget::serve(Exchange& exchange)
{
    ev_timer_init(&exchange.timer, onTimer, serviceSeconds(), 0.0);
    exchange.timer.data = &exchange;
    ev_now_update(options_.loop);
    ev_timer_start(options_.loop, &exchange.timer);
}

void StandInTarget::onTimer(struct ev_loop* /*loop*/, ev_timer* timer, int /*events*/)
{
    auto* exchange = static_cast<Exchange*>(timer->data);
    exchange->target->respond(*exchange);
}

void StandInTarget::respond(Exchange& exchange)
{
    exchange.isResponding = true;
    const requests::HttpHandle handle = exchange.request.handle;
    const std::string& path = exchange.request.path;
    requests::HttpRespond response {.handle = handle, .status = StatusOk};
    response.headers = {{"Content-Type", "application/json"}, {"X-Target", options_.spec.target.value()}};
    if (path.starts_with(BytesPrefix)) {
        std::from_chars(path.data() + BytesPrefix.size(), path.data() + path.size(), exchange.bodyLength);
        exchange.hasGeneratedBody = true;
        response.headers.front().value = "application/octet-stream";
        response.bodyLength = exchange.bodyLength;
        response.isLast = exchange.bodyLength == 0;
        server_->execute(std::move(response));
        return sendMore(exchange);
    }
    const nlohmann::json body {{"service", options_.spec.service.value()}, {"path", path},
        {"method", exchange.request.method}, {"received_bytes", exchange.received}};
    response.bytes = body.dump() + "\n";
    response.bodyLength = response.bytes.size();
    server_->execute(std::move(response));
}

void StandInTarget::sendMore(Exchange& exchange)
{
    while (exchange.sent < exchange.bodyLength && exchange.sent - exchange.acknowledged < requests::InitialBodyWindow) {
        const uint64_t length = std::min<uint64_t>(ChunkBytes, exchange.bodyLength - exchange.sent);
        requests::HttpResponseBody body {
            .handle = exchange.request.handle, .bytes = patternBytes(exchange.sent, length)};
        exchange.sent += length;
        body.isLast = exchange.sent == exchange.bodyLength;
        server_->execute(std::move(body));
    }
}

void StandInTarget::finish(requests::HttpHandle handle, bool isSuccessful)
{
    const auto found = exchanges_.find(handle);
    if (found == exchanges_.end())
        return;
    ev_timer_stop(options_.loop, &found->second->timer);
    if (found->second->occupiesSlot)
        --inFlight_;
    ++(isSuccessful ? counts_.answered : counts_.cancelled);
    exchanges_.erase(found);
}

void StandInTarget::respondToControl(const requests::HttpRequestStarted& started)
{
    if (started.path == "/_standin/leave")
        leave();
    const nlohmann::json body {{"target", options_.spec.target.value()}, {"service", options_.spec.service.value()},
        {"zone", options_.spec.zone.value()}, {"slots", options_.spec.slots}, {"in_flight", inFlight_},
        {"leaving", isLeaving_}, {"runs", counts_.runs}, {"answered", counts_.answered}, {"shed", counts_.shed},
        {"cancelled", counts_.cancelled}, {"overfills", counts_.overfills}, {"double_runs", counts_.doubleRuns},
        {"largest_in_flight", counts_.maxInFlight}};
    requests::HttpRespond response {.handle = started.handle, .status = StatusOk};
    response.headers = {{"Content-Type", "application/json"}};
    response.bytes = body.dump() + "\n";
    response.bodyLength = response.bytes.size();
    server_->execute(std::move(response));
}

} // namespace saltvane::standin
