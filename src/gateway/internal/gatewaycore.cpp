/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/gatewaycore.h"

#include "base/logtext.h"

#include <algorithm>
#include <utility>

namespace saltvane::gateway {

namespace {

/// Precision of request time limits.
constexpr Duration TickInterval = 20ms;
constexpr Duration SplitInterval = 200ms;
/// Interval of reports of this gateway's requests in flight to registry hosts of its region.
constexpr Duration LoadInterval = 300ms;
/// The same to registry hosts of other regions, which receive few requests for these targets.
constexpr Duration OtherRegionLoadInterval = 1200ms;
/// Interval of plan pulls when no plan is pushed. The answers also tell how current the registry's information is
/// (RegistryWatch::isConfirmed()).
constexpr Duration PlanPullInterval = 250ms;
/// A full report lists all targets; on a slow link it takes longer than a pull.
constexpr Duration FullReportInterval = 1s;
/// Three times the way to a distant region and back.
constexpr Duration PlanAnswerTimeout = 250ms;

/// A registry host that is connected to the leader has a proof that is at most 0.5 s old and 70 ms away. A host that
/// was cut off from the others used to count as current for 3 s, which is longer than a new plan may take to be in
/// force.
constexpr Duration StaleSourceTimeout = 1s;

/// Callers cache look-up answers for a TTL, some for longer, so a leaving gateway keeps serving for 1.5 TTLs.
constexpr double TtlsBeforeStop = 1.5;
/// Between probes while no target is reachable.
constexpr Duration ReachabilityProbeInterval = 250ms;
/// Targets that are probed at a time: some of them may have stopped.
constexpr size_t ReachabilityProbes = 2;
/// How often the list of peers is renewed.
constexpr Duration PeerRequestInterval = 5s;
constexpr Duration IsolatedPeerRequestInterval = 500ms; ///< While requests are forwarded to them.
constexpr Duration FirstPeerRequestInterval = 1s; ///< While none is known, as after a start.
/// Bytes that were handed to the network reach the callers within this time.
constexpr Duration ResponseFlushDelay = 100ms;
/// The rest of the share is kept for requests that a restarted gateway sent before its restart.
constexpr double UsedRolloutShare = 0.8;
/// Reserved before the stop time limit for responses that are still being sent.
constexpr Duration StopReserve = 500ms;
/// The part of it for which the process still waits for them. The rest is for the end of the process.
constexpr Duration MaxResponseWait = 300ms;

model::HostRecord recordOf(const settings::RoutedHostSettings& settings, Incarnation incarnation)
{
    model::HostRecord record = host::makeRoutedHostRecord(settings, incarnation);
    record.entryAddress = settings.frontAddress;
    record.state = model::HostState::Joining;
    return record;
}

} // namespace

GatewayCore::GatewayCore(const GatewayOptions& options)
    : settings_(options.settings)
    , self_(settings_.host())
    , incarnation_(options.incarnation)
    , roster_(membership::makeHostRoster(
          {.self = recordOf(settings_, incarnation_), .seeds = host::hostIdsFromAddresses(settings_.seeds)}))
    , replica_(control::makeBundleReplica({.self = self_,
          .pullInterval = PlanPullInterval,
          .answerTimeout = PlanAnswerTimeout,
          .maxProofAge = StaleSourceTimeout,
          .isSource = false,
          .counters = &counters_}))
    , registry_({.leave = settings_.leaveLimit, .plan = settings_.planLimit})
    , targets_(
          {.self = self_, .zone = settings_.zone, .region = settings_.region}, settings_.zones, settings_.slowStart)
    , split_(settings_.shiftCap)
    , placement_(targets_, split_, options.seed)
    , retries_({.ratio = settings_.retries.ratio, .slack = settings_.retries.slack})
    , quarantine_({.headers = settings_.headers,
          .targets = targets_,
          .counters = counters_,
          .probePathOf = [this](const ServiceName& service) { return probePathOf(service); }})
    , peers_({.zone = settings_.zone, .region = settings_.region})
    , backpressure_(settings_.headers, targets_)
    , link_(settings_.linkMegabitsPerSecond)
    , bodyBudget_(settings_.limits.memoryBytes)
    , keyHasher_(settings_.linkKey)
    , runner_({.headers = settings_.headers,
          .digestKey = deriveDigestKey(settings_.linkKey),
          .targets = targets_,
          .placement = placement_,
          .split = split_,
          .retries = retries_,
          .quarantine = quarantine_,
          .reachability = reachability_,
          .peers = peers_,
          .forwardedHeader = ForwardedHeaderCodec(settings_.linkKey),
          .keyHasher = keyHasher_,
          .backpressure = backpressure_,
          .counters = counters_,
          .latencies = latencies_,
          .link = link_,
          .bodyBudget = bodyBudget_,
          .credits = credits_,
          .isRegistryLate
          = [this](Timestamp now) { return registry_.freshness(*replica_, now) == RegistryFreshness::Late; },
          .isRegistryCurrent
          = [this](Timestamp now) { return registry_.freshness(*replica_, now) == RegistryFreshness::Current; },
          .onDecided =
              [this](const Decision& decision, Timestamp now) {
                  decisions_.logDecision(
                      decision, {.plan = replica_->age(now), .registry = replica_->provenAnswerAge(now)}, now);
              },
          .onTargetAnswered = [this](bool isNewConnection, Timestamp now) { onTargetAnswered(isNewConnection, now); },
          .onSuperseded = [this](const model::RouteName& route, LogIndex newerPlan,
                              Timestamp now) { logSuperseded(route, newerPlan, now); },
          .onSurplusBytes
          = [this](const model::TargetIncarnation& target, Timestamp now) { onSurplusBytes(target, now); }})
{
    targets_.rollouts().setShare(settings_.rolloutShare * UsedRolloutShare);
}

Duration GatewayCore::tickInterval() const { return TickInterval; }

void GatewayCore::handle(host::Event event, Timestamp now)
{
    registry_.onActivity(now);
    updateConfirmation(now);
    std::visit([&](auto&& item) { accept(std::forward<decltype(item)>(item), now); }, std::move(event));
    collectActions(now);
}

void GatewayCore::tick(Timestamp now)
{
    registry_.onActivity(now);
    updateConfirmation(now);
    roster_->tick(now);
    if (now >= nextSourcesAt_)
        updateSources(now);
    continuePlanInstallation(now);
    replica_->tick(now);
    installPlan(now);
    updatePlanCertainty(now);
    updateRegistryFreshness(now);
    updateState();
    targets_.tick(now);
    if (now >= nextSplitAt_)
        updateSplit(now);
    credits_.tick(now);
    runner_.onCreditResults(now);
    runner_.tick(now);
    quarantine_.tick(now);
    probeTargets(now);
    requestPeers(now);
    updateLinks();
    sendLoads(now);
    sendRolloutReports(now);
    updateStop(now);
    collectActions(now);
}

model::Reason GatewayCore::recheckDispatch(requests::DispatchId dispatch, Timestamp now)
{
    registry_.onActivity(now);
    updateConfirmation(now);
    return TargetProber::isProbe(dispatch) ? model::Reason::None : runner_.recheck(dispatch, now);
}

std::vector<host::Action> GatewayCore::drainActions() { return std::exchange(actions_, {}); }

void GatewayCore::accept(requests::HttpEvent event, Timestamp now)
{
    const auto handle = std::visit([](const auto& item) { return item.handle; }, event);
    if (requests::listenerOf(handle) == static_cast<uint8_t>(Listener::Readiness))
        return answerReadiness(event);
    runner_.handle(std::move(event), now);
}

void GatewayCore::answerReadiness(const requests::HttpEvent& event)
{
    const auto* started = std::get_if<requests::HttpRequestStarted>(&event);
    if (started == nullptr)
        return;
    constexpr int StatusOk = 200;
    std::string text = isReady() ? "ready\n" : "not ready\n";
    const uint64_t length = text.size();
    actions_.emplace_back(requests::Action(requests::HttpRespond {.handle = started->handle,
        .status = isReady() ? StatusOk : StatusUnavailable,
        .headers = {{.name = "Content-Type", .value = "text/plain; charset=utf-8"}},
        .bodyLength = length,
        .bytes = std::move(text)}));
}

bool GatewayCore::isReady() const { return routes_ != nullptr && !stopRequestedAt_; }

void GatewayCore::accept(requests::TargetEvent event, Timestamp now)
{
    const auto dispatch = std::visit([](const auto& item) { return item.dispatch; }, event);
    if (TargetProber::isProbe(dispatch)) {
        if (std::holds_alternative<requests::TargetResponseHead>(event))
            onTargetAnswered(true, now);
        onProbeResponse(event, now);
        return quarantine_.handle(event, now);
    }
    runner_.handle(std::move(event), now);
}

/// Limits, slow starts and leaving notices count in responses to probes as well.
void GatewayCore::onProbeResponse(const requests::TargetEvent& event, Timestamp now)
{
    const auto* head = std::get_if<requests::TargetResponseHead>(&event);
    if (head == nullptr)
        return;
    if (const std::optional<TargetProber::SentProbe> sentProbe = quarantine_.findSentProbe(*head))
        backpressure_.onResponse({.target = sentProbe->target,
                                     .status = head->status,
                                     .headers = head->headers,
                                     .isNotRun = true,
                                     .sentAt = sentProbe->sentAt},
            now);
}

void GatewayCore::accept(const model::Delivery& delivery, Timestamp now)
{
    registry_.onMessage(now);
    roster_->handle(delivery, now);
    const uint64_t refused = counters_.value(model::Counter::BundlesRefused);
    replica_->handle(delivery, now);
    if (counters_.value(model::Counter::BundlesRefused) != refused)
        log(host::LogSeverity::Warning, "event=plan_damaged peer=" + delivery.from.value());
    installPlan(now);
    updatePlanCertainty(now);
    if (const auto* report = std::get_if<model::TargetReport>(&delivery.message))
        onTargetReport(*report, delivery.from, now);
    else if (const auto* loads = std::get_if<model::TargetLoads>(&delivery.message))
        targets_.applyLoads(*loads, now);
    else if (const auto* suspects = std::get_if<model::SuspectReport>(&delivery.message))
        quarantine_.handle(*suspects, now);
    else if (const auto* backpressure = std::get_if<model::BackpressureReport>(&delivery.message))
        backpressure_.handle(*backpressure, now);
    else if (const auto* credits = std::get_if<model::LimitCreditReply>(&delivery.message))
        onCreditReply(*credits, now);
    else if (const auto* peers = std::get_if<model::PeerReport>(&delivery.message))
        peers_.applyReport(*peers);
    else if (const auto* current = std::get_if<model::BundleCurrent>(&delivery.message))
        checkOrders(delivery.from, current->orders);
}

/// Links preserve the order of messages: a report that was sent before this answer has either arrived or been lost.
void GatewayCore::checkOrders(const HostId& from, const LogPosition& reportedOrders)
{
    if (reportedOrders <= targets_.orders())
        return;
    missedReportsOf_ = from;
    if (reportedOrders <= missedOrders_)
        return; // Logged already.
    missedOrders_ = reportedOrders;
    LogText line("orders_missed");
    line.add("peer", from.value()).add("known", targets_.orders().index.value).add("told", reportedOrders.index.value);
    log(host::LogSeverity::Warning, line.text());
}

void GatewayCore::requestFullReport(model::OutgoingMessage& outgoing, Timestamp now)
{
    auto* pull = std::get_if<model::BundlePull>(&outgoing.message);
    const bool isMissing = missedOrders_ > targets_.orders();
    if (pull == nullptr || !isMissing || outgoing.to != missedReportsOf_ || now < nextFullReportAt_)
        return;
    pull->wantsFullReport = true;
    nextFullReportAt_ = now + FullReportInterval;
}

void GatewayCore::onCreditReply(const model::LimitCreditReply& reply, Timestamp now)
{
    credits_.handle(reply, now);
    runner_.onCreditResults(now);
}

void GatewayCore::onTargetReport(const model::TargetReport& report, const HostId& from, Timestamp now)
{
    if (report.gateways > 0)
        retries_.setGateways(report.gateways);
    if (report.registryVoters > 0)
        registryVoters_ = report.registryVoters;
    const size_t before = targets_.size();
    targets_.applyReport(report, from, now);
    runner_.onTargetsReplaced(targets_.drainReplaced(), now);
    logSlowStarts(now);
    // Updates the split immediately: a request before the next tick would be sent to a target that does not keep the
    // object.
    if (targets_.size() != before)
        updateSplit(now);
}

void GatewayCore::logSlowStarts(Timestamp now)
{
    for (const SlowStartNotice& notice : targets_.drainSlowStarts()) {
        if (!slowStartLineBudget_.trySpend(now))
            continue;
        LogText line("slow_start");
        line.add("target", notice.target.value())
            .addMilliseconds("left_ms", notice.left)
            .add("own", notice.isOwn ? "yes" : "no")
            .add("sent", notice.recentSends)
            .addMilliseconds("since_report_ms", notice.sinceReport);
        if (notice.sinceRefusal)
            line.addMilliseconds("since_refusal_ms", *notice.sinceRefusal);
        if (notice.sinceReopening)
            line.addMilliseconds("since_reopening_ms", *notice.sinceReopening);
        line.addMilliseconds("word_age_ms", replica_->provenAnswerAge(now));
        log(host::LogSeverity::Info, line.text());
    }
}

void GatewayCore::logSuperseded(const model::RouteName& route, LogIndex newerPlan, Timestamp now)
{
    if (!supersededLineBudget_.trySpend(now))
        return;
    LogText line("rule_superseded");
    line.add("route", route.value()).add("plan_index", routes_->planPosition().index.value);
    line.add("peer_plan_index", newerPlan.value);
    log(host::LogSeverity::Warning, line.text());
}

void GatewayCore::updateSplit(Timestamp now)
{
    if (!routes_)
        return;
    nextSplitAt_ = now + SplitInterval;
    split_.tick(targets_, now);
}

void GatewayCore::accept(const host::LinkUp& up, Timestamp now)
{
    roster_->onLinkUp(up.host, up.incarnation);
    replica_->onLinkUp(up.host, now);
    // If all registry hosts lost their power and their disks, they learn again from the gateways which requests to
    // refuse.
    if (model::SuspectReport report {.requests = quarantine_.blamedRequests(now)}; !report.requests.empty())
        actions_.emplace_back(requests::Action(model::OutgoingMessage {.to = up.host, .message = std::move(report)}));
    if (model::BackpressureReport report = backpressure_.knownLimits(now); !report.notices.empty())
        actions_.emplace_back(requests::Action(model::OutgoingMessage {.to = up.host, .message = std::move(report)}));
}

void GatewayCore::accept(const host::LinkDown& down, Timestamp now)
{
    credits_.onLinkDown(down.host, now);
    log(host::LogSeverity::Warning, "event=registry_lost peer=" + down.host.value());
}

void GatewayCore::accept(const host::SeedsChanged& changed, Timestamp /*now*/)
{
    log(host::LogSeverity::Info, "event=seeds_changed count=" + std::to_string(changed.seeds.size()));
    roster_->setSeeds(host::hostIdsFromAddresses(changed.seeds));
}

void GatewayCore::accept(host::StopRequested /*stop*/, Timestamp now)
{
    if (stopRequestedAt_)
        return;
    stopRequestedAt_ = now;
    log(host::LogSeverity::Info, "event=stopping in_flight=" + std::to_string(runner_.inFlight()));
    runner_.startLeaving(now + settings_.limits.stopTimeLimit - StopReserve);
    updateState();
}

void GatewayCore::updateState()
{
    if (stopRequestedAt_)
        return roster_->setState(model::HostState::Leaving);
    roster_->setState(isReady() ? model::HostState::Serving : model::HostState::Joining);
    roster_->setIsolated(!reachability_.isReachable());
}

void GatewayCore::onTargetAnswered(bool isNewConnection, Timestamp now)
{
    if (reachability_.recordAnswer(isNewConnection, now))
        targets_.onReachableAgain(now);
}

void GatewayCore::onSurplusBytes(const model::TargetIncarnation& targetIncarnation, Timestamp now)
{
    counters_.add(model::Counter::SurplusResponses);
    GatewayTarget* target = targets_.find(targetIncarnation);
    if (target == nullptr || !target->onSurplusBytes(now) || !surplusLogBudget_.trySpend(now))
        return;
    LogText line("target_surplus");
    line.add("target", target->id().value())
        .add("service", target->record.service.value())
        .addMilliseconds("single_use_ms", target->singleUsePeriod);
    log(host::LogSeverity::Warning, line.text());
}

void GatewayCore::probeTargets(Timestamp now)
{
    if (reachability_.isReachable() || now < nextProbeAt_)
        return;
    nextProbeAt_ = now + ReachabilityProbeInterval;
    for (size_t i = 0; i < ReachabilityProbes; ++i) {
        const GatewayTarget* target = targets_.nextToProbe(now);
        if (target == nullptr)
            return reachability_.reset(); // Without probes, only requests show whether targets are reachable.
        quarantine_.probe(*target, now);
    }
}

void GatewayCore::requestPeers(Timestamp now)
{
    if (now < nextPeerRequestAt_)
        return;
    const std::vector<HostId> hosts = roster_->sameRegionControlHosts();
    if (hosts.empty())
        return;
    nextPeerRequestAt_ = now + peerRequestInterval();
    // Another one each time, since one of them may be down.
    const HostId& host = hosts[peerRequests_++ % hosts.size()];
    actions_.emplace_back(requests::Action(model::OutgoingMessage {.to = host, .message = model::PeerRequest {}}));
}

Duration GatewayCore::peerRequestInterval() const
{
    if (!reachability_.isReachable())
        return IsolatedPeerRequestInterval;
    return peers_.isEmpty() ? FirstPeerRequestInterval : PeerRequestInterval;
}

void GatewayCore::updateReachability(Timestamp now)
{
    const std::optional<Timestamp> since = reachability_.unreachableSince();
    if (since == loggedUnreachableSince_)
        return;
    LogText line(since ? "targets_unreachable" : "targets_reachable");
    if (since)
        line.add("failed", reachability_.failedTargets())
            .add("known", targets_.size())
            .addMilliseconds("connection_age_ms", reachability_.timeSinceConnection(now))
            .addMilliseconds("word_age_ms", replica_->provenAnswerAge(now));
    else
        line.addMilliseconds("after_ms", now - *loggedUnreachableSince_);
    log(since ? host::LogSeverity::Warning : host::LogSeverity::Info, line.text());
    loggedUnreachableSince_ = since;
    updateState();
    nextPeerRequestAt_ = now;
}

void GatewayCore::updateLinks()
{
    if (std::optional<host::DesiredLinks> wanted = links_.update(roster_->controlHosts()))
        actions_.emplace_back(*std::move(wanted));
}

void GatewayCore::sendLoads(Timestamp now)
{
    if (now < nextLoadsAt_)
        return;
    nextLoadsAt_ = now + LoadInterval;
    model::TargetLoads loads = targets_.collectOwnLoads();
    const bool isChanged = !loads.targets.empty() || haveLoadsBeenSent_;
    haveLoadsBeenSent_ = !loads.targets.empty();
    if (!isChanged)
        return;
    const bool isTimeForOtherRegions = now >= nextOtherRegionLoadsAt_;
    if (isTimeForOtherRegions)
        nextOtherRegionLoadsAt_ = now + OtherRegionLoadInterval;
    for (const HostId& host : isTimeForOtherRegions ? roster_->controlHosts() : roster_->sameRegionControlHosts())
        actions_.emplace_back(requests::Action(model::OutgoingMessage {.to = host, .message = loads}));
}

/// The host that receives a report forwards it to the leader.
void GatewayCore::sendRolloutReports(Timestamp now)
{
    for (model::RolloutReport& report : targets_.rollouts().drainReports(now)) {
        report.gateway = self_;
        report.incarnation = incarnation_;
        targets_.addTargetState(report);
        for (const HostId& host : nextRolloutReportReceivers())
            actions_.emplace_back(requests::Action(model::OutgoingMessage {.to = host, .message = report}));
    }
}

std::set<HostId> GatewayCore::nextRolloutReportReceivers()
{
    std::set<HostId> receivers;
    if (!registrySources_.empty())
        receivers.insert(registrySources_.front());
    const std::vector<HostId> registries = roster_->controlHosts();
    if (!registries.empty())
        receivers.insert(registries[rolloutReports_++ % registries.size()]);
    return receivers;
}

void GatewayCore::sendSuspects(Timestamp now)
{
    const model::SuspectReport report {.requests = quarantine_.drainReports(now)};
    if (report.requests.empty())
        return;
    for (const HostId& host : roster_->controlHosts())
        actions_.emplace_back(requests::Action(model::OutgoingMessage {.to = host, .message = report}));
}

void GatewayCore::sendBackpressure(Timestamp now)
{
    model::TargetReport stated {.retired = backpressure_.drainLeaving(), .targets = backpressure_.drainSlowStarts()};
    const std::vector<model::TargetRecord> refused = targets_.drainRefused(reachability_.connectedAt(), now);
    stated.targets.insert(stated.targets.end(), refused.begin(), refused.end());
    if (!stated.retired.empty() || !stated.targets.empty())
        sendToRegionRegistries(stated);
    if (const model::TargetReport repeated {.retired = backpressure_.drainUnconfirmedLeaving(now)};
        !repeated.retired.empty()) {
        for (const HostId& host : roster_->controlHosts()) // Those of the region may be down.
            actions_.emplace_back(requests::Action(model::OutgoingMessage {.to = host, .message = repeated}));
    }
    const model::BackpressureReport report = backpressure_.drainReports(now);
    if (!report.notices.empty())
        sendToRegionRegistries(report);
}

void GatewayCore::sendToRegionRegistries(const model::Message& message)
{
    for (const HostId& host : roster_->sameRegionControlHosts())
        actions_.emplace_back(requests::Action(model::OutgoingMessage {.to = host, .message = message}));
}

std::string GatewayCore::probePathOf(const ServiceName& service) const
{
    const model::RoutedService* found = routes_ ? routes_->plan().findService(service) : nullptr;
    return found == nullptr ? std::string() : found->probePath;
}

void GatewayCore::updateStop(Timestamp now)
{
    if (!stopRequestedAt_ || isStopReported_)
        return;
    const Duration limit = settings_.limits.stopTimeLimit - StopReserve;
    const Duration stay = std::min(fromSeconds(toSeconds(settings_.lookUpTtl) * TtlsBeforeStop), limit);
    const Duration waited = now - *stopRequestedAt_;
    if (waited >= stay)
        runner_.startRefusing();
    if (waited >= limit)
        requestsCut_ += runner_.endRequests(now);
    if (runner_.inFlight() > 0 || runner_.pendingResponses() > 0)
        lastBusyAt_ = now;
    const bool isBusy = now - lastBusyAt_ < ResponseFlushDelay;
    if (waited < stay || (isBusy && waited < limit + MaxResponseWait))
        return;
    isStopReported_ = true;
    actions_.emplace_back(host::StopFinished {.requestsCut = static_cast<uint32_t>(requestsCut_ + runner_.inFlight())});
}

void GatewayCore::collectActions(Timestamp now)
{
    updateReachability(now);
    runner_.onCreditResults(now); // Refuses requests for which no registry host could be asked for a credit.
    for (requests::Action& action : runner_.drainActions())
        actions_.emplace_back(std::move(action));
    sendBackpressure(now); // Before credits of these limits are requested.
    for (model::OutgoingMessage& outgoing : credits_.drainOutgoing())
        actions_.emplace_back(requests::Action(std::move(outgoing)));
    for (model::OutgoingMessage& outgoing : roster_->drainOutgoing())
        actions_.emplace_back(requests::Action(std::move(outgoing)));
    for (model::OutgoingMessage& outgoing : replica_->drainOutgoing()) {
        requestFullReport(outgoing, now);
        actions_.emplace_back(requests::Action(std::move(outgoing)));
    }
    for (requests::Action& action : quarantine_.drainActions())
        actions_.emplace_back(std::move(action));
    sendSuspects(now);
    for (host::LogLine& line : decisions_.drainLogLines(now))
        actions_.emplace_back(std::move(line));
    for (host::LogLine& line : quarantine_.drainLogLines())
        actions_.emplace_back(std::move(line));
    for (host::LogLine& line : backpressure_.drainLogLines())
        actions_.emplace_back(std::move(line));
}

void GatewayCore::log(host::LogSeverity severity, std::string text)
{
    actions_.emplace_back(host::LogLine {.severity = severity, .module = "gateway", .text = std::move(text)});
}

host::HostStatus GatewayCore::status(Timestamp now) const
{
    return {
        .host = self_,
        .incarnation = incarnation_,
        .state = stopRequestedAt_ ? model::HostState::Leaving
                                  : (isReady() ? model::HostState::Serving : model::HostState::Joining),
        .isCutOff = replica_->isCutOff(now),
        .inForceVersion = routes_ ? routes_->plan().version : BundleVersion {},
        .stateAge = replica_->age(now),
        .registryInfoAge = replica_->provenAnswerAge(now),
        .orders = targets_.orders(),
        .requestsInFlight = static_cast<uint32_t>(runner_.inFlight()),
        .dispatchesInFlight = static_cast<uint32_t>(runner_.inFlight()),
        .targetsKnown = static_cast<uint32_t>(targets_.size()),
        .areTargetsUnreachable = !reachability_.isReachable(),
        .bodyBytes = bodyBudget_.held(),
    };
}

std::unique_ptr<host::IHostCore> makeGateway(const GatewayOptions& options)
{
    return std::make_unique<GatewayCore>(options);
}

} // namespace saltvane::gateway
