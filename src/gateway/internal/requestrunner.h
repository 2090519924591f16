/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/backpressuremonitor.h"
#include "gateway/internal/bodyextents.h"
#include "gateway/internal/bodyreceiver.h"
#include "gateway/internal/exchange.h"
#include "gateway/internal/forwardedheader.h"
#include "gateway/internal/limitcredits.h"
#include "gateway/internal/linkbudget.h"
#include "gateway/internal/peerset.h"
#include "gateway/internal/placement.h"
#include "gateway/internal/quarantine.h"
#include "gateway/internal/requestlatencies.h"
#include "gateway/internal/retryallowance.h"
#include "gateway/internal/supersededrules.h"
#include "gateway/internal/targetreachability.h"
#include "gateway/internal/targetset.h"
#include "host/hosttypes.h"
#include "model/counters.h"
#include "settings/routedhostsettings.h"

#include <map>
#include <memory>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace saltvane::gateway {

// Statuses that tell callers that the request was not run and may be sent again.
inline constexpr int StatusUnavailable = 503;
inline constexpr int StatusTooManyRequests = 429;
/// A small response that has not ended this long after its head has stalled. If the head is more recent than this at
/// the deadline, the response is late, but the target is not to blame.
inline constexpr Duration MinBodyTime = 500ms;

/// Outcome of one request, for the log.
struct Decision {
    const Exchange& exchange;
    model::Outcome outcome = model::Outcome::Unknown;
    model::Reason reason = model::Reason::None;
    int status = 0;
};

/// Processes callers' requests: body, target selection, dispatch, retries, response and time limits.
class RequestRunner {
public:
    struct Options {
        settings::HeaderNames headers;
        DigestKey digestKey;
        TargetSet& targets;
        Placement& placement;
        RegionSplit& split;
        RetryAllowance& retries;
        Quarantine& quarantine;
        TargetReachability& reachability;
        PeerSet& peers;
        ForwardedHeaderCodec forwardedHeader;
        const ClientKeyHasher& keyHasher;
        BackpressureMonitor& backpressure;
        model::Counters& counters;
        RequestLatencies& latencies;
        LinkBudget& link;
        BodyBudget& bodyBudget;
        LimitCredits& credits;
        /// Whether the state of targets and the plan is too old to send requests by.
        std::function<bool(Timestamp)> isRegistryLate;
        /// Whether that state is known to be current.
        std::function<bool(Timestamp)> isRegistryCurrent;
        std::function<void(const Decision&, Timestamp)> onDecided;
        /// A target answered something.
        std::function<void(bool isNewConnection, Timestamp)> onTargetAnswered;
        /// A peer has shown that a newer plan changes this route, or one of its callers' accounts.
        std::function<void(const model::RouteName&, LogIndex newerPlan, Timestamp)> onSuperseded;
        /// A target or, with an empty id, a peer sent bytes that no request waited for.
        std::function<void(const model::TargetIncarnation&, Timestamp)> onSurplusBytes;
    };
    explicit RequestRunner(Options options);

    static constexpr Duration DefaultRetryAfter = 200ms;
    /// A retry with less time left is of no use.
    static constexpr Duration MinTimeToRetry = 30ms;
    /// Retry delay while the gateway has no plan or its registry information is late. A start takes 0.2 to 0.6 s: a
    /// caller that comes back sooner is refused again, and gives up.
    static constexpr Duration NotReadyRetryAfter = 400ms;
    /// Retry delay, and the range over which it is spread, while no memory for bodies is free: bodies that stand still
    /// give way within this time.
    static constexpr Duration NoMemoryRetryAfter = 300ms;
    static constexpr Duration NoMemoryRetrySpread = 400ms;
    /// Retry delay while no target is reachable: probes show within this time that they are again.
    static constexpr Duration UnreachableRetryAfter = 400ms;
    static constexpr Duration StoppingRetryAfter = 50ms; ///< Other gateways serve the caller meanwhile.

