/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/gatewaycore.h"

#include <algorithm>
#include <utility>

namespace saltvane::gateway {

namespace {

/// Time limits of requests are met to this precision.
constexpr Duration GatewayTick = 20ms;
constexpr Duration SplitPeriod = 200ms;
/// Of this gateway's word of its requests in flight.
constexpr Duration LoadPeriod = 300ms;
/// The same, to registry hosts of other regions: few requests come from there.
constexpr Duration FarLoadPeriod = 1200ms;
/// Plans are pulled this often where none is pushed: well under the time in which one has to be in force.
constexpr Duration PlanPullPeriod = 500ms;

/// A registry host that hears the leader has a proof of at most half a second, 70 ms away. One that was cut off from
/// the others passed for current for 3 s, longer than a new plan may take to be in force.
constexpr Duration StaleSourceAfter = 1s;

/// Callers keep look-up answers for a TTL, some longer: a leaving gateway serves on meanwhile.
constexpr double TtlsToStay = 1.5;
/// Bytes given to the network reach the callers within it.
constexpr Duration AnswerSettling = 100ms;
/// Before the stop's limit, for what is still on its way.
constexpr Duration StopReserve = 500ms;

model::HostRecord recordOf(const settings::RoutedHostSettings& settings, Incarnation incarnation)
{
    model::HostRecord record = host::routedRecord(settings, incarnation);
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
          {.self = recordOf(settings_, incarnation_), .seeds = host::hostIdsOf(settings_.seeds)}))
    , holder_(control::makeBundleHolder({.self = self_,
          .pullPeriod = PlanPullPeriod,
          .unansweredAfter = PlanPullPeriod / 2,
          .staleAfter = StaleSourceAfter,
          .isSource = false,
          .counters = &counters_}))
    , registry_({.leave = settings_.leaveLimit, .plan = settings_.planLimit})
    , targets_({.self = self_, .zone = settings_.zone, .region = settings_.region}, settings_.zones)
    , split_(settings_.shiftCap)
    , placement_(targets_, split_, options.seed)
    , retries_({.ratio = settings_.retries.ratio, .slack = settings_.retries.slack})
    , quarantine_({.headers = settings_.headers,
          .targets = targets_,
          .counters = counters_,
          .probePathOf = [this](const ServiceName& service) { return probePathOf(service); }})
    , backpressure_(settings_.headers, targets_)
    , link_(settings_.linkMegabits)
    , runner_({.headers = settings_.headers,
          .digestKey = deriveDigestKey(settings_.linkKey),
          .targets = targets_,
          .placement = placement_,
          .split = split_,
          .retries = retries_,
          .quarantine = quarantine_,
          .backpressure = backpressure_,
          .counters = counters_,
          .latencies = latencies_,
          .link = link_,
          .credits = credits_,
          .isWordLate = [this](Timestamp now) { return registry_.word(*holder_, now) == RegistryWord::Late; },
          .onDecided =
              [this](const Decision& decision, Timestamp now) {
                  decisions_.note(decision, {.plan = holder_->age(now), .word = holder_->provenAnswerAge(now)}, now);
              }})
{
}

Duration GatewayCore::tickPeriod() const { return GatewayTick; }

void GatewayCore::handle(host::Event event, Timestamp now)
{
    registry_.noteAwake(now);
    std::visit([&](auto&& one) { accept(std::forward<decltype(one)>(one), now); }, std::move(event));
    gather(now);
}

void GatewayCore::tick(Timestamp now)
{
    registry_.noteAwake(now);
    roster_->tick(now);
    if (now >= nextSourcesAt_)
        updateSources(now);
    holder_->tick(now);
    installPlan(now);
    noteDoubt(now);
    noteWord(now);
    updateState();
    targets_.tick(now);
    if (now >= nextSplitAt_)
        updateSplit(now);
    credits_.tick(now);
    runner_.noteCredits(now);
    runner_.tick(now);
    quarantine_.tick(now);
    updateLinks();
    tellLoads(now);
    updateStop(now);
    gather(now);
}

std::vector<host::Action> GatewayCore::takeActions() { return std::exchange(actions_, {}); }

void GatewayCore::accept(requests::HttpEvent event, Timestamp now)
{
    const auto handle = std::visit([](const auto& one) { return one.handle; }, event);
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
    constexpr int StatusUnavailable = 503;
    std::string text = isReady() ? "ready\n" : "not ready\n";
    const uint64_t length = text.size();
    actions_.emplace_back(requests::Action(requests::HttpRespond {.handle = started->handle,
        .status = isReady() ? StatusOk : StatusUnavailable,
        .headers = {{.name = "Content-Type", .value = "text/plain; charset=utf-8"}},
        .bodyLength = length,
        .bytes = std::move(text)}));
}

bool GatewayCore::isReady() const { return routes_ != nullptr && !stopAskedAt_; }

void GatewayCore::accept(requests::TargetEvent event, Timestamp now)
{
    const auto dispatch = std::visit([](const auto& one) { return one.dispatch; }, event);
    if (TargetProber::isOfProbe(dispatch)) {
        noteProbeAnswer(event, now);
        return quarantine_.handle(event, now);
    }
    runner_.handle(std::move(event), now);
}

/// What targets say of themselves holds in whatever answer they say it.
void GatewayCore::noteProbeAnswer(const requests::TargetEvent& event, Timestamp now)
{
    const auto* head = std::get_if<requests::TargetResponseHead>(&event);
    if (head == nullptr)
        return;
    if (const std::optional<TargetProber::Question> asked = quarantine_.questionOf(*head))
        backpressure_.note({.target = asked->target,
                               .status = head->status,
                               .headers = head->headers,
                               .isNotRun = true,
                               .sentAt = asked->sentAt},
            now);
}

void GatewayCore::accept(const model::Delivery& delivery, Timestamp now)
{
    registry_.noteHeard(now);
    roster_->handle(delivery, now);
    const uint64_t refused = counters_.value(model::Counter::BundlesRefused);
    holder_->handle(delivery, now);
    if (counters_.value(model::Counter::BundlesRefused) != refused)
        log(host::LogSeverity::Warning, "event=plan_damaged peer=" + delivery.from.value());
    installPlan(now);
    noteDoubt(now);
    if (const auto* report = std::get_if<model::TargetReport>(&delivery.message))
        noteTargets(*report, now);
    else if (const auto* loads = std::get_if<model::TargetLoads>(&delivery.message))
        targets_.noteLoads(*loads, now);
    else if (const auto* suspects = std::get_if<model::SuspectReport>(&delivery.message))
        quarantine_.handle(*suspects, now);
    else if (const auto* backpressure = std::get_if<model::BackpressureReport>(&delivery.message))
        backpressure_.handle(*backpressure, now);
    else if (const auto* credits = std::get_if<model::LimitCreditReply>(&delivery.message))
        noteCredits(*credits, now);
}

void GatewayCore::noteCredits(const model::LimitCreditReply& reply, Timestamp now)
{
    credits_.handle(reply, now);
    runner_.noteCredits(now);
}

void GatewayCore::noteTargets(const model::TargetReport& report, Timestamp now)
{
    const size_t before = targets_.size();
    targets_.note(report, now);
    runner_.noteReplaced(targets_.takeReplaced(), now);
    // At once: a request that comes before would run where its object doesn't stay.
    if (targets_.size() != before)
        updateSplit(now);
}

void GatewayCore::updateSplit(Timestamp now)
{
    if (!routes_)
        return;
    nextSplitAt_ = now + SplitPeriod;
    split_.tick(targets_, now);
}

void GatewayCore::accept(const host::LinkUp& up, Timestamp now)
{
    roster_->noteLinkUp(up.host, up.incarnation);
    holder_->noteLinkUp(up.host, now);
    // Registry hosts that all lost their power and their disks hear from the gateways what is to be refused.
    if (model::SuspectReport report {.requests = quarantine_.blamed(now)}; !report.requests.empty())
        actions_.emplace_back(requests::Action(model::Outgoing {.to = up.host, .message = std::move(report)}));
    if (model::BackpressureReport report = backpressure_.known(now); !report.notices.empty())
        actions_.emplace_back(requests::Action(model::Outgoing {.to = up.host, .message = std::move(report)}));
}

void GatewayCore::accept(const host::LinkDown& down, Timestamp now)
{
    credits_.noteLinkDown(down.host, now);
    log(host::LogSeverity::Warning, "event=registry_lost peer=" + down.host.value());
}

void GatewayCore::accept(const host::SeedsChanged& changed, Timestamp /*now*/)
{
    log(host::LogSeverity::Info, "event=seeds_changed count=" + std::to_string(changed.seeds.size()));
    roster_->setSeeds(host::hostIdsOf(changed.seeds));
}

void GatewayCore::accept(host::StopRequested /*stop*/, Timestamp now)
{
    if (stopAskedAt_)
        return;
    stopAskedAt_ = now;
    log(host::LogSeverity::Info, "event=stopping in_flight=" + std::to_string(runner_.inFlight()));
    runner_.startLeaving();
    updateState();
}

void GatewayCore::updateState()
{
    if (stopAskedAt_)
        return roster_->setState(model::HostState::Leaving);
    roster_->setState(isReady() ? model::HostState::Serving : model::HostState::Joining);
}

void GatewayCore::updateLinks()
{
    if (std::optional<host::LinksWanted> wanted = links_.update(roster_->controlHosts()))
        actions_.emplace_back(*std::move(wanted));
}

void GatewayCore::tellLoads(Timestamp now)
{
    if (now < nextLoadsAt_)
        return;
    nextLoadsAt_ = now + LoadPeriod;
    model::TargetLoads loads = targets_.takeOwnLoads();
    const bool isNews = !loads.targets.empty() || hasToldLoads_;
    hasToldLoads_ = !loads.targets.empty();
    if (!isNews)
        return;
    const bool isFarDue = now >= nextFarLoadsAt_;
    if (isFarDue)
        nextFarLoadsAt_ = now + FarLoadPeriod;
    for (const HostId& host : isFarDue ? roster_->controlHosts() : roster_->nearControlHosts())
        actions_.emplace_back(requests::Action(model::Outgoing {.to = host, .message = loads}));
}

void GatewayCore::tellSuspects(Timestamp now)
{
    const model::SuspectReport report {.requests = quarantine_.takeNews(now)};
    if (report.requests.empty())
        return;
    for (const HostId& host : roster_->controlHosts())
        actions_.emplace_back(requests::Action(model::Outgoing {.to = host, .message = report}));
}

void GatewayCore::tellBackpressure(Timestamp now)
{
    const model::TargetReport leaving {.retired = backpressure_.takeLeaving()};
    if (!leaving.retired.empty())
        tellNearRegistries(leaving);
    const model::BackpressureReport report = backpressure_.takeNews(now);
    if (!report.notices.empty())
        tellNearRegistries(report);
}

void GatewayCore::tellNearRegistries(const model::Message& message)
{
    for (const HostId& host : roster_->nearControlHosts())
        actions_.emplace_back(requests::Action(model::Outgoing {.to = host, .message = message}));
}

std::string GatewayCore::probePathOf(const ServiceName& service) const
{
    const model::RoutedService* found = routes_ ? routes_->plan().findService(service) : nullptr;
    return found == nullptr ? std::string() : found->probePath;
}

void GatewayCore::updateStop(Timestamp now)
{
    if (!stopAskedAt_ || isStopTold_)
        return;
    const Duration limit = settings_.limits.stopTimeLimit - StopReserve;
    const Duration stay = std::min(fromSeconds(toSeconds(settings_.lookUpTtl) * TtlsToStay), limit);
    const Duration waited = now - *stopAskedAt_;
    if (waited >= stay)
        runner_.startRefusing();
    if (runner_.inFlight() > 0 || runner_.answersOnTheirWay() > 0)
        busyAt_ = now;
    const bool isBusy = now - busyAt_ < AnswerSettling;
    if (waited < stay || (isBusy && waited < limit))
        return;
    isStopTold_ = true;
    actions_.emplace_back(host::StopFinished {.requestsCut = static_cast<uint32_t>(runner_.inFlight())});
}

void GatewayCore::gather(Timestamp now)
{
    runner_.noteCredits(now); // Refusals of requests that found nobody to ask.
    for (requests::Action& action : runner_.takeActions())
        actions_.emplace_back(std::move(action));
    tellBackpressure(now); // Before credits of these limits are asked for.
    for (model::Outgoing& outgoing : credits_.takeOutgoing())
        actions_.emplace_back(requests::Action(std::move(outgoing)));
    for (model::Outgoing& outgoing : roster_->takeOutgoing())
        actions_.emplace_back(requests::Action(std::move(outgoing)));
    for (model::Outgoing& outgoing : holder_->takeOutgoing())
        actions_.emplace_back(requests::Action(std::move(outgoing)));
    for (requests::Action& action : quarantine_.takeActions())
        actions_.emplace_back(std::move(action));
    tellSuspects(now);
    for (host::LogLine& line : decisions_.take(now))
        actions_.emplace_back(std::move(line));
    for (host::LogLine& line : quarantine_.takeLines())
        actions_.emplace_back(std::move(line));
    for (host::LogLine& line : backpressure_.takeLines())
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
        .state = stopAskedAt_ ? model::HostState::Leaving
                              : (isReady() ? model::HostState::Serving : model::HostState::Joining),
        .isCutOff = holder_->isCutOff(now),
        .inForceVersion = routes_ ? routes_->plan().version : BundleVersion {},
        .stateAge = holder_->age(now),
        .wordAge = holder_->provenAnswerAge(now),
        .requestsInFlight = static_cast<uint32_t>(runner_.inFlight()),
        .dispatchesInFlight = static_cast<uint32_t>(runner_.inFlight()),
        .targetsKnown = static_cast<uint32_t>(targets_.size()),
    };
}

std::unique_ptr<host::IHostCore> makeGateway(const GatewayOptions& options)
{
    return std::make_unique<GatewayCore>(options);
}

} // namespace saltvane::gateway
