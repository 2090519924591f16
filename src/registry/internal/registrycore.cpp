/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/registrycore.h"

#include "settings/routeplanreader.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace saltvane::registry {

namespace {

/// Fine enough for the replicated log's timers.
constexpr Duration RegistryTick = 20ms;
/// Six round trips between distant regions (70 ms). Short, since after a loss of all hosts nothing is served until a
/// leader is elected.
constexpr Duration ElectionTimeout = 450ms;
constexpr Duration LeaderHeartbeat = 90ms;
constexpr Duration LeaderLease = 350ms; ///< Shorter than the election timeout.
/// A planned stop waits this long for answers and messages in flight.
constexpr Duration StopDelay = 300ms;
constexpr Duration MaxStopDuration = 2s;
/// Newest retired targets that are sent to a newly connected gateway.
constexpr size_t MaxRetiredSent = 512;
constexpr size_t MaxBodyBytes = 4 * 1024 * 1024;
/// Upper bound of targets' reports and short orders: up to it, a body is not refused for the memory of other calls.
constexpr size_t SmallBodyBytes = 4 * 1024;

constexpr int StatusTooLarge = 413;

/// The log uses the wall clock only to date entries for operators, which a registry doesn't need.
int64_t noWallClock() { return 0; }

/// Checks each ordered plan. The reader reuses what is unchanged since the previous one.
class PlanChecker {
public:
    explicit PlanChecker(std::shared_ptr<settings::RoutePlanReader> reader)
        : reader_(std::move(reader))
    {
    }

    Result<BundleVersion, Findings> operator()(std::string_view content)
    {
        const Result<model::RoutePlan, Findings> plan = reader_->read(content, "plan");
        if (!plan)
            return plan.error();
        return plan.value().version;
    }

private:
    std::shared_ptr<settings::RoutePlanReader> reader_;
};

Result<model::Bundle, Findings> refuseBundle(std::string_view /*content*/)
{
    Findings findings;
    findings.add({.location = {}, .field = "", .message = "a registry accepts route plans, not bundles"});
    return findings;
}

model::HostRecord recordOf(const settings::RoutedHostSettings& settings, Incarnation incarnation)
{
    model::HostRecord record = host::makeRoutedHostRecord(settings, incarnation);
    record.entryAddress = settings.controlAddress;
    record.isControl = true;
    record.state = model::HostState::Serving;
    return record;
}

} // namespace

RegistryCore::RegistryCore(const RegistryOptions& options, Parts parts)
    : settings_(options.settings)
    , self_(settings_.host())
    , incarnation_(options.incarnation)
    , counters_(std::move(parts.counters))
    , replica_(std::move(parts.replica))
    , planReader_(std::move(parts.planReader))
    , planQueue_(*planReader_)
    , roster_(membership::makeHostRoster(
          {.self = recordOf(settings_, incarnation_), .seeds = host::hostIdsFromAddresses(settings_.seeds)}))
    , bundleReplica_(control::makeBundleReplica({.self = self_, .counters = counters_.get()}))
    , targets_(settings_.zones)
    , orders_(*replica_)
    , nearestGateways_({.host = self_, .zone = settings_.zone, .region = settings_.region})
    , rollouts_(rollout::makeRolloutController())
    , recalledOrdersPosition_(options.softState.targets.orders)
    , recalled_(options.softState.targets.targets)
    , recalledSuspects_(options.softState.suspects.requests)
{
}

Duration RegistryCore::tickInterval() const { return RegistryTick; }

void RegistryCore::handle(host::Event event, Timestamp now)
{
    std::visit(
        [&](auto&& typedEvent) { accept(std::forward<decltype(typedEvent)>(typedEvent), now); }, std::move(event));
    collectOutputs(now);
}

