/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/requestrunner.h"

#include "requests/headerfilter.h"

#include <algorithm>

namespace saltvane::gateway {

namespace {

/// A target is doubted when it takes longer than this many times the slowest answer lately, and than the objective.
constexpr double DoubtFactor = 1.3;
/// A repeat needs at least this much time to be of use.
constexpr Duration LeastTimeToRepeat = 30ms;
/// A connection that rested longer may be about to be closed by the target, and a request lost with it.
constexpr Duration LongestIdle = 4s;
constexpr Duration LongestIdleForOnce = 2s;

/// A connection that rested since before the present start took the address is one of the start before.
constexpr Duration RestPrecision = 1s;

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::max<int64_t>(std::chrono::floor<std::chrono::milliseconds>(duration).count(), 1));
}

} // namespace

RequestRunner::RequestRunner(Options options)
    : options_(std::move(options))
{
}

void RequestRunner::handle(requests::HttpEvent event, Timestamp now)
{
    std::visit([&](const auto& one) { accept(one, now); }, event);
}

void RequestRunner::handle(requests::TargetEvent event, Timestamp now)
{
    std::visit(
        [&](auto& one) {
            if (Exchange* exchange = find(one.dispatch))
                accept(one, *exchange, now);
        },
        event);
}

std::vector<requests::Action> RequestRunner::takeActions() { return std::exchange(actions_, {}); }

Exchange* RequestRunner::find(requests::HttpHandle handle) const
{
    const auto found = exchanges_.find(handle);
    return found == exchanges_.end() ? nullptr : found->second.get();
}

Exchange* RequestRunner::find(requests::DispatchId dispatch) const
{
    const auto found = dispatches_.find(dispatch);
    return found == dispatches_.end() ? nullptr : found->second;
}

void RequestRunner::accept(const requests::HttpRequestAborted& aborted, Timestamp now)
{
    answering_.erase(aborted.handle);
    Exchange* exchange = find(aborted.handle);
    if (exchange == nullptr)
        return;
    options_.onDecided(
        {.exchange = *exchange, .outcome = model::Outcome::Unknown, .reason = model::Reason::ClientGone}, now);
    if (exchange->dispatch.value != 0) {
        noteGivenUp(*exchange, now);
        actions_.emplace_back(requests::TargetCancel {.dispatch = exchange->dispatch});
    }
    giveBackCredit(*exchange, now);
    erase(*exchange);
}

void RequestRunner::accept(const requests::HttpResponseProgress& progress, Timestamp /*now*/)
{
    const Exchange* exchange = find(progress.handle);
    if (exchange != nullptr && exchange->phase == Exchange::Phase::Streaming && exchange->dispatch.value != 0)
        actions_.emplace_back(requests::TargetResponseWindow {.dispatch = exchange->dispatch, .bytes = progress.bytes});
}

void RequestRunner::accept(const requests::HttpResponseDone& done, Timestamp /*now*/) { answering_.erase(done.handle); }

std::variant<Placed, PlacementRefusal> RequestRunner::choose(
    const Exchange& exchange, Timestamp now, bool mayAwaitCredit)
{
    const model::RoutedService* service = routes_->plan().findService(exchange.service);
    if (service == nullptr)
        return PlacementRefusal {.reason = model::Reason::UnknownService, .retryAfter = UsualRetryAfter};
    return options_.placement.choose({.route = exchange.route,
                                         .service = *service,
                                         .account = exchange.account ? &exchange.account->account : nullptr,
                                         .object = exchange.object,
                                         .elapsed = now - exchange.startedAt,
                                         .left = exchange.deadline - now,
                                         .isRepeat = !exchange.tried.empty(),
                                         .isWithoutCredit = !mayAwaitCredit,
                                         .tried = exchange.tried},
        now);
}

void RequestRunner::dispatch(Exchange& exchange, Timestamp now)
{
    if (options_.isWordLate(now))
        return refuse(exchange, model::Reason::StaleState, StartRetryAfter, now);
    if (const std::optional<Duration> wait = options_.quarantine.refusal(exchange.digest, now))
        return refuse(exchange, model::Reason::RequestQuarantined, *wait, now);
    if (!hasCredit(exchange, now))
        return;
    const auto choice = choose(exchange, now);
    if (const auto* refusal = std::get_if<PlacementRefusal>(&choice)) {
        exchange.targetsKnown = refusal->known;
        exchange.targetsUsable = refusal->usable;
        return refuse(exchange, refusal->reason, refusal->retryAfter, now);
    }
    const Placed& placed = std::get<Placed>(choice);
    if (hasTargetCredit(exchange, placed, now))
        send(exchange, placed, now);
}

