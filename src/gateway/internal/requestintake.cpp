/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/requestrunner.h"
#include "requests/headerfilter.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>
#include <xxhash.h>

/// How RequestRunner takes requests in: who calls, which route, what is refused at once, and the body.
namespace saltvane::gateway {

namespace {

constexpr Duration UsualDeadline = 30s; ///< Of callers that state none.
constexpr double LargestDeadlineMs = 3.6e6;
constexpr int StatusUnauthorized = 401;
constexpr int StatusNotFound = 404;
constexpr int StatusTooLarge = 413;

std::optional<Duration> parseMilliseconds(std::string_view text)
{
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc {} || !std::isfinite(value) || value < 0)
        return std::nullopt;
    return fromSeconds(std::min(value, LargestDeadlineMs) / 1000);
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
    // Of two keys nobody could tell which one is meant.
    if (std::ranges::count_if(request.headers, isKey) != 1)
        return nullptr;
    return routes_->findAccount(std::ranges::find_if(request.headers, isKey)->value);
}

std::unique_ptr<Exchange> RequestRunner::makeExchange(
    const requests::HttpRequestStarted& request, PlannedRoute& route, model::AccountRef account, Timestamp now) const
{
    const settings::HeaderNames& names = options_.headers;
    auto exchange = std::make_unique<Exchange>();
    exchange->handle = request.handle;
    exchange->id = RequestId(requests::firstFieldValue(request.headers, names.requestId));
    exchange->method = request.method;
    exchange->path = request.path;
    exchange->account = std::move(account);
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
    exchange->startedAt = now;
    const Duration stated
        = parseMilliseconds(requests::firstFieldValue(request.headers, names.deadline)).value_or(UsualDeadline);
    exchange->deadline = now + std::min(stated, route.route.timeout);
    return exchange;
}

void RequestRunner::accept(const requests::HttpRequestStarted& request, Timestamp now)
{
    options_.counters.add(model::Counter::Requests);
    if (isRefusing_)
        return refuseEarly(request, nullptr, {.reason = model::Reason::Stopping, .retryAfter = StopRetryAfter}, now);
    if (!routes_)
        return refuseEarly(request, nullptr, {.reason = model::Reason::NotReady, .retryAfter = StartRetryAfter}, now);
    if (options_.isWordLate(now))
        return refuseEarly(request, nullptr, {.reason = model::Reason::StaleState, .retryAfter = StartRetryAfter}, now);
    PlannedRoute* route = routes_->find(requests::firstFieldValue(request.headers, "Host"), request.path);
    if (route == nullptr && isPlanDoubtful_)
        return refuseEarly(request, nullptr, {.reason = model::Reason::NotReady, .retryAfter = StartRetryAfter}, now);
    if (route == nullptr)
        return refuseEarly(request, nullptr, {.status = StatusNotFound, .reason = model::Reason::UnknownService}, now);
    const bool isKeyNeeded = routes_->plan().hasAccounts && !route->route.isPublic;
    model::AccountRef account = isKeyNeeded ? accountOf(request) : nullptr;
    if (isKeyNeeded && !account && isPlanDoubtful_)
        return refuseEarly(request, route, {.reason = model::Reason::NotReady, .retryAfter = StartRetryAfter}, now);
    if (isKeyNeeded && !account)
        return refuseEarly(request, route, {.status = StatusUnauthorized, .reason = model::Reason::UnknownKey}, now);
    if (request.bodyLength.value_or(0) > routes_->plan().limits.bodyBytes)
        return refuseEarly(request, route, {.status = StatusTooLarge, .reason = model::Reason::BodyTooLarge}, now);
    const bool isLarge = route->route.kind == model::RouteKind::LargeRead;
    if (isLarge && !options_.link.hasRoomFor(route->route))
        return refuseEarly(
            request, route, {.reason = model::Reason::LinkLimitReached, .retryAfter = UsualRetryAfter}, now);
    std::unique_ptr<Exchange> made = makeExchange(request, *route, std::move(account), now);
    made->isOnLink = isLarge;
    if (isLarge)
        options_.link.noteStarted();
    Exchange& exchange = *made;
    options_.retries.noteRequest(exchange.service, now);
    exchanges_.emplace(request.handle, std::move(made));
    deadlines_.emplace(exchange.deadline, exchange.handle);
    if (request.bodyLength == 0)
        start(exchange, now);
}

void RequestRunner::accept(const requests::HttpRequestBody& body, Timestamp now)
{
    Exchange* exchange = find(body.handle);
    if (exchange == nullptr || exchange->phase != Exchange::Phase::ReceivingBody)
        return;
    exchange->body += body.bytes;
    exchange->hasher->addBody(body.bytes);
    if (exchange->body.size() > routes_->plan().limits.bodyBytes) {
        refuseAtOnce(body.handle, StatusTooLarge, model::Reason::BodyTooLarge, Duration::zero());
        return erase(*exchange);
    }
    if (!body.isLast) {
        actions_.emplace_back(requests::HttpRequestWindow {.handle = body.handle, .bytes = body.bytes.size()});
        return;
    }
    start(*exchange, now);
}

void RequestRunner::start(Exchange& exchange, Timestamp now)
{
    exchange.digest = exchange.hasher->finish();
    exchange.hasher.reset();
    dispatch(exchange, now);
}

} // namespace saltvane::gateway
