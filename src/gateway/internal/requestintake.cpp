/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/unitinterval.h"
#include "gateway/internal/requestjudgement.h"
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

std::optional<ClientKeyDigest> RequestRunner::presentedKeyOf(const requests::HttpRequestStarted& request) const
{
    const auto isKey
        = [&](const model::Header& header) { return model::isSameFieldName(header.name, options_.headers.clientKey); };
    // With two keys it is ambiguous which one is meant.
    if (std::ranges::count_if(request.headers, isKey) != 1)
        return std::nullopt;
    return options_.keyHasher.digestOf(std::ranges::find_if(request.headers, isKey)->value);
}

RequestRunner::Origin RequestRunner::originOf(const requests::HttpRequestStarted& request) const
{
    const std::string_view forwarded = requests::firstFieldValue(request.headers, ForwardedHeader);
    if (forwarded.empty())
        return {.key = presentedKeyOf(request)};
    const ForwardedHeaderCodec::Request bound {
        .id = requests::firstFieldValue(request.headers, options_.headers.requestId),
        .clientAccount = requests::firstFieldValue(request.headers, options_.headers.clientAccount),
        .method = request.method,
        .host = requests::firstFieldValue(request.headers, "Host"),
        .path = request.path};
    Origin origin {.forwarded = options_.forwardedHeader.decode(forwarded, bound)};
    if (!origin.forwarded)
        return {.key = presentedKeyOf(request)};
    origin.plan
        = options_.forwardedHeader.decodePlan(requests::firstFieldValue(request.headers, ForwardedPlanHeader), bound);
    if (origin.plan)
        origin.key = origin.plan->key;
    return origin;
}

RequestRunner::PlanOrder RequestRunner::planOrder(const Origin& origin) const
{
    if (!origin.plan)
        return PlanOrder::Unknown;
    const LogIndex own = routes_->planPosition().index;
    if (own == origin.plan->planIndex)
        return PlanOrder::Same;
    return own < origin.plan->planIndex ? PlanOrder::Older : PlanOrder::Newer;
}

std::unique_ptr<Exchange> RequestRunner::makeExchange(
    const requests::HttpRequestStarted& request, PlannedRoute& route, const Origin& origin, Timestamp now) const
{
    const settings::HeaderNames& names = options_.headers;
    auto exchange = std::make_unique<Exchange>();
    exchange->handle = request.handle;
    exchange->body.handle = request.handle;
    exchange->body.length = request.bodyLength;
    exchange->id = RequestId(requests::firstFieldValue(request.headers, names.requestId));
    exchange->method = request.method;
    exchange->path = request.path;
    exchange->account = origin.account;
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
            || model::isSameFieldName(header.name, ForwardedPlanHeader)
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
    exchange->planIndex = routes_->planPosition().index;
    exchange->key = origin.key;
    if (origin.plan)
        exchange->peerPlanIndex = origin.plan->planIndex;
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
    return !options_.reachability.isReachable() || isSuperseded(exchange)
        || options_.placement.hasTargets(exchange.service, exchange.route, account);
}

std::optional<RequestRunner::EarlyRefusal> RequestRunner::refusalByState(Timestamp now) const
{
    if (isRefusing_)
        return EarlyRefusal {.reason = model::Reason::Stopping, .retryAfter = StoppingRetryAfter};
    if (!routes_)
        return EarlyRefusal {.reason = model::Reason::NotReady, .retryAfter = NotReadyRetryAfter};
    if (options_.isRegistryLate(now))
        return EarlyRefusal {.reason = model::Reason::StaleState, .retryAfter = NotReadyRetryAfter};
    return std::nullopt;
}

std::optional<RequestRunner::EarlyRefusal> RequestRunner::refusalByPlan(
    const requests::HttpRequestStarted& request, const PlannedRoute* route, Origin& origin) const
{
    const PlanOrder order = planOrder(origin);
    // What a gateway has found in a plan may be missing here because that plan is newer, or because this one is.
    const bool mayBeInNewerPlan = isPlanUncertain_ || (origin.forwarded && order != PlanOrder::Newer);
    const EarlyRefusal notKnownYet {.reason = model::Reason::NotReady, .retryAfter = NotReadyRetryAfter};
    if (route == nullptr)
        return mayBeInNewerPlan ? notKnownYet
                                : EarlyRefusal {.status = StatusNotFound, .reason = model::Reason::UnknownService};
    if (routes_->plan().hasAccounts && !route->route.isPublic) {
        // The name of an account does not tell which key the caller presented: it may hold another one by now.
        if (origin.key)
            origin.account = routes_->findAccount(*origin.key);
        if (!origin.account)
            return mayBeInNewerPlan ? notKnownYet
                                    : EarlyRefusal {.status = StatusUnauthorized, .reason = model::Reason::UnknownKey};
    }
    if (request.bodyLength.value_or(0) > bodies_.maxBodyBytes())
        return order == PlanOrder::Older
            ? notKnownYet
            : EarlyRefusal {.status = StatusTooLarge, .reason = model::Reason::BodyTooLarge};
    if (order != PlanOrder::Older)
        return std::nullopt;
    const RequestJudgement judgement = judgementOf(&route->route, origin.account ? &origin.account->account : nullptr);
    if (judgement == origin.plan->judgement)
        return std::nullopt;
    // The newer plan may have taken effect for this caller already.
    return EarlyRefusal {.reason = model::Reason::StaleState, .retryAfter = NotReadyRetryAfter};
}

void RequestRunner::accept(const requests::HttpRequestStarted& request, Timestamp now)
{
    options_.counters.add(model::Counter::Requests);
    Origin origin = originOf(request);
    if (const auto refusal = refusalByState(now))
        return refuseOnArrival(request, nullptr, origin, *refusal, now);
    PlannedRoute* route = routes_->find(requests::firstFieldValue(request.headers, "Host"), request.path);
    if (const auto refusal = refusalByPlan(request, route, origin))
        return refuseOnArrival(request, route, origin, *refusal, now);
    const bool isLarge = route->route.kind == model::RouteKind::LargeRead;
    if (isLarge && !options_.link.canCarry(route->route))
        return refuseOnArrival(
            request, route, origin, {.reason = model::Reason::LinkLimitReached, .retryAfter = DefaultRetryAfter}, now);
    std::unique_ptr<Exchange> newExchange = makeExchange(request, *route, origin, now);
    if (!canCompleteBeforeStop(*newExchange, now))
        return refuseOnArrival(
            request, route, origin, {.reason = model::Reason::Stopping, .retryAfter = StoppingRetryAfter}, now);
    if (request.bodyLength != 0 && !mayFindTarget(*newExchange))
        return refuseOnArrival(
            request, route, origin, {.reason = model::Reason::NoTarget, .retryAfter = UnreachableRetryAfter}, now);
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
    const int status = model::httpStatus(model::Outcome::NotRun, reason);
    rejectFinally(exchange, status, reason, reason == model::Reason::BodyTimeout, now);
}

void RequestRunner::install(std::shared_ptr<const RouteTable> routes)
{
    routes_ = std::move(routes);
    superseded_.onPlan(routes_->planPosition().index);
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