void RequestRunner::send(Exchange& exchange, const Placed& placed, Timestamp now)
{
    exchange.hasCredit = false;
    GatewayTarget& target = *placed.target;
    const model::RoutedService& service = *routes_->plan().findService(exchange.service);
    exchange.loadAtStart = target.load(now);
    exchange.loadAge = now - target.loadAt;
    exchange.targetAge = now - target.heardAt;
    exchange.limit = target.backpressure.limit;
    if (exchange.limit)
        options_.counters.add(model::Counter::LimitedDispatches);
    options_.targets.noteSent(target, service, now);
    options_.split.noteUsed(service.name);
    options_.counters.add(model::Counter::Dispatches);
    exchange.phase = Exchange::Phase::AwaitingHead;
    exchange.dispatch = {++lastDispatch_};
    exchange.target = target.start();
    exchange.tried.push_back(target.id());
    exchange.sentAt = now;
    dispatches_.emplace(exchange.dispatch, &exchange);

    options_.placement.noteSent(service.name, placed);
    exchange.choice = placed.choice;
    exchange.isLikelyWarm = placed.isLikelyWarm;
    const double slowest = toSeconds(options_.placement.workTimes().ofService(service.name).slowest);
    const double patience = std::max(slowest * DoubtFactor, toSeconds(exchange.route.objective));
    doubtAt(exchange, now + fromSeconds(patience));

    const Duration idleLimit = exchange.route.kind == model::RouteKind::AtMostOnce ? LongestIdleForOnce : LongestIdle;
    const Duration heldFor = now - target.addressSince;
    std::vector<model::Header> headers = exchange.headers;
    headers.push_back({.name = options_.headers.deadline, .value = millisecondsText(exchange.deadline - now)});
    headers.push_back({.name = options_.headers.expectedTarget, .value = target.id().value()});
    actions_.emplace_back(requests::TargetStart {.dispatch = exchange.dispatch,
        .target = target.id(),
        .address = target.record.address,
        .method = exchange.method,
        .path = exchange.path,
        .headers = std::move(headers),
        .bodyLength = exchange.body.size(),
        .isRepeatable = exchange.route.kind != model::RouteKind::AtMostOnce,
        .reuseIdleLimit = std::min(idleLimit, std::max(heldFor - RestPrecision, RestPrecision)),
        .needsNewConnection = heldFor < RestPrecision * 2,
        .echoedHeader = options_.headers.requestId});
    if (!exchange.body.empty())
        actions_.emplace_back(
            requests::TargetRequestBody {.dispatch = exchange.dispatch, .bytes = exchange.body, .isLast = true});
}

void RequestRunner::releaseTarget(Exchange& exchange)
{
    if (exchange.dispatch.value == 0)
        return;
    dispatches_.erase(exchange.dispatch);
    doubts_.erase({exchange.checkAt, exchange.handle});
    exchange.dispatch = {};
    GatewayTarget* target = options_.targets.find(exchange.target);
    if (target != nullptr)
        TargetSet::noteReleased(*target);
}

void RequestRunner::doubtAt(Exchange& exchange, Timestamp at)
{
    doubts_.erase({exchange.checkAt, exchange.handle});
    exchange.checkAt = at;
    if (at < exchange.deadline)
        doubts_.emplace(at, exchange.handle);
}

bool RequestRunner::mayTryElsewhere(const Exchange& exchange, Timestamp now)
{
    const bool mayRepeat = exchange.route.kind != model::RouteKind::AtMostOnce || !exchange.mayHaveRun;
    if (!mayRepeat || exchange.tried.size() >= exchange.route.attempts)
        return false;
    if (exchange.targetsLost >= Quarantine::MostLostToARepeat || !options_.quarantine.mayRepeat(exchange.digest))
        return false;
    return exchange.deadline - now >= LeastTimeToRepeat && options_.retries.trySpend(exchange.service);
}

void RequestRunner::tryElsewhere(Exchange& exchange, model::Reason reason, Timestamp now)
{
    exchange.lastReason = reason;
    releaseTarget(exchange);
    exchange.answer = {};
    if (mayTryElsewhere(exchange, now)) {
        options_.counters.add(model::Counter::Retries);
        options_.counters.addRetry(reason);
        return dispatch(exchange, now);
    }
    giveUp(exchange, reason, now);
}

void RequestRunner::doubt(Exchange& exchange, Timestamp now)
{
    GatewayTarget* target = options_.targets.find(exchange.target);
    if (target == nullptr)
        return leaveGone(exchange, now);
    // One that answers others is only slow.
    if (target->answeredAt >= exchange.sentAt || options_.isWordLate(now))
        return;
    target->noteFailure(now, false);
    // The target may still answer: it is left only for another one that can take the request.
    const auto choice = choose(exchange, now, false);
    const bool mayRepeat = exchange.route.kind != model::RouteKind::AtMostOnce;
    if (!mayRepeat || std::holds_alternative<PlacementRefusal>(choice) || !mayTryElsewhere(exchange, now))
        return;
    exchange.mayHaveRun = true;
    noteGivenUp(exchange, now);
    exchange.lastReason = model::Reason::TargetStalled;
    actions_.emplace_back(requests::TargetCancel {.dispatch = exchange.dispatch});
    releaseTarget(exchange);
    options_.counters.add(model::Counter::Retries);
    options_.counters.addRetry(model::Reason::TargetStalled);
    if (hasCredit(exchange, now))
        send(exchange, std::get<Placed>(choice), now);
}

void RequestRunner::tick(Timestamp now)
{
    while (!doubts_.empty() && doubts_.begin()->first <= now) {
        const requests::HttpHandle handle = doubts_.begin()->second;
        doubts_.erase(doubts_.begin());
        if (Exchange* exchange = find(handle))
            doubt(*exchange, now);
    }
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        Exchange* exchange = find(deadlines_.begin()->second);
        deadlines_.erase(deadlines_.begin());
        if (exchange == nullptr)
            continue;
        if (exchange->dispatch.value != 0) {
            exchange->mayHaveRun = true;
            noteGivenUp(*exchange, now);
            actions_.emplace_back(requests::TargetCancel {.dispatch = exchange->dispatch});
        }
        if (exchange->isAnswerStarted) {
            abort(*exchange);
            finish(*exchange, {.exchange = *exchange, .reason = model::Reason::DeadlineExceeded}, now);
            continue;
        }
        giveUp(*exchange, model::Reason::DeadlineExceeded, now);
    }
}

} // namespace saltvane::gateway
