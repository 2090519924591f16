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

/// A target is checked when its response takes longer than this multiple of the slowest recent response, and longer
/// than the objective.
constexpr double StallFactor = 1.3;
/// Targets may close connections that were idle for longer, which would lose a request that was just sent.
constexpr Duration MaxIdle = 4s;
constexpr Duration MaxIdleForAtMostOnce = 2s;

/// Callers count their deadline from when they send a request, so that they leave up to this long before the deadline
/// here, which counts from when the request was read.
constexpr Duration MaxReadDelay = 250ms;

/// A connection that was idle since before the present incarnation took the address belongs to the previous one.
constexpr Duration IdlePrecision = 1s;
/// Slow responses are probed for a slow start where a target gets this fraction of what it bears in one. The rate is
/// estimated from the target's momentary load, which varies.
constexpr double ProbedRateFraction = 0.5;
/// A target is also probed once so many of its requests in flight are late. Usually a quarter of all requests become
/// late, most of them shortly before their responses.
constexpr uint32_t MinLateRequests = 2;
constexpr double LateFraction = 0.25;
/// Spreads consecutive numbers over all hashes (the golden ratio).
constexpr uint64_t HashMultiplier = 0x9e3779b97f4a7c15;

} // namespace

std::string RequestRunner::millisecondsText(Duration duration)
{
    return std::to_string(std::max<int64_t>(std::chrono::floor<std::chrono::milliseconds>(duration).count(), 1));
}

RequestRunner::RequestRunner(Options options)
    : options_(std::move(options))
    , bodies_(options_.bodyBudget)
{
}

void RequestRunner::handle(requests::HttpEvent event, Timestamp now)
{
    std::visit([&](const auto& item) { accept(item, now); }, event);
}

void RequestRunner::handle(requests::TargetEvent event, Timestamp now)
{
    std::visit(
        [&](auto& item) {
            if (Exchange* exchange = find(item.dispatch))
                accept(item, *exchange, now);
        },
        event);
    leaveUnreachableTargets(now);
}

std::vector<requests::Action> RequestRunner::drainActions() { return std::exchange(actions_, {}); }

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
    pendingResponses_.erase(aborted.handle);
    Exchange* exchange = find(aborted.handle);
    if (exchange == nullptr)
        return;
    options_.onDecided(
        {.exchange = *exchange, .outcome = model::Outcome::Unknown, .reason = model::Reason::ClientGone}, now);
    if (exchange->dispatch.value != 0) {
        const bool hasWaitedUntilDeadline = exchange->deadline - now <= MaxReadDelay;
        if (hasWaitedUntilDeadline && isResponseOverdue(*exchange, now))
            recordBrokenResponse(*exchange, now);
        recordUnfinishedResponse(*exchange, now);
        onRunAbandoned(*exchange, now);
        actions_.emplace_back(requests::TargetCancel {.dispatch = exchange->dispatch});
    }
    returnUnusedCredit(*exchange, now);
    erase(*exchange);
}

void RequestRunner::accept(const requests::HttpResponseProgress& progress, Timestamp now)
{
    Exchange* exchange = find(progress.handle);
    if (exchange == nullptr || exchange->phase != Exchange::Phase::Streaming || exchange->dispatch.value == 0)
        return;
    exchange->bytesReadByCaller += progress.bytes;
    exchange->callerReadAt = now;
    actions_.emplace_back(requests::TargetResponseWindow {.dispatch = exchange->dispatch, .bytes = progress.bytes});
}

void RequestRunner::accept(const requests::HttpResponseDone& done, Timestamp now)
{
    const auto pending = pendingResponses_.extract(done.handle);
    if (pending.empty() || !pending.mapped())
        return;
    const PendingResponse& response = *pending.mapped();
    options_.placement.recordDelivery(response.service, response.route, now - response.sentAt);
}