void RegistryCore::tick(Timestamp now)
{
    replica_->tick(now);
    replica_->setJoinHosts(roster_->controlHosts());
    roster_->tick(now);
    submitPreparedPlan(now);
    orders_.retryWaiting(now);
    logLeaderChange(now);
    logGroupChange();
    distribute(now);
    recallSuspects(now);
    reportTargets(now);
    writeSoftState(now);
    reportLoads(now);
    decideRollouts(now);
    resolveLeaves(now);
    suspects_.tick(now);
    updateCredits(now);
    updateLinks();
    collectOutputs(now);
    const bool isTimeToStop = stopAt_ && now >= *stopAt_
        && ((orders_.isEmpty() && planQueue_.isEmpty()) || now >= *stopAt_ + MaxStopDuration);
    if (isTimeToStop)
        actions_.emplace_back(host::StopFinished {});
}

std::vector<host::Action> RegistryCore::drainActions() { return std::exchange(actions_, {}); }

void RegistryCore::accept(requests::HttpEvent event, Timestamp now)
{
    std::visit([&](const auto& typedEvent) { accept(typedEvent, now); }, event);
}

void RegistryCore::accept(const requests::HttpRequestStarted& request, Timestamp now)
{
    OpenCall& openCall = calls_[request.handle];
    openCall = {.call = readCall(request, settings_.headers), .path = request.path};
    if (request.bodyLength == 0)
        runCall(request.handle, openCall, now);
}

void RegistryCore::runCall(requests::HttpHandle handle, OpenCall& openCall, Timestamp now)
{
    // Visits a copy, since the answer erases the open call.
    std::visit([&](const auto& call) { run(handle, call, openCall, now); }, Call(openCall.call));
}

void RegistryCore::accept(const requests::HttpRequestBody& body, Timestamp now)
{
    const auto found = calls_.find(body.handle);
    if (found == calls_.end())
        return;
    OpenCall& openCall = found->second;
    if (openCall.body.size() + body.bytes.size() > MaxBodyBytes)
        return answer(errorAnswer(body.handle, StatusTooLarge, "the request body is too large"));
    const bool isSmall = openCall.body.size() + body.bytes.size() <= SmallBodyBytes;
    if (!isSmall && !reserveCallBytes(body.handle, body.bytes.size()))
        return;
    openCall.body += body.bytes;
    openCall.reservedBytes += isSmall ? 0 : body.bytes.size();
    actions_.emplace_back(
        requests::Action(requests::HttpRequestWindow {.handle = body.handle, .bytes = body.bytes.size()}));
    if (body.isLast)
        runCall(body.handle, openCall, now);
}

void RegistryCore::accept(const requests::HttpRequestAborted& aborted, Timestamp /*now*/)
{
    closeCall(aborted.handle);
    planQueue_.remove(aborted.handle);
    orders_.detachCaller(aborted.handle);
}

void RegistryCore::accept(const requests::HttpResponseDone& done, Timestamp /*now*/) { closeCall(done.handle); }

void RegistryCore::accept(const model::Delivery& delivery, Timestamp now)
{
    if (const auto* loads = std::get_if<model::TargetLoads>(&delivery.message))
        return loads_.record(delivery.from, *loads, now);
    if (const auto* suspects = std::get_if<model::SuspectReport>(&delivery.message))
        return suspects_.record(suspects->requests, now);
    if (const auto* creditRequest = std::get_if<model::LimitCreditRequest>(&delivery.message))
        return credits_ ? credits_->handle(delivery.from, *creditRequest, now) : void();
    if (const auto* creditReply = std::get_if<model::LimitCreditReply>(&delivery.message))
        return credits_ ? credits_->handle(delivery.from, *creditReply, now) : void();
    if (const auto* backpressure = std::get_if<model::BackpressureReport>(&delivery.message))
        return accept(*backpressure, delivery.from, now);
    if (const auto* rolloutReport = std::get_if<model::RolloutReport>(&delivery.message))
        return accept(*rolloutReport, now);
    if (const auto* leaving = std::get_if<model::TargetReport>(&delivery.message))
        return accept(*leaving, delivery.from, now);
    if (std::holds_alternative<model::PeerRequest>(delivery.message))
        return sendPeers(delivery.from, now);
    if (const auto* pull = std::get_if<model::BundlePull>(&delivery.message))
        accept(*pull, delivery.from, now);
    const auto* heartbeat = std::get_if<model::Heartbeat>(&delivery.message);
    roster_->handle(delivery, now);
    bundleReplica_->handle(delivery, now);
    replica_->handle(delivery, now);
    if (heartbeat != nullptr && !heartbeat->record.isControl)
        syncGateway(delivery.from, now);
}