    void install(std::shared_ptr<const RouteTable> routes);
    /// Whether a newer plan may be in force. Callers treat "no such route" as final, so a request whose route may exist
    /// in the newer plan only is asked to come back instead.
    void setPlanUncertain(bool isUncertain) { isPlanUncertain_ = isUncertain; }
    /// From now on every response asks the caller to close its connection, and requests that need longer than until
    /// `stopAt` are refused.
    void startLeaving(Timestamp stopAt) { stopAt_ = stopAt; }
    /// From now on new requests are refused, so that those in progress can complete before the process stops.
    void startRefusing() { isRefusing_ = true; }
    /// Answers the callers of all requests whose response has not begun. Returns the number of these requests.
    size_t endRequests(Timestamp now);

    /// Handles incarnations of targets that have stopped, because another one took their id or their address.
    void onTargetsReplaced(std::span<const model::TargetIncarnation> targetIncarnations, Timestamp now);

    /// Continues requests whose credits were granted or refused.
    void onCreditResults(Timestamp now);
    void handle(requests::HttpEvent event, Timestamp now);
    void handle(requests::TargetEvent event, Timestamp now);
    /// The first byte of a request is about to be sent to its target. Returns why it must not be sent any more, or
    /// None.
    [[nodiscard]] model::Reason recheck(requests::DispatchId dispatch, Timestamp now);
    /// Fails requests whose deadline has passed; checks targets that are unresponsive.
    void tick(Timestamp now);
    [[nodiscard]] std::vector<requests::Action> drainActions();
    [[nodiscard]] size_t inFlight() const { return exchanges_.size(); }
    /// Responses that were not delivered to their callers completely.
    [[nodiscard]] size_t pendingResponses() const { return pendingResponses_.size(); }

private:
    using Exchanges = std::unordered_map<requests::HttpHandle, std::unique_ptr<Exchange>>;

    void accept(const requests::HttpRequestStarted& request, Timestamp now);
    void accept(const requests::HttpRequestBody& body, Timestamp now);
    void accept(const requests::HttpRequestAborted& aborted, Timestamp now);
    void accept(const requests::HttpResponseProgress& progress, Timestamp now);
    void accept(const requests::HttpResponseDone& done, Timestamp now);
    void accept(requests::TargetResponseHead& head, Exchange& exchange, Timestamp now);
    void accept(requests::TargetResponseBody& body, Exchange& exchange, Timestamp now);
    void accept(requests::TargetResponseDone& done, Exchange& exchange, Timestamp now);
    void accept(requests::TargetRequestProgress& progress, Exchange& exchange, Timestamp now);
    void accept(requests::TargetFailed& failed, Exchange& exchange, Timestamp now);