std::variant<TargetSelection, PlacementRefusal> RequestRunner::choose(
    const Exchange& exchange, Timestamp now, bool mayAwaitCredit)
{
    const model::RoutedService* service = routes_->plan().findService(exchange.service);
    if (service == nullptr)
        return PlacementRefusal {.reason = model::Reason::UnknownService, .retryAfter = DefaultRetryAfter};
    PlacementQuery query {.route = exchange.route,
        .service = *service,
        .account = exchange.account ? &exchange.account->account : nullptr,
        .object = exchange.object,
        .elapsed = now - exchange.startedAt,
        .remaining = exchange.deadline - now,
        .isRetry = !exchange.attemptedTargets.empty(),
        .needsNoCredit = !mayAwaitCredit,
        .attemptedTargets = exchange.attemptedTargets};
    if (!query.isRetry && isForNewVersion(exchange, now)) {
        query.role = VersionRole::Trial;
        const auto choice = options_.placement.choose(query, now);
        if (std::holds_alternative<TargetSelection>(choice))
            return choice;
        query.role = VersionRole::Serving;
    }
    return options_.placement.choose(query, now);
}

bool RequestRunner::isForNewVersion(const Exchange& exchange, Timestamp now) const
{
    const RolloutTable& rollouts = options_.targets.rollouts();
    return rollouts.isUnderWay(exchange.service)
        && rollouts.mayUseTrial(exchange.service, exchange.object.value_or(exchange.handle.value * HashMultiplier),
            options_.isRegistryCurrent(now), now);
}

void RequestRunner::startComparison(Exchange& exchange, const GatewayTarget& target, Timestamp now)
{
    RolloutTable& rollouts = options_.targets.rollouts();
    exchange.isCompared = rollouts.isUnderWay(exchange.service);
    if (!exchange.isCompared)
        return;
    exchange.versionRole = rollouts.roleOf(exchange.service, target.record.version, now);
    rollouts.recordSent(exchange.service, exchange.versionRole);
    if (target.isSlowStarting(now))
        exchange.isCompared = false;
}

void RequestRunner::recordAnswer(Exchange& exchange, std::optional<Duration> time)
{
    if (!std::exchange(exchange.isCompared, false))
        return;
    options_.targets.rollouts().recordAnswer(
        {.service = exchange.service, .route = exchange.route.name, .role = exchange.versionRole, .time = time});
}

void RequestRunner::dispatch(Exchange& exchange, Timestamp now)
{
    if (options_.isRegistryLate(now))
        return refuse(exchange, model::Reason::StaleState, NotReadyRetryAfter, now);
    if (!canCompleteBeforeStop(exchange, now))
        return refuse(exchange, model::Reason::Stopping, StoppingRetryAfter, now);
    if (const std::optional<Duration> wait = options_.quarantine.retryDelay(exchange.digest, now))
        return refuse(exchange, model::Reason::RequestQuarantined, *wait, now);
    if (!options_.reachability.isReachable() || isSuperseded(exchange))
        return forward(exchange, now);
    if (!tryAcquireCredit(exchange, now))
        return;
    const auto choice = choose(exchange, now);
    if (const auto* refusal = std::get_if<PlacementRefusal>(&choice)) {
        exchange.targetsKnown = refusal->known;
        exchange.targetsUsable = refusal->usable;
        const bool mayPeerServe = refusal->ejected > 0 || refusal->unconfirmed > 0;
        if (mayPeerServe && tryForward(exchange, now))
            return;
        return refuse(exchange, refusal->reason, refusal->retryAfter, now);
    }
    const TargetSelection& selection = std::get<TargetSelection>(choice);
    if (tryAcquireTargetCredit(exchange, selection, now))
        send(exchange, selection, now);
}

