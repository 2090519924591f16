/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/unitinterval.h"
#include "gateway/internal/requestrunner.h"
#include "requests/headerfilter.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>
#include <xxhash.h>

/// RequestRunner: arrival of requests, which covers the caller's account, the route, immediate refusals and the body.
namespace saltvane::gateway {

namespace {

constexpr Duration DefaultDeadline = 30s; ///< For callers that state none.
constexpr double MaxDeadlineMs = 3.6e6;
constexpr int StatusUnauthorized = 401;
constexpr int StatusNotFound = 404;
constexpr int StatusTooLarge = 413;

std::optional<Duration> parseMilliseconds(std::string_view text)
{
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc {} || !std::isfinite(value) || value < 0)
        return std::nullopt;
    return fromSeconds(std::min(value, MaxDeadlineMs) / 1000);
}

std::optional<uint64_t> objectHash(std::string_view object)
{
    if (object.empty())
        return std::nullopt;
    return XXH64(object.data(), object.size(), 0);
}

} // namespace

model::AccountRef RequestRunner::accountOf(const requests::HttpRequestStarted& request) const
{
    const auto isKey
        = [&](const model::Header& header) { return model::isSameFieldName(header.name, options_.headers.clientKey); };
    // With two keys it is ambiguous which one is meant.
    if (std::ranges::count_if(request.headers, isKey) != 1)
        return nullptr;
    return routes_->findAccount(std::ranges::find_if(request.headers, isKey)->value);
}

model::AccountRef RequestRunner::claimedAccountOf(const requests::HttpRequestStarted& request) const
{
    const std::string_view name = requests::firstFieldValue(request.headers, options_.headers.clientAccount);
    return routes_->findAccountNamed(model::ClientAccountName(std::string(name)));
}

std::unique_ptr<Exchange> RequestRunner::makeExchange(
    const requests::HttpRequestStarted& request, PlannedRoute& route, Origin origin, Timestamp now) const
{
    const settings::HeaderNames& names = options_.headers;
    auto exchange = std::make_unique<Exchange>();
    exchange->handle = request.handle;
    exchange->body.handle = request.handle;
    exchange->body.length = request.bodyLength;
    exchange->id = RequestId(requests::firstFieldValue(request.headers, names.requestId));
    exchange->method = request.method;
    exchange->path = request.path;
    exchange->account = std::move(origin.account);
    exchange->isForwarded = origin.forwarded.has_value();
    const bool mayClaimAccount = !routes_->plan().hasAccounts;
    const std::string_view claimed = requests::firstFieldValue(request.headers, names.clientAccount);
    const std::string_view proven
        = exchange->account ? std::string_view(exchange->account->account.name.value()) : std::string_view();
    exchange->hasher.emplace(options_.digestKey,
        RequestHasher::Head {.clientAccount = mayClaimAccount ? claimed : proven,
            .method = request.method,
            .host = requests::firstFieldValue(request.headers, "Host"),
            .path = request.path});
    exchange->headers = requests::endToEndHeaders(request.headers);
    std::erase_if(exchange->headers, [&](const model::Header& header) {
        return model::isSameFieldName(header.name, names.deadline)
            || model::isSameFieldName(header.name, names.expectedTarget)
            || model::isSameFieldName(header.name, names.clientKey)
            || model::isSameFieldName(header.name, ForwardedHeader)
            || (!mayClaimAccount && model::isSameFieldName(header.name, names.clientAccount))
            || model::isSameFieldName(header.name, "Expect");
    });
    if (exchange->account)
        exchange->headers.push_back({.name = names.clientAccount, .value = std::string(proven)});
    if (route.route.hasAffinity)
        exchange->object = objectHash(requests::firstFieldValue(request.headers, names.object));
    exchange->route = route.route;
    exchange->service = route.nextService();
    exchange->planVersion = routes_->plan().version;
    exchange->startedAt = now - (origin.forwarded ? origin.forwarded->elapsed : Duration::zero());
    exchange->maxAttempts
        = std::min(route.route.attempts, origin.forwarded ? origin.forwarded->attempts : route.route.attempts);
    const Duration stated
        = parseMilliseconds(requests::firstFieldValue(request.headers, names.deadline)).value_or(DefaultDeadline);
    exchange->deadline = now + std::min(stated, route.route.timeout);
    return exchange;
}

bool RequestRunner::mayFindTarget(const Exchange& exchange) const
{
    const model::ClientAccount* account = exchange.account ? &exchange.account->account : nullptr;
    return !options_.reachability.isReachable()
        || options_.placement.hasTargets(exchange.service, exchange.route, account);
}