/// Gateways take the answer to a pull as a sign that they know all orders and targets.
void RegistryCore::accept(const model::BundlePull& pull, const HostId& from, Timestamp now)
{
    if (pull.wantsFullReport)
        syncedGateways_.erase(from);
    syncGateway(from, now);
}

void RegistryCore::syncGateway(const HostId& gateway, Timestamp now)
{
    if (!syncedGateways_.insert(gateway).second)
        return;
    gatewaysUpdatedAt_.reset(); // Includes it in gateways() at once.
    model::TargetReport report = makeReport(now);
    report.ordersSince = {};
    const control::RoutingState& routing = replica_->routing();
    const auto& retired = routing.retiredTargets.inOrder();
    const size_t skipped = retired.size() - std::min(retired.size(), MaxRetiredSent);
    report.retired.assign(retired.begin() + static_cast<ptrdiff_t>(skipped), retired.end());
    report.reopenedZones = recentlyReopenedZones(std::numeric_limits<size_t>::max(), now);
    report.targets = targets_.all(now);
    report.gatewayNumber = gatewayNumberOf(gateway, now);
    send({{.to = gateway, .message = std::move(report)}});
    sendLimits(gateway, now);
}

void RegistryCore::accept(const host::LinkUp& up, Timestamp now)
{
    syncedGateways_.erase(up.host);
    loadSyncedGateways_.erase(up.host);
    roster_->onLinkUp(up.host, up.incarnation);
    replica_->onLinkUp(up.host, up.incarnation);
    recallSuspects(now);
    sendVerdicts(up.host, now);
    sendLimits(up.host, now);
}

void RegistryCore::accept(const host::LinkDown& down, Timestamp /*now*/)
{
    syncedGateways_.erase(down.host);
    loadSyncedGateways_.erase(down.host);
    log(host::LogSeverity::Warning, "event=peer_lost peer=" + down.host.value());
}

void RegistryCore::accept(const control::StorageDone& done, Timestamp now) { replica_->handle(done, now); }

void RegistryCore::accept(const control::StorageFailed& failed, Timestamp now)
{
    log(host::LogSeverity::Error, "event=storage_failed reason=\"" + failed.message + "\"");
    replica_->handle(failed, now);
}

void RegistryCore::accept(const host::SeedsChanged& changed, Timestamp /*now*/)
{
    log(host::LogSeverity::Info, "event=seeds_changed count=" + std::to_string(changed.seeds.size()));
    roster_->setSeeds(host::hostIdsFromAddresses(changed.seeds));
}

void RegistryCore::accept(host::StopRequested /*stop*/, Timestamp now)
{
    if (stopAt_)
        return;
    log(host::LogSeverity::Info, "event=stopping");
    roster_->setState(model::HostState::Leaving);
    stopAt_ = now + StopDelay;
}

void RegistryCore::collectOutputs(Timestamp now)
{
    applyOrders(now);
    releaseRecalled(now);
    orders_.tick(now);
    answerOrders();
    reportSuspects(now);
    reportLimits(now);
    for (control::StorageWrite& write : replica_->drainWrites())
        actions_.emplace_back(std::move(write));
    send(replica_->drainOutgoing());
    send(roster_->drainOutgoing());
    sendPlanMessages();
    if (credits_)
        send(credits_->drainOutgoing());
}

/// After the reports of the orders: a gateway that receives the answer without them has missed one.
void RegistryCore::sendPlanMessages()
{
    std::vector<model::OutgoingMessage> outgoing = bundleReplica_->drainOutgoing();
    for (model::OutgoingMessage& message : outgoing) {
        if (auto* current = std::get_if<model::BundleCurrent>(&message.message))
            current->orders = appliedOrdersPosition_;
    }
    send(std::move(outgoing));
}