    /// The sender of a request: a caller, or a gateway that forwards it.
    struct Origin {
        model::AccountRef account; ///< Null if the route requires no account.
        std::optional<ClientKeyDigest> key; ///< Of the key that the caller presented, if it was exactly one.
        std::optional<ForwardedInfo> forwarded; ///< Set if another gateway forwarded it.
        /// By which plan that gateway judged it; none from gateways of earlier versions, which state none.
        std::optional<ForwardedPlan> plan;
    };
    [[nodiscard]] Origin originOf(const requests::HttpRequestStarted& request) const;
    /// How the plan in force compares with the one by which the forwarding gateway judged the request.
    enum class PlanOrder { Unknown, Older, Same, Newer };
    [[nodiscard]] PlanOrder planOrder(const Origin& origin) const;
    [[nodiscard]] std::unique_ptr<Exchange> makeExchange(
        const requests::HttpRequestStarted& request, PlannedRoute& route, const Origin& origin, Timestamp now) const;
    /// The digest of the client key in the request's headers; none if there is not exactly one key.
    [[nodiscard]] std::optional<ClientKeyDigest> presentedKeyOf(const requests::HttpRequestStarted& request) const;
    /// The limit of the request's account by the plan in force; none if the plan sets none.
    [[nodiscard]] std::optional<model::AccountLimitNotice> accountLimitOf(const Exchange& exchange) const;
    /// Returns false if the request has to wait for a credit of its account's limit.
    [[nodiscard]] bool tryAcquireCredit(Exchange& exchange, Timestamp now);
    /// Returns false if the request has to wait for a credit of the limit that this target stated.
    [[nodiscard]] bool tryAcquireTargetCredit(Exchange& exchange, const TargetSelection& selection, Timestamp now);
    void onTargetCreditResult(Exchange& exchange, const LimitCredits::CreditResult& result, Timestamp now);
    /// Opens windows of bodies, and refuses the requests whose bodies were given up.
    void applyBodyResults(Timestamp now);
    /// The body can't be received.
    void refuseBody(Exchange& exchange, model::Reason reason, Timestamp now);
    /// Whether the request may be dispatched or forwarded once its body is complete.
    [[nodiscard]] bool mayFindTarget(const Exchange& exchange) const;
    /// The request was received completely.
    void start(Exchange& exchange, Timestamp now);
    /// Selects a target and sends the request; refuses it if no target is available.
    void dispatch(Exchange& exchange, Timestamp now);
    /// `mayAwaitCredit`: targets with a limit may be selected.
    [[nodiscard]] std::variant<TargetSelection, PlacementRefusal> choose(
        const Exchange& exchange, Timestamp now, bool mayAwaitCredit = true);
    /// Whether a rollout assigns the request to the new version of its service.
    [[nodiscard]] bool isForNewVersion(const Exchange& exchange, Timestamp now) const;
    void send(Exchange& exchange, const TargetSelection& selection, Timestamp now);
    /// The value of the deadline header: whole milliseconds, at least 1.
    [[nodiscard]] static std::string millisecondsText(Duration duration);
    /// Records the target's version for the rollout of the service.
    void startComparison(Exchange& exchange, const GatewayTarget& target, Timestamp now);
    /// Counts the answer for the rollout of its service. `time`: its processing time; no value: it failed.
    void recordAnswer(Exchange& exchange, std::optional<Duration> time);
    /// Whether a request that is dispatched now can be expected to complete before this gateway stops.
    [[nodiscard]] bool canCompleteBeforeStop(const Exchange& exchange, Timestamp now) const;
    /// Until its response is complete, or its deadline.
    [[nodiscard]] Duration timeNeeded(const Exchange& exchange, Timestamp now) const;
    /// Abandons the request and tells its caller whether it may have been run.
    void endRequest(Exchange& exchange, Timestamp now);
    /// Why a request that was dispatched must not be sent any more, or None.
    [[nodiscard]] model::Reason reasonToWithhold(const Exchange& exchange, Timestamp now) const;
    /// The request was withheld: no byte of it was sent to the selected target.
    void onWithheld(Exchange& exchange, model::Reason reason, Timestamp now);
    /// Releases a dispatch of which no byte was sent.
    void releaseUnsent(Exchange& exchange, Timestamp now);
    /// A target failed, or this gateway's connection to it.
    void recordTargetFailure(
        const GatewayTarget& target, TargetReachability::Failure failure, Timestamp startedAt, Timestamp now);
    /// If that showed that no target is reachable: moves requests that wait for one to peers.
    void leaveUnreachableTargets(Timestamp now);
    /// Sends the request to a peer; refuses it if there is none.
    void forward(Exchange& exchange, Timestamp now);
    /// Returns false if the request must not be forwarded, or no peer is available.
    [[nodiscard]] bool tryForward(Exchange& exchange, Timestamp now);
    /// The peer to forward the request to, if it may run once more after this number of possible runs; else null.
    [[nodiscard]] Peer* choosePeer(const Exchange& exchange, uint32_t possibleRuns, Timestamp now);
    void sendTo(Peer& peer, Exchange& exchange, Timestamp now);
    /// Whether a newer plan than the one in force says something else of the request.
    [[nodiscard]] bool isSuperseded(const Exchange& exchange) const
    {
        return superseded_.contains(exchange.route, exchange.key);
    }
    /// A peer has judged the request by this plan, and acted by it.
    void recordPeerPlan(const ForwardedPlan& peerPlan, const Exchange& exchange, Timestamp now);
    /// States by which plan a forwarded request was judged.
    void addForwardedPlan(std::vector<model::Header>& headers, const Exchange& exchange) const;
    void onPeerHead(requests::TargetResponseHead& head, Exchange& exchange, Timestamp now);
    /// The peer responded with an error of its own.
    void onPeerError(const requests::TargetResponseHead& head, model::Reason reason,
        const std::optional<ForwardedPlan>& plan, Exchange& exchange, Timestamp now);
    void onPeerFailed(requests::TargetFailed& failed, Exchange& exchange, Timestamp now);
    /// No response of the peer will arrive, and it may have run the request.
    void onPeerLost(Exchange& exchange, Timestamp now);
    void checkPeerStalled(Exchange& exchange, Timestamp now);
    /// The present dispatch may have been run: abandons it and forwards the request to another peer, if it may run
    /// again and a retry is left.
    [[nodiscard]] bool tryForwardAgain(Exchange& exchange, model::Reason reason, Timestamp now);
    /// The target refused the request or failed: retries at another target, or fails the request.
    void retryElsewhere(Exchange& exchange, model::Reason reason, Timestamp now);
    [[nodiscard]] bool mayRetryElsewhere(const Exchange& exchange, Timestamp now);
    /// Releases the current target from the request.
    void releaseTarget(Exchange& exchange);
    /// The run at the current target, which did not get a complete response.
    [[nodiscard]] static LostRun lostRunOf(const Exchange& exchange, Timestamp now);
    void onTargetLost(const requests::TargetFailed& failed, Exchange& exchange, Timestamp now);
    /// A run is abandoned. If its target has answered nothing since it was sent, the target may have stopped.
    void onRunAbandoned(const Exchange& exchange, Timestamp now);
    void checkStalled(Exchange& exchange, Timestamp now);
    /// The target's incarnation has stopped: no response will arrive any more.
    void abandonStopped(Exchange& exchange, Timestamp now);
    void scheduleStallCheck(Exchange& exchange, Timestamp at);
    void scheduleCheck(Exchange& exchange, Timestamp at);
    /// The response has not arrived by the time of its next check.
    void checkResponse(Exchange& exchange, Timestamp now);
    /// Schedules the checks of a request that was just sent.
    void scheduleChecks(Exchange& exchange, const GatewayTarget& target, const model::RoutedService& service);
    /// Whether the target may be probed for a slow start: it gets more requests than it would bear in one.
    [[nodiscard]] bool isProbedForSlowStart(
        const Exchange& exchange, const GatewayTarget& target, const model::RoutedService& service) const;
    /// The target's response takes longer than most or all of its recent ones.
    void onSlowResponse(Exchange& exchange, Timestamp now);
    /// The target's response takes longer than most of its recent ones. Returns whether so many do that the target may
    /// be in a slow start.
    [[nodiscard]] static bool recordLate(Exchange& exchange, GatewayTarget& target);
    /// The response began, or is awaited no longer.
    void clearLate(Exchange& exchange);
    /// Whether the target is to blame for a response that began and has not ended by the deadline.
    [[nodiscard]] static bool isResponseOverdue(const Exchange& exchange, Timestamp now);
    void recordBrokenResponse(Exchange& exchange, Timestamp now);
    /// When a streamed response has taken far longer than the route's usual ones.
    [[nodiscard]] Timestamp overlongAt(const Exchange& exchange) const;
    /// Whether a streamed response that takes long does so because of its target.
    [[nodiscard]] bool isOverlong(const Exchange& exchange) const;
    /// A streamed response takes long.
    void checkStreamed(Exchange& exchange, Timestamp now);
    /// A response was given up before its end.
    void recordUnfinishedResponse(const Exchange& exchange, Timestamp now);
    void onRefusedByTarget(Exchange& exchange, int status, Timestamp now);
    void startResponse(Exchange& exchange, const requests::TargetResponseHead& head);
    void startStreaming(Exchange& exchange);
    /// Sends the target's response, or what was received of it, to the caller.
    void sendResponse(Exchange& exchange);

