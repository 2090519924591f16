/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/requestrunner.h"
#include "requests/headerfilter.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

/// RequestRunner: requests that are forwarded to another gateway, since this one does not reach their targets
/// (docs/design/0021-isolated-gateways.md).
namespace saltvane::gateway {

namespace {

/// Peers to which one request is sent, one after the other.
constexpr size_t MaxPeersPerRequest = 3;
/// Well below the time for which gateways keep idle connections of callers.
constexpr Duration MaxPeerIdle = 2s;
constexpr double MaxRetryAfterSeconds = 60;
constexpr int FirstServerErrorStatus = 500;

/// Whether a peer refused the request finally, by what its plan says of it.
bool isRejectionByPlan(const requests::TargetResponseHead& head, model::Reason reason)
{
    static constexpr std::array Reasons {
        model::Reason::UnknownService, model::Reason::UnknownKey, model::Reason::BodyTooLarge};
    return head.status < FirstServerErrorStatus && std::ranges::find(Reasons, reason) != Reasons.end();
}

/// Whether another gateway may be able to serve what one refused for this reason.
bool concernsPeerOnly(model::Reason reason)
{
    static constexpr std::array Reasons {model::Reason::NotReady, model::Reason::Stopping, model::Reason::StaleState,
        model::Reason::NoTarget, model::Reason::ConnectFailed, model::Reason::UnknownService, model::Reason::UnknownKey,
        model::Reason::TooManyConnections, model::Reason::LinkLimitReached, model::Reason::NoMemory};
    return std::ranges::find(Reasons, reason) != Reasons.end();
}

Duration retryAfterOf(const requests::TargetResponseHead& head)
{
    const std::string_view text = requests::firstFieldValue(head.headers, requests::RetryAfterHeader);
    double seconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    const bool isValid = parsed.ec == std::errc {} && seconds >= 0 && seconds <= MaxRetryAfterSeconds;
    return isValid ? fromSeconds(seconds) : RequestRunner::DefaultRetryAfter;
}

} // namespace

void RequestRunner::forward(Exchange& exchange, Timestamp now)
{
    if (!canCompleteBeforeStop(exchange, now))
        return refuse(exchange, model::Reason::Stopping, StoppingRetryAfter, now);
    if (tryForward(exchange, now))
        return;
    if (isSuperseded(exchange))
        return refuse(exchange, model::Reason::StaleState, NotReadyRetryAfter, now);
    refuse(exchange, model::Reason::NoTarget, UnreachableRetryAfter, now);
}

Peer* RequestRunner::choosePeer(const Exchange& exchange, uint32_t possibleRuns, Timestamp now)
{
    const uint32_t maxRuns = exchange.route.kind == model::RouteKind::AtMostOnce ? 1 : exchange.maxAttempts;
    if (exchange.isForwarded || possibleRuns >= maxRuns || exchange.attemptedPeers.size() >= MaxPeersPerRequest
        || !canCompleteBeforeStop(exchange, now))
        return nullptr;
    PeerSet::Query query {.routeRegions = exchange.route.permittedRegions, .attempted = exchange.attemptedPeers};
    if (exchange.account)
        query.accountRegions = exchange.account->account.permittedRegions;
    return options_.peers.choose(query, now);
}

bool RequestRunner::tryForward(Exchange& exchange, Timestamp now)
{
    Peer* peer = choosePeer(exchange, exchange.possibleRuns, now);
    if (peer == nullptr)
        return false;
    // The peer takes its own credits for the run.
    returnUnusedCredit(exchange, now);
    exchange.hasCredit = false;
    sendTo(*peer, exchange, now);
    return true;
}

void RequestRunner::sendTo(Peer& peer, Exchange& exchange, Timestamp now)
{
    options_.counters.add(model::Counter::ForwardsSent);
    ++peer.inFlight;
    exchange.phase = Exchange::Phase::AwaitingHead;
    exchange.dispatch = {++lastDispatch_};
    exchange.isAtPeer = true;
    exchange.peer = peer.record.host;
    exchange.attemptedPeers.push_back(peer.record.host);
    exchange.target = {};
    exchange.sentAt = now;
    exchange.firstByteAt.reset();
    exchange.usesTargetCredit = false;
    exchange.isCompared = false;
    exchange.wasBlamed = options_.quarantine.isBlamed(exchange.digest);
    dispatches_.emplace(exchange.dispatch, &exchange);
    const Duration slowest = options_.placement.processingTimes().ofService(exchange.service).slowest;
    scheduleStallCheck(exchange, now + std::max(slowest, exchange.route.objective) * 2);

    std::vector<model::Header> headers = exchange.headers;
    const ForwardedHeaderCodec::Request bound {.id = exchange.id.value(),
        .clientAccount = requests::firstFieldValue(exchange.headers, options_.headers.clientAccount),
        .method = exchange.method,
        .host = requests::firstFieldValue(exchange.headers, "Host"),
        .path = exchange.path};
    headers.push_back({.name = std::string(ForwardedHeader),
        .value = options_.forwardedHeader.encode(
            {.attempts = exchange.maxAttempts - exchange.possibleRuns, .elapsed = now - exchange.startedAt}, bound)});
    headers.push_back({.name = std::string(ForwardedPlanHeader),
        .value = options_.forwardedHeader.encodePlan(
            {.planIndex = exchange.planIndex, .judgement = exchange.judgement(), .key = exchange.key}, bound)});
    headers.push_back({.name = options_.headers.deadline, .value = millisecondsText(exchange.deadline - now)});
    actions_.emplace_back(requests::TargetStart {.dispatch = exchange.dispatch,
        .target = TargetId(peer.record.host.value()),
        .address = peer.record.frontAddress,
        .method = exchange.method,
        .path = exchange.path,
        .headers = std::move(headers),
        .bodyLength = exchange.body.bytes.size(),
        .isRepeatable = exchange.route.kind != model::RouteKind::AtMostOnce,
        .maxReuseIdleTime = MaxPeerIdle,
        // Without an id, the response is known by its connection only.
        .needsNewConnection = exchange.id.isEmpty(),
        .echoedHeader = options_.headers.requestId,
        .deadlineHeader = options_.headers.deadline,
        .deadline = exchange.deadline,
        .caller = exchange.handle});
    if (!exchange.body.bytes.empty())
        actions_.emplace_back(
            requests::TargetRequestBody {.dispatch = exchange.dispatch, .bytes = exchange.body.bytes, .isLast = true});
}

void RequestRunner::addForwardedPlan(std::vector<model::Header>& headers, const Exchange& exchange) const
{
    headers.push_back({.name = std::string(ForwardedPlanHeader),
        .value = options_.forwardedHeader.encodePlan(
            {.planIndex = exchange.planIndex, .judgement = exchange.judgement()}, {.id = exchange.id.value()})});
}

void RequestRunner::onPeerHead(requests::TargetResponseHead& head, Exchange& exchange, Timestamp now)
{
    const std::optional<ForwardedPlan> plan = options_.forwardedHeader.decodePlan(
        requests::firstFieldValue(head.headers, ForwardedPlanHeader), {.id = exchange.id.value()});
    exchange.peerPlanIndex = plan ? std::optional(plan->planIndex) : std::nullopt;
    const std::string_view reasonText = requests::firstFieldValue(head.headers, requests::ReasonHeader);
    const bool isError = !reasonText.empty();
    const std::string_view id = requests::firstFieldValue(head.headers, options_.headers.requestId);
    const bool isNamed = !exchange.id.isEmpty() && id == exchange.id.value();
    // Gateways of the version before leave the id out of their errors. On a connection that carried no earlier request
    // there is no other request that such an error could belong to.
    const bool mayBeUnnamed = isError || exchange.id.isEmpty();
    const bool isOnlyRequest = mayBeUnnamed && id.empty() && head.isNewConnection;
    if (!isNamed && !isOnlyRequest) {
        exchange.lastFailure = "answer of another request";
        return onPeerLost(exchange, now);
    }
    if (Peer* peer = options_.peers.find(exchange.peer))
        peer->answeredAt = now;
    if (isError)
        return onPeerError(head, model::reasonFrom(reasonText).value_or(model::Reason::PeerLost), plan, exchange, now);
    if (plan)
        recordPeerPlan(*plan, exchange, now);
    exchange.timeToHead = now - exchange.sentAt;
    options_.latencies.add(exchange.route.kind, Stage::Target, exchange.timeToHead);
    checks_.erase({exchange.nextCheckAt, exchange.handle});
    startResponse(exchange, head);
}

void RequestRunner::recordPeerPlan(const ForwardedPlan& peerPlan, const Exchange& exchange, Timestamp now)
{
    if (peerPlan.planIndex <= std::max(exchange.planIndex, routes_->planPosition().index))
        return;
    const RequestJudgement own = exchange.judgement();
    bool isNew = false;
    if (peerPlan.judgement.route != own.route)
        isNew = superseded_.recordRoute(exchange.route, peerPlan.planIndex);
    if (peerPlan.judgement.account != own.account && exchange.key)
        isNew = superseded_.recordKey(*exchange.key, peerPlan.planIndex) || isNew;
    if (isNew)
        options_.onSuperseded(exchange.route.name, peerPlan.planIndex, now);
}

void RequestRunner::onPeerError(const requests::TargetResponseHead& head, model::Reason reason,
    const std::optional<ForwardedPlan>& plan, Exchange& exchange, Timestamp now)
{
    actions_.emplace_back(requests::TargetCancel {.dispatch = exchange.dispatch});
    releaseTarget(exchange);
    // The reason does not tell: a peer's last attempt may have failed to connect after an earlier one was run.
    const bool isNotRun = head.status < FirstServerErrorStatus || head.status == StatusUnavailable;
    if (!isNotRun) {
        exchange.recordPossibleRun();
        return fail(exchange, reason, now);
    }
    // A peer with an older plan can't tell whether a newer one permits the request.
    if (isRejectionByPlan(head, reason) && plan && plan->planIndex >= exchange.planIndex) {
        recordPeerPlan(*plan, exchange, now);
        return rejectFinally(exchange, head.status, reason, false, now);
    }
    if (!concernsPeerOnly(reason) && !isRejectionByPlan(head, reason))
        return refuse(exchange, reason, retryAfterOf(head), now);
    if (Peer* peer = options_.peers.find(exchange.peer))
        peer->unavailableUntil = now + PeerSet::RefusalBackoff;
    forward(exchange, now);
}

void RequestRunner::onPeerFailed(requests::TargetFailed& failed, Exchange& exchange, Timestamp now)
{
    exchange.lastFailure = std::move(failed.message);
    if (!exchange.isResponseStarted && failed.mayHaveReachedTarget)
        return onPeerLost(exchange, now);
    if (Peer* peer = options_.peers.find(exchange.peer))
        peer->unavailableUntil = now + PeerSet::FailureBackoff;
    if (exchange.isResponseStarted) {
        abort(exchange);
        options_.counters.add(model::Counter::BrokenBodies);
        return finish(exchange, {.exchange = exchange, .reason = model::Reason::PeerLost}, now);
    }
    releaseTarget(exchange);
    forward(exchange, now);
}

void RequestRunner::onPeerLost(Exchange& exchange, Timestamp now)
{
    if (Peer* peer = options_.peers.find(exchange.peer))
        peer->unavailableUntil = now + PeerSet::FailureBackoff;
    exchange.response = {};
    if (tryForwardAgain(exchange, model::Reason::PeerLost, now))
        return;
    actions_.emplace_back(requests::TargetCancel {.dispatch = exchange.dispatch});
    exchange.recordPossibleRun();
    releaseTarget(exchange);
    fail(exchange, model::Reason::PeerLost, now);
}

void RequestRunner::checkPeerStalled(Exchange& exchange, Timestamp now)
{
    Peer* peer = options_.peers.find(exchange.peer);
    // A peer that answers other requests is only slow.
    if (peer != nullptr && peer->answeredAt >= exchange.sentAt)
        return;
    if (peer != nullptr)
        peer->unavailableUntil = now + PeerSet::FailureBackoff;
    (void)tryForwardAgain(exchange, model::Reason::PeerLost, now);
}

bool RequestRunner::tryForwardAgain(Exchange& exchange, model::Reason reason, Timestamp now)
{
    const bool hasPeer = choosePeer(exchange, exchange.possibleRuns + 1, now) != nullptr;
    if (!hasPeer || exchange.deadline - now < MinTimeToRetry || !options_.quarantine.mayRetry(exchange.digest)
        || !options_.retries.trySpend(exchange.service))
        return false;
    exchange.recordPossibleRun();
    exchange.isCompared = false;
    exchange.lastReason = reason;
    actions_.emplace_back(requests::TargetCancel {.dispatch = exchange.dispatch});
    releaseTarget(exchange);
    options_.counters.add(model::Counter::Retries);
    options_.counters.addRetry(reason);
    return tryForward(exchange, now);
}

void RequestRunner::recordTargetFailure(
    const GatewayTarget& target, TargetReachability::Failure failure, Timestamp startedAt, Timestamp now)
{
    if (options_.reachability.recordFailure(target, failure, startedAt, now))
        mustLeaveTargets_ = true;
}

void RequestRunner::leaveUnreachableTargets(Timestamp now)
{
    if (!std::exchange(mustLeaveTargets_, false))
        return;
    std::vector<requests::HttpHandle> waiting;
    for (const auto& [dispatch, exchange] : dispatches_) {
        if (!exchange->isAtPeer && exchange->phase == Exchange::Phase::AwaitingHead)
            waiting.push_back(exchange->handle);
    }
    std::ranges::sort(waiting); // The order of dispatches_ is arbitrary.
    for (const requests::HttpHandle handle : waiting) {
        Exchange& exchange = *find(handle);
        if (exchange.firstByteAt) {
            // Its connection may still work. It is not waited for longer than for the objective.
            scheduleStallCheck(
                exchange, std::min(exchange.stalledAt, std::max(now, exchange.sentAt + exchange.route.objective)));
            continue;
        }
        actions_.emplace_back(requests::TargetCancel {.dispatch = exchange.dispatch});
        releaseUnsent(exchange, now);
        forward(exchange, now);
    }
}

} // namespace saltvane::gateway