void RequestRunner::accept(const requests::HttpRequestStarted& request, Timestamp now)
{
    options_.counters.add(model::Counter::Requests);
    if (isRefusing_)
        return refuseOnArrival(
            request, nullptr, {.reason = model::Reason::Stopping, .retryAfter = StoppingRetryAfter}, now);
    if (!routes_)
        return refuseOnArrival(
            request, nullptr, {.reason = model::Reason::NotReady, .retryAfter = NotReadyRetryAfter}, now);
    if (options_.isRegistryLate(now))
        return refuseOnArrival(
            request, nullptr, {.reason = model::Reason::StaleState, .retryAfter = NotReadyRetryAfter}, now);
    PlannedRoute* route = routes_->find(requests::firstFieldValue(request.headers, "Host"), request.path);
    if (route == nullptr && isPlanUncertain_)
        return refuseOnArrival(
            request, nullptr, {.reason = model::Reason::NotReady, .retryAfter = NotReadyRetryAfter}, now);
    if (route == nullptr)
        return refuseOnArrival(
            request, nullptr, {.status = StatusNotFound, .reason = model::Reason::UnknownService}, now);
    const bool needsKey = routes_->plan().hasAccounts && !route->route.isPublic;
    Origin origin {.forwarded = forwardedInfoOf(request)};
    if (needsKey)
        origin.account = origin.forwarded ? claimedAccountOf(request) : accountOf(request);
    if (needsKey && !origin.account && (isPlanUncertain_ || origin.forwarded))
        return refuseOnArrival(
            request, route, {.reason = model::Reason::NotReady, .retryAfter = NotReadyRetryAfter}, now);
    if (needsKey && !origin.account)
        return refuseOnArrival(
            request, route, {.status = StatusUnauthorized, .reason = model::Reason::UnknownKey}, now);
    if (request.bodyLength.value_or(0) > bodies_.maxBodyBytes())
        return refuseOnArrival(request, route, {.status = StatusTooLarge, .reason = model::Reason::BodyTooLarge}, now);
    const bool isLarge = route->route.kind == model::RouteKind::LargeRead;
    if (isLarge && !options_.link.canCarry(route->route))
        return refuseOnArrival(
            request, route, {.reason = model::Reason::LinkLimitReached, .retryAfter = DefaultRetryAfter}, now);
    std::unique_ptr<Exchange> newExchange = makeExchange(request, *route, std::move(origin), now);
    if (!canCompleteBeforeStop(*newExchange, now))
        return refuseOnArrival(
            request, route, {.reason = model::Reason::Stopping, .retryAfter = StoppingRetryAfter}, now);
    if (request.bodyLength != 0 && !mayFindTarget(*newExchange))
        return refuseOnArrival(
            request, route, {.reason = model::Reason::NoTarget, .retryAfter = UnreachableRetryAfter}, now);
    newExchange->isInLinkBudget = isLarge;
    if (isLarge)
        options_.link.recordStart();
    Exchange& exchange = *newExchange;
    // The gateway that forwarded it has counted it.
    if (exchange.isForwarded)
        options_.counters.add(model::Counter::ForwardsReceived);
    else
        options_.retries.recordRequest(exchange.service, now);
    exchanges_.emplace(request.handle, std::move(newExchange));
    deadlines_.emplace(exchange.deadline, exchange.handle);
    if (request.bodyLength == 0)
        return start(exchange, now);
    bodies_.start(exchange.body, now);
}

void RequestRunner::accept(const requests::HttpRequestBody& body, Timestamp now)
{
    Exchange* exchange = find(body.handle);
    if (exchange == nullptr || exchange->phase != Exchange::Phase::ReceivingBody)
        return;
    const model::Reason reason = bodies_.receive(exchange->body, body.bytes, now);
    if (reason != model::Reason::None) {
        refuseBody(*exchange, reason, now);
    } else {
        exchange->hasher->addBody(body.bytes);
        if (body.isLast)
            start(*exchange, now);
    }
    applyBodyResults(now);
}

void RequestRunner::applyBodyResults(Timestamp now)
{
    for (requests::HttpRequestWindow& window : bodies_.drainWindows()) {
        if (find(window.handle) != nullptr)
            actions_.emplace_back(window);
    }
    for (const BodyReceiver::Refused& refused : bodies_.drainRefused()) {
        if (Exchange* exchange = find(refused.handle))
            refuseBody(*exchange, refused.reason, now);
    }
}

void RequestRunner::refuseBody(Exchange& exchange, model::Reason reason, Timestamp now)
{
    if (reason == model::Reason::NoMemory) {
        const uint64_t hash = XXH64(&exchange.handle.value, sizeof(exchange.handle.value), 0);
        const Duration spread = fromSeconds(toSeconds(NoMemoryRetrySpread) * toUnitInterval(hash));
        return refuse(exchange, reason, NoMemoryRetryAfter + spread, now);
    }
    options_.counters.addRefusal(reason);
    const int status = model::httpStatus(model::Outcome::NotRun, reason);
    respondWithError(exchange, status, reason, Duration::zero(), reason == model::Reason::BodyTimeout);
    finish(
        exchange, {.exchange = exchange, .outcome = model::Outcome::NotRun, .reason = reason, .status = status}, now);
}

void RequestRunner::install(std::shared_ptr<const RouteTable> routes)
{
    routes_ = std::move(routes);
    bodies_.setLimits(routes_->plan().limits);
}

void RequestRunner::start(Exchange& exchange, Timestamp now)
{
    exchange.digest = exchange.hasher->finish();
    exchange.hasher.reset();
    bodies_.end(exchange.body);
    dispatch(exchange, now);
}

} // namespace saltvane::gateway