void RequestRunner::send(Exchange& exchange, const TargetSelection& selection, Timestamp now)
{
    exchange.hasCredit = false;
    GatewayTarget& target = *selection.target;
    const model::RoutedService& service = *routes_->plan().findService(exchange.service);
    const Duration expectedDuration = options_.placement.expectedDuration(selection, now);
    exchange.loadAtSend = target.load(now);
    exchange.loadAge = now - target.loadUpdatedAt;
    exchange.orders = options_.targets.orders().index;
    exchange.targetAge = now - target.lastReportAt;
    exchange.limit = target.backpressure.limit;
    if (exchange.limit)
        options_.counters.add(model::Counter::LimitedDispatches);
    exchange.sendLimit = options_.targets.limitOf(target, now);
    if (exchange.sendLimit == SendLimit::SlowStart)
        options_.counters.add(model::Counter::SlowStartDispatches);
    else if (exchange.sendLimit == SendLimit::Unconfirmed)
        options_.counters.add(model::Counter::UnconfirmedDispatches);
    startComparison(exchange, target, now);
    options_.targets.recordSent(target, service, now);
    options_.split.recordUse(service.name);
    options_.counters.add(model::Counter::Dispatches);
    exchange.phase = Exchange::Phase::AwaitingHead;
    exchange.dispatch = {++lastDispatch_};
    exchange.isAtPeer = false;
    exchange.target = target.targetIncarnation();
    exchange.targetAddress = target.record.address;
    exchange.attemptedTargets.push_back(target.id());
    exchange.sentAt = now;
    exchange.firstByteAt.reset();
    exchange.isResponseBroken = false;
    exchange.isResponseOverlong = false;
    exchange.usesTargetCredit = exchange.limit.has_value();
    exchange.wasBlamed = options_.quarantine.isBlamed(exchange.digest);
    dispatches_.emplace(exchange.dispatch, &exchange);

    options_.placement.recordSent(service.name, selection);
    exchange.choice = selection.choice;
    exchange.isLikelyWarm = selection.isLikelyWarm;
    exchange.isForCorrection = selection.isForCorrection;
    const double slowest = toSeconds(options_.placement.processingTimes().ofService(service.name).slowest);
    const double stallTimeout = std::max(slowest * StallFactor, toSeconds(exchange.route.objective));
    exchange.expectedDuration = expectedDuration;
    exchange.stalledAt = now + fromSeconds(stallTimeout);
    scheduleChecks(exchange, target, service);

    const bool isRepeatable = exchange.route.kind != model::RouteKind::AtMostOnce;
    const Duration idleLimit = isRepeatable ? MaxIdle : MaxIdleForAtMostOnce;
    const Duration addressAge = now - target.addressSince;
    std::vector<model::Header> headers = exchange.headers;
    headers.push_back({.name = options_.headers.deadline, .value = millisecondsText(exchange.deadline - now)});
    headers.push_back({.name = options_.headers.expectedTarget, .value = target.id().value()});
    actions_.emplace_back(requests::TargetStart {.dispatch = exchange.dispatch,
        .target = target.id(),
        .address = target.record.address,
        .method = exchange.method,
        .path = exchange.path,
        .headers = std::move(headers),
        .bodyLength = exchange.body.bytes.size(),
        .isRepeatable = isRepeatable,
        .maxReuseIdleTime = std::min(idleLimit, std::max(addressAge - IdlePrecision, IdlePrecision)),
        .needsNewConnection = addressAge < IdlePrecision * 2,
        .needsExclusiveConnection = target.needsExclusiveConnection(isRepeatable, now),
        .echoedHeader = options_.headers.requestId,
        .deadlineHeader = options_.headers.deadline,
        .deadline = exchange.deadline,
        .caller = exchange.handle});
    if (!exchange.body.bytes.empty())
        actions_.emplace_back(
            requests::TargetRequestBody {.dispatch = exchange.dispatch, .bytes = exchange.body.bytes, .isLast = true});
}

void RequestRunner::releaseTarget(Exchange& exchange)
{
    if (exchange.dispatch.value == 0)
        return;
    dispatches_.erase(exchange.dispatch);
    checks_.erase({exchange.nextCheckAt, exchange.handle});
    clearLate(exchange);
    exchange.dispatch = {};
    if (exchange.isAtPeer) {
        if (Peer* peer = options_.peers.find(exchange.peer); peer != nullptr && peer->inFlight > 0)
            --peer->inFlight;
        return;
    }
    GatewayTarget* target = options_.targets.find(exchange.target);
    if (target == nullptr)
        return;
    // It may have been removed and listed again since.
    if (std::exchange(exchange.isResponseOverlong, false) && target->overlongResponses > 0)
        --target->overlongResponses;
    TargetSet::recordReleased(*target);
}