    void refuse(Exchange& exchange, model::Reason reason, Duration retryAfter, Timestamp now);
    void fail(Exchange& exchange, model::Reason reason, Timestamp now);
    /// A refusal on arrival. Status 0: the request was not run and may be sent again.
    struct EarlyRefusal {
        int status = 0;
        model::Reason reason = model::Reason::None;
        Duration retryAfter {};
    };
    /// Why this host takes no request now, whatever the plan says.
    [[nodiscard]] std::optional<EarlyRefusal> refusalByState(Timestamp now) const;
    /// Why the plan permits no such request. Otherwise sets the origin's account. `route`: null if none matches.
    [[nodiscard]] std::optional<EarlyRefusal> refusalByPlan(
        const requests::HttpRequestStarted& request, const PlannedRoute* route, Origin& origin) const;
    void refuseOnArrival(const requests::HttpRequestStarted& request, const PlannedRoute* route, const Origin& origin,
        const EarlyRefusal& refusal, Timestamp now);
    /// The caller is told that sending the request again is of no use.
    void rejectFinally(Exchange& exchange, int status, model::Reason reason, bool isConnectionClosed, Timestamp now);
    /// Callers send a refused request again on a new connection. Closing the old one keeps a gateway's connections and
    /// memory at what its callers use.
    void respondWithError(const Exchange& exchange, int status, model::Reason reason, Duration retryAfter,
        bool isConnectionClosed = false);
    void respond(requests::HttpRespond response, bool isConnectionClosed = false);
    void abort(const Exchange& exchange);
    void finish(Exchange& exchange, Decision decision, Timestamp now);
    /// Returns a credit of the account's limit that the request has not used.
    void returnUnusedCredit(const Exchange& exchange, Timestamp now);
    void erase(Exchange& exchange);
    [[nodiscard]] Exchange* find(requests::HttpHandle handle) const;
    [[nodiscard]] Exchange* find(requests::DispatchId dispatch) const;

    Options options_;
    BodyReceiver bodies_;
    std::shared_ptr<const RouteTable> routes_;
    SupersededRules superseded_;
    Exchanges exchanges_;
    std::unordered_map<requests::DispatchId, Exchange*> dispatches_;
    std::set<std::pair<Timestamp, requests::HttpHandle>> deadlines_;
    std::set<std::pair<Timestamp, requests::HttpHandle>> checks_; ///< By Exchange::nextCheckAt.
    /// A target's response that the caller does not have completely.
    struct PendingResponse {
        ServiceName service;
        model::RouteName route;
        Timestamp sentAt; ///< When the request was dispatched.
    };
    /// Without a value: a response of this gateway's own.
    std::unordered_map<requests::HttpHandle, std::optional<PendingResponse>> pendingResponses_;
    BodyExtents bodyExtents_;
    uint64_t lastDispatch_ = 0;
    bool isPlanUncertain_ = false;
    std::optional<Timestamp> stopAt_; ///< When requests in flight are ended; set once the gateway is asked to stop.
    bool isRefusing_ = false;
    bool mustLeaveTargets_ = false; ///< An event showed that no target is reachable.
    std::vector<requests::Action> actions_;
};

} // namespace saltvane::gateway