void RegistryCore::updateLinks()
{
    if (std::optional<host::DesiredLinks> links = links_.update(roster_->controlHosts()))
        actions_.emplace_back(*std::move(links));
}

void RegistryCore::logLeaderChange(Timestamp now)
{
    if (replica_->leaderHost() == leader_)
        return;
    leader_ = replica_->leaderHost();
    log(host::LogSeverity::Info,
        "event=" + std::string(leader_.isEmpty() ? "leader_lost" : "leader_known") + " leader=" + leader_.value()
            + " term=" + std::to_string(replica_->term().value) + " voters="
            + std::to_string(replica_->replicas().size()) + " current=" + (replica_->isCurrent(now) ? "yes" : "no"));
}

void RegistryCore::logGroupChange()
{
    if (replica_->replicas() == group_)
        return;
    group_ = replica_->replicas();
    const auto self = std::ranges::find(group_, self_, &control::ReplicaInfo::host);
    std::string place = "outside";
    if (self != group_.end())
        place = self->isVoter ? "voter" : "learner";
    log(host::LogSeverity::Info,
        "event=group_changed members=" + std::to_string(group_.size()) + " voters="
            + std::to_string(std::ranges::count_if(group_, &control::ReplicaInfo::isVoter)) + " self=" + place);
}

void RegistryCore::log(host::LogSeverity severity, std::string text)
{
    actions_.emplace_back(host::LogLine {.severity = severity, .module = "registry", .text = std::move(text)});
}

void RegistryCore::send(std::vector<model::OutgoingMessage> outgoing)
{
    for (model::OutgoingMessage& message : outgoing)
        actions_.emplace_back(requests::Action(std::move(message)));
}

host::HostStatus RegistryCore::status(Timestamp now) const
{
    std::map<ServiceName, model::RolloutPhase> rollouts;
    if (replica_->isCurrent(now)) {
        for (const auto& [service, order] : replica_->routing().rollouts)
            rollouts.emplace(service, order.phase);
    }
    return {
        .host = self_,
        .incarnation = incarnation_,
        .state = stopAt_ ? model::HostState::Leaving : model::HostState::Serving,
        .isControlLeader = replica_->isLeader(),
        .isControlCurrent = replica_->isCurrent(now),
        .controlLeader = replica_->leaderHost(),
        .inForce = replica_->routing().planPosition,
        .inForceVersion = replica_->routing().planVersion,
        .stateAge = replica_->proofAge(now),
        .orders = appliedOrdersPosition_,
        .targetsKnown = static_cast<uint32_t>(targets_.size()),
        .gatewaysKnown = static_cast<uint32_t>(gateways(now).size()),
        .rollouts = std::move(rollouts),
        .callBytes = callBytes_,
    };
}

std::unique_ptr<host::IHostCore> makeRegistry(const RegistryOptions& options)
{
    auto counters = std::make_unique<model::Counters>();
    auto planReader = std::make_shared<settings::RoutePlanReader>();
    std::unique_ptr<control::IControlReplica> replica = control::makeControlReplica({
        .self = options.settings.host(),
        .incarnation = options.incarnation,
        .recovered = options.recovered,
        .bootstrapHosts = host::hostIdsFromAddresses(options.settings.seeds),
        .parseBundle = refuseBundle,
        .checkPlan = PlanChecker(planReader),
        .mayBootstrap = options.settings.isFirstStart,
        .isMembershipOpen = true,
        .wallClockUnixMs = noWallClock,
        .electionTimeout = ElectionTimeout,
        .heartbeatInterval = LeaderHeartbeat,
        .lease = LeaderLease,
        .seed = options.seed,
        .counters = counters.get(),
    });
    if (!replica)
        return nullptr;
    return std::make_unique<RegistryCore>(options,
        RegistryCore::Parts {
            .counters = std::move(counters), .replica = std::move(replica), .planReader = std::move(planReader)});
}

} // namespace saltvane::registry