void RequestRunner::scheduleStallCheck(Exchange& exchange, Timestamp at)
{
    exchange.stalledAt = at;
    scheduleCheck(exchange, at);
}

void RequestRunner::scheduleCheck(Exchange& exchange, Timestamp at)
{
    checks_.erase({exchange.nextCheckAt, exchange.handle});
    exchange.nextCheckAt = at;
    if (at < exchange.deadline)
        checks_.emplace(at, exchange.handle);
}

bool RequestRunner::isProbedForSlowStart(
    const Exchange& exchange, const GatewayTarget& target, const model::RoutedService& service) const
{
    const double expected = toSeconds(exchange.expectedDuration);
    if (exchange.sendLimit != SendLimit::None || service.slowStartPerSecond <= 0 || expected <= 0)
        return false;
    const double requestsPerSecond = target.load(exchange.sentAt) / expected; // Little's law.
    return requestsPerSecond >= ProbedRateFraction * options_.targets.bearableRequests(service);
}

void RequestRunner::scheduleChecks(Exchange& exchange, const GatewayTarget& target, const model::RoutedService& service)
{
    exchange.slowAt = exchange.stalledAt;
    const std::optional<double> slowest = target.responseTimes.slowest();
    if (!slowest || !isProbedForSlowStart(exchange, target, service))
        return scheduleCheck(exchange, exchange.stalledAt);
    const auto responseTime
        = [&](double multiple) { return fromSeconds(toSeconds(exchange.expectedDuration) * multiple); };
    exchange.slowAt = std::min(exchange.stalledAt, exchange.sentAt + responseTime(*slowest));
    const Timestamp lateAt = exchange.sentAt + responseTime(target.responseTimes.upperQuartile());
    scheduleCheck(exchange, std::min(exchange.slowAt, lateAt));
}

void RequestRunner::checkResponse(Exchange& exchange, Timestamp now)
{
    if (exchange.phase == Exchange::Phase::Streaming)
        checkStreamed(exchange, now);
    else if (now < exchange.stalledAt)
        onSlowResponse(exchange, now);
    else
        checkStalled(exchange, now);
}

void RequestRunner::onSlowResponse(Exchange& exchange, Timestamp now)
{
    const bool isSlow = now >= exchange.slowAt;
    scheduleCheck(exchange, isSlow ? exchange.stalledAt : exchange.slowAt);
    GatewayTarget* target = options_.targets.find(exchange.target);
    // It may have entered a slow start since its last report; its answer to a probe tells.
    if (target != nullptr && (isSlow || recordLate(exchange, *target)))
        options_.quarantine.probe(*target, now);
}

bool RequestRunner::recordLate(Exchange& exchange, GatewayTarget& target)
{
    exchange.isLate = true;
    ++target.lateRequests;
    return target.lateRequests >= MinLateRequests && target.lateRequests >= LateFraction * target.inFlight
        && target.responseTimes.tryCheckLateness();
}

void RequestRunner::clearLate(Exchange& exchange)
{
    if (!std::exchange(exchange.isLate, false))
        return;
    GatewayTarget* target = options_.targets.find(exchange.target);
    if (target != nullptr && target->lateRequests > 0)
        --target->lateRequests;
}

bool RequestRunner::mayRetryElsewhere(const Exchange& exchange, Timestamp now)
{
    const bool mayRetry = exchange.route.kind != model::RouteKind::AtMostOnce || !exchange.mayHaveRun;
    if (!mayRetry || exchange.attemptedTargets.size() >= exchange.maxAttempts || !canCompleteBeforeStop(exchange, now))
        return false;
    if (exchange.targetsLost >= Quarantine::MaxLostTargetsForRetry || !options_.quarantine.mayRetry(exchange.digest))
        return false;
    return exchange.deadline - now >= MinTimeToRetry && options_.retries.trySpend(exchange.service);
}

