/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/backpressurewatch.h"
#include "gateway/internal/exchange.h"
#include "gateway/internal/limitcredits.h"
#include "gateway/internal/linkbudget.h"
#include "gateway/internal/placement.h"
#include "gateway/internal/quarantine.h"
#include "gateway/internal/requestlatencies.h"
#include "gateway/internal/retryallowance.h"
#include "gateway/internal/targetset.h"
#include "host/hosttypes.h"
#include "model/counters.h"
#include "settings/routedhostsettings.h"

#include <map>
#include <memory>
#include <set>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace saltvane::gateway {

/// How one request ended, for the log.
struct Decision {
    const Exchange& exchange;
    model::Outcome outcome = model::Outcome::Unknown;
    model::Reason reason = model::Reason::None;
    int status = 0;
};

/// The life of callers' requests: body, choice of a target, dispatch, repeats, answer, time limits.
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
        BackpressureWatch& backpressure;
        model::Counters& counters;
        RequestLatencies& latencies;
        LinkBudget& link;
        LimitCredits& credits;
        /// Whether what is known of targets and the plan is too old to send requests by.
        std::function<bool(Timestamp)> isWordLate;
        std::function<void(const Decision&, Timestamp)> onDecided;
    };
    explicit RequestRunner(Options options);

    static constexpr Duration UsualRetryAfter = 200ms;
    /// Of a gateway without a plan, or behind with the registry's word. A start takes 0.2 to 0.6 s: a caller that comes
    /// back sooner is refused again, and gives up.
    static constexpr Duration StartRetryAfter = 400ms;
    static constexpr Duration StopRetryAfter = 50ms; ///< Other gateways serve meanwhile.

    void install(std::shared_ptr<const RouteTable> routes) { routes_ = std::move(routes); }
    /// Whether a newer plan may be in force. Callers take "no such route" for final, so a request that only the newer
    /// one may know is asked to come back instead.
    void setPlanDoubtful(bool isDoubtful) { isPlanDoubtful_ = isDoubtful; }
    /// From now on every answer asks the caller to leave its connection.
    void startLeaving() { isLeaving_ = true; }
    /// From now on new requests are refused, so that those under way can end before the process does.
    void startRefusing() { isRefusing_ = true; }

    /// Starts of targets that are gone: another start has their id or their address.
    void noteReplaced(std::span<const model::TargetIncarnation> starts, Timestamp now);

    /// Goes on with requests whose credits were given or refused.
    void noteCredits(Timestamp now);
    void handle(requests::HttpEvent event, Timestamp now);
    void handle(requests::TargetEvent event, Timestamp now);
    /// Ends what is over its time; doubts targets that are silent.
    void tick(Timestamp now);
    [[nodiscard]] std::vector<requests::Action> takeActions();
    [[nodiscard]] size_t inFlight() const { return exchanges_.size(); }
    /// Answers that are not yet with their callers whole.
    [[nodiscard]] size_t answersOnTheirWay() const { return answering_.size(); }

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

    [[nodiscard]] std::unique_ptr<Exchange> makeExchange(const requests::HttpRequestStarted& request,
        PlannedRoute& route, model::AccountRef account, Timestamp now) const;
    /// The client account that holds the request's key; null where none does.
    [[nodiscard]] model::AccountRef accountOf(const requests::HttpRequestStarted& request) const;
    /// False: the request waits for a credit of its account's limit.
    [[nodiscard]] bool hasCredit(Exchange& exchange, Timestamp now);
    /// False: the request waits for a credit of the limit that this target names.
    [[nodiscard]] bool hasTargetCredit(Exchange& exchange, const Placed& placed, Timestamp now);
    void noteTargetCredit(Exchange& exchange, const LimitCredits::Verdict& verdict, Timestamp now);
    /// The request is whole.
    void start(Exchange& exchange, Timestamp now);
    /// Chooses a target and sends the request; refuses it where none can be had.
    void dispatch(Exchange& exchange, Timestamp now);
    /// `mayAwaitCredit`: of a target that names a limit.
    [[nodiscard]] std::variant<Placed, PlacementRefusal> choose(
        const Exchange& exchange, Timestamp now, bool mayAwaitCredit = true);
    void send(Exchange& exchange, const Placed& placed, Timestamp now);
    /// The target refused it, or failed: elsewhere, or the end.
    void tryElsewhere(Exchange& exchange, model::Reason reason, Timestamp now);
    [[nodiscard]] bool mayTryElsewhere(const Exchange& exchange, Timestamp now);
    /// The current target has nothing more to do with it.
    void releaseTarget(Exchange& exchange);
    /// Its run at the current target, which got no whole answer.
    [[nodiscard]] static LostRun lostRunOf(const Exchange& exchange, Timestamp now);
    void noteLost(const requests::TargetFailed& failed, Exchange& exchange, Timestamp now);
    /// A run is given up. Where its target has said nothing since it was sent, it may have ended.
    void noteGivenUp(const Exchange& exchange, Timestamp now);
    void doubt(Exchange& exchange, Timestamp now);
    /// The target's start is gone: nothing more will come of it.
    void leaveGone(Exchange& exchange, Timestamp now);
    void doubtAt(Exchange& exchange, Timestamp at);
    void noteRefusedByTarget(Exchange& exchange, int status, Timestamp now);
    void startStreaming(Exchange& exchange);

    void refuse(Exchange& exchange, model::Reason reason, Duration retryAfter, Timestamp now);
    void giveUp(Exchange& exchange, model::Reason reason, Timestamp now);
    /// A request that is not taken on at all. Status 0: it has not run, and may come back.
    struct EarlyRefusal {
        int status = 0;
        model::Reason reason = model::Reason::None;
        Duration retryAfter {};
    };
    void refuseEarly(const requests::HttpRequestStarted& request, const PlannedRoute* route,
        const EarlyRefusal& refusal, Timestamp now);
    /// Callers come back to a refusal on a new connection. Closing the old one keeps a gateway's connections and
    /// memory at what its callers use.
    void refuseAtOnce(requests::HttpHandle handle, int status, model::Reason reason, Duration retryAfter,
        bool isConnectionClosed = false);
    void respond(requests::HttpRespond answer, bool isConnectionClosed = false);
    void abort(const Exchange& exchange);
    void finish(Exchange& exchange, Decision decision, Timestamp now);
    /// What the request got of its account's limit and has not used up.
    void giveBackCredit(const Exchange& exchange, Timestamp now);
    void erase(Exchange& exchange);
    [[nodiscard]] Exchange* find(requests::HttpHandle handle) const;
    [[nodiscard]] Exchange* find(requests::DispatchId dispatch) const;

    Options options_;
    std::shared_ptr<const RouteTable> routes_;
    Exchanges exchanges_;
    std::unordered_map<requests::DispatchId, Exchange*> dispatches_;
    std::set<std::pair<Timestamp, requests::HttpHandle>> deadlines_;
    std::set<std::pair<Timestamp, requests::HttpHandle>> doubts_;
    std::unordered_set<requests::HttpHandle> answering_;
    uint64_t lastDispatch_ = 0;
    bool isPlanDoubtful_ = false;
    bool isLeaving_ = false;
    bool isRefusing_ = false;
    std::vector<requests::Action> actions_;
};

} // namespace saltvane::gateway