void RequestRunner::retryElsewhere(Exchange& exchange, model::Reason reason, Timestamp now)
{
    exchange.lastReason = reason;
    releaseTarget(exchange);
    exchange.response = {};
    const bool isUnsent = reason == model::Reason::ConnectFailed && !exchange.mayHaveRun;
    if (isUnsent && !options_.reachability.isReachable())
        return forward(exchange, now);
    if (mayRetryElsewhere(exchange, now)) {
        options_.counters.add(model::Counter::Retries);
        options_.counters.addRetry(reason);
        return dispatch(exchange, now);
    }
    if (isUnsent && tryForward(exchange, now))
        return;
    fail(exchange, reason, now);
}

void RequestRunner::checkStalled(Exchange& exchange, Timestamp now)
{
    if (exchange.isAtPeer)
        return checkPeerStalled(exchange, now);
    GatewayTarget* target = options_.targets.find(exchange.target);
    if (target == nullptr)
        return abandonStopped(exchange, now);
    if (options_.isRegistryLate(now))
        return;
    if (exchange.phase == Exchange::Phase::ReceivingResponse) {
        recordBrokenResponse(exchange, now);
    } else {
        // A target that answers other requests is only slow.
        if (target->answeredAt >= exchange.sentAt)
            return;
        target->onFailure(now, false);
        recordTargetFailure(*target, TargetReachability::Failure::Response, exchange.sentAt, now);
    }
    if (!options_.reachability.isReachable()) {
        (void)tryForwardAgain(exchange, model::Reason::TargetStalled, now);
        return;
    }
    // The target may still answer: the request moves only to another target that can take it.
    const auto choice = choose(exchange, now, false);
    const bool mayRetry = exchange.route.kind != model::RouteKind::AtMostOnce;
    if (!mayRetry || std::holds_alternative<PlacementRefusal>(choice) || !mayRetryElsewhere(exchange, now))
        return;
    recordAnswer(exchange, now - exchange.sentAt);
    exchange.recordPossibleRun();
    onRunAbandoned(exchange, now);
    exchange.lastReason = model::Reason::TargetStalled;
    actions_.emplace_back(requests::TargetCancel {.dispatch = exchange.dispatch});
    releaseTarget(exchange);
    options_.counters.add(model::Counter::Retries);
    options_.counters.addRetry(model::Reason::TargetStalled);
    if (tryAcquireCredit(exchange, now))
        send(exchange, std::get<TargetSelection>(choice), now);
}

void RequestRunner::tick(Timestamp now)
{
    while (!checks_.empty() && checks_.begin()->first <= now) {
        const requests::HttpHandle handle = checks_.begin()->second;
        checks_.erase(checks_.begin());
        if (Exchange* exchange = find(handle))
            checkResponse(*exchange, now);
    }
    leaveUnreachableTargets(now);
    bodies_.tick(now);
    applyBodyResults(now);
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        Exchange* exchange = find(deadlines_.begin()->second);
        deadlines_.erase(deadlines_.begin());
        if (exchange == nullptr)
            continue;
        if (exchange->dispatch.value != 0) {
            if (isResponseOverdue(*exchange, now))
                recordBrokenResponse(*exchange, now);
            recordUnfinishedResponse(*exchange, now);
            recordAnswer(*exchange, now - exchange->sentAt);
            exchange->recordPossibleRun();
            onRunAbandoned(*exchange, now);
            actions_.emplace_back(requests::TargetCancel {.dispatch = exchange->dispatch});
        }
        if (exchange->isResponseStarted) {
            abort(*exchange);
            finish(*exchange, {.exchange = *exchange, .reason = model::Reason::DeadlineExceeded}, now);
            continue;
        }
        fail(*exchange, model::Reason::DeadlineExceeded, now);
    }
}

} // namespace saltvane::gateway
