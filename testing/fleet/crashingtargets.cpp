/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "crashingtargets.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace saltvane::fleet::test {

namespace {

constexpr std::array<const char*, 3> Zones {"north-a", "south-a", "west-a"};
constexpr size_t Registries = FleetOptions().registries;
constexpr Duration ReportInterval = 1s;
constexpr Duration LeaveCallInterval = 1s;
/// Timeout of a connection attempt that gets no reply.
constexpr Duration ConnectTimeout = 500ms;
/// Fraction of repeatable requests that are sent on a connection from before.
constexpr double ReuseFraction = 0.5;
constexpr std::string_view AtMostOncePath = "/once/";
constexpr std::string_view RequestIdHeader = "Saltvane-Request-Id";
constexpr int StatusOk = 200;
constexpr int StatusFailed = 500;
constexpr int StatusMisdirected = 421;
constexpr int StatusUnavailable = 503;

std::string_view headerOf(const requests::TargetStart& start, std::string_view name)
{
    const auto found = std::ranges::find_if(
        start.headers, [&](const model::Header& header) { return model::isSameFieldName(header.name, name); });
    return found == start.headers.end() ? std::string_view() : std::string_view(found->value);
}

} // namespace

CrashingTargets::CrashingTargets(Fleet& fleet, const Options& options, unsigned int seed)
    : fleet_(fleet)
    , options_(options)
    , random_(seed)
    , targets_(options.count)
{
    uint16_t port = 9000;
    for (size_t number = 0; number < targets_.size(); ++number) {
        targets_[number].address = {.ip = "10.9.0.1", .port = ++port};
        targets_[number].zone = Zones.at(number % Zones.size());
        targets_[number].registry = number % Registries;
        start(targets_[number]);
    }
}

void CrashingTargets::start(Target& target)
{
    target.incarnation = ++incarnations_;
    const bool isNewId = !options_.keepsId || target.id.empty();
    if (isNewId)
        target.id = "t-" + std::to_string(target.address.port) + "-" + std::to_string(target.incarnation);
    target.isUp = true;
    target.sequence = 0;
    target.isRetiring = false;
    target.reportsDelayedUntil = {};
    // Without the option nothing is drawn, so that the other tests keep drawing the same sequence.
    if (options_.reportsToAnyRegistry)
        target.registry = registryOtherThan(target.registry);
    target.nextReportAt = now();
    if (target.incarnation > targets_.size())
        target.slowUntil = now() + options_.slowStart;
}

void CrashingTargets::report(Target& target)
{
    target.nextReportAt = now() + ReportInterval;
    const auto slowStartLeft = std::chrono::duration_cast<std::chrono::milliseconds>(target.slowUntil - now());
    nlohmann::json body {{"service", "quotes"}, {"address", toString(target.address)}, {"zone", target.zone},
        {"version", "v1"}, {"slots", options_.slots}, {"state", target.isRetiring ? "leaving" : "ready"},
        {"slow_start_left_ms", std::max<int64_t>(slowStartLeft.count(), 0)}, {"sequence", ++target.sequence}};
    if (statesStart())
        body["started_ms"] = target.incarnation;
    if (isCutOff(target))
        return;
    const std::string path = "/v1/targets/" + target.id + "/heartbeat";
    if (now() < target.reportsDelayedUntil) {
        lateReports_.push_back({.at = now() + target.reportDelay,
            .target = static_cast<size_t>(&target - targets_.data()),
            .incarnation = target.incarnation,
            .path = path,
            .body = body.dump()});
        return;
    }
    const std::optional<size_t> registry = registryFor(target);
    if (!registry)
        return;
    fleet_.registries().post(*registry, path, body.dump());
    target.hasReported = true;
}

std::optional<size_t> CrashingTargets::registryFor(Target& target)
{
    if (!options_.reportsToAnyRegistry)
        return fleet_.registries().leader();
    if (!fleet_.registries().isRunning(target.registry))
        target.registry = registryOtherThan(target.registry);
    return fleet_.registries().isRunning(target.registry) ? std::optional(target.registry) : std::nullopt;
}

size_t CrashingTargets::registryOtherThan(size_t registry)
{
    return (registry + std::uniform_int_distribution<size_t>(1, Registries - 1)(random_)) % Registries;
}

void CrashingTargets::leave(size_t target)
{
    targets_.at(target).isRetiring = true;
    targets_[target].isLeaveAcknowledged = false;
    targets_[target].nextLeaveCallAt = now();
}

void CrashingTargets::callLeave(Target& target)
{
    if (target.leaveCall) {
        const auto answer = fleet_.registries().takeAnswer(*target.leaveCall);
        target.isLeaveAcknowledged = target.isLeaveAcknowledged || (answer && answer->status == StatusOk);
    }
    const std::optional<size_t> leader = fleet_.registries().leader();
    if (target.isLeaveAcknowledged || now() < target.nextLeaveCallAt || isCutOff(target) || !leader)
        return;
    target.nextLeaveCallAt = now() + LeaveCallInterval;
    const std::string body = statesStart() ? nlohmann::json {{"started_ms", target.incarnation}}.dump() : std::string();
    target.leaveCall = fleet_.registries().beginPost(*leader, "/v1/targets/" + target.id + "/leave", body);
}

void CrashingTargets::delayReports(size_t target, Duration delay, Duration duration)
{
    targets_.at(target).reportDelay = delay;
    targets_.at(target).reportsDelayedUntil = now() + duration;
}

void CrashingTargets::deliverLateReports()
{
    std::erase_if(lateReports_, [this](const LateReport& late) {
        if (now() < late.at)
            return false;
        const size_t registry = std::uniform_int_distribution<size_t>(0, Registries - 1)(random_);
        if (!fleet_.registries().isRunning(registry))
            return false;
        fleet_.registries().post(registry, late.path, late.body);
        const Target& target = targets_.at(late.target);
        overtakenReports_ += target.incarnation > late.incarnation && target.hasReported ? 1 : 0;
        return true;
    });
}

void CrashingTargets::sendEvent(size_t gateway, requests::TargetEvent event, Duration delay)
{
    pendingEvents_.push_back({.at = now() + delay, .gateway = gateway, .event = std::move(event)});
}

bool CrashingTargets::handleAction(size_t gateway, const requests::Action& action)
{
    if (const auto* start = std::get_if<requests::TargetStart>(&action)) {
        accept(gateway, *start);
        return true;
    }
    const auto* cancel = std::get_if<requests::TargetCancel>(&action);
    if (cancel == nullptr)
        return false;
    const auto isCancelled
        = [&](const auto& run) { return run.gateway == gateway && run.dispatch == cancel->dispatch; };
    for (Target& target : targets_)
        std::erase_if(target.runs, isCancelled);
    std::erase_if(pendingEvents_, [&](const PendingEvent& pending) {
        return pending.gateway == gateway
            && std::visit([&](const auto& event) { return event.dispatch == cancel->dispatch; }, pending.event);
    });
    return true;
}

void CrashingTargets::dropGateway(size_t gateway)
{
    for (Target& target : targets_)
        std::erase_if(target.runs, [&](const Run& run) { return run.gateway == gateway; });
    std::erase_if(pendingEvents_, [&](const PendingEvent& pending) { return pending.gateway == gateway; });
}

void CrashingTargets::accept(size_t gateway, const requests::TargetStart& start)
{
    if (!passesPartition(gateway, start))
        return;
    if (const model::Reason reason = fleet_.recheck(gateway, start.dispatch); reason != model::Reason::None)
        return sendEvent(gateway,
            requests::TargetFailed {.dispatch = start.dispatch,
                .mayHaveReachedTarget = false,
                .message = "withheld",
                .withheldFor = reason});
    const auto found = std::ranges::find(targets_, start.address, &Target::address);
    const bool isTargetCutOff = found != targets_.end() && isCutOff(*found);
    if (found == targets_.end() || !found->isUp || isTargetCutOff) {
        const bool isSilent = options_.isUnresponsive || isTargetCutOff;
        const requests::TargetFailed refused {.dispatch = start.dispatch,
            .mayHaveReachedTarget = false,
            .message = "no connection",
            .isRefused = !isSilent};
        return sendEvent(gateway, refused, isSilent ? ConnectTimeout : 10ms);
    }
    Target& target = *found;
    Run run {.gateway = gateway,
        .dispatch = start.dispatch,
        .id = std::string(headerOf(start, "Saltvane-Request-Id")),
        .isFatal = !isHarmless_ && start.path.find(FatalMark) != std::string::npos,
        .isProbe = start.path == "/health",
        .isOnNewConnection = start.needsNewConnection || !start.isRepeatable,
        .path = std::string(headerOf(start, "Saltvane-Client-Account")) + start.path};
    const bool isMisdirected = headerOf(start, "Saltvane-Expect-Target") != target.id;
    Exchange arrival = exchangeOf(target, run);
    arrival.isMisdirected = isMisdirected;
    for (const auto& observer : onArrival)
        observer(arrival);
    if (isMisdirected)
        return respond(target, run, StatusMisdirected, false);
    if (!run.isProbe && !start.needsNewConnection)
        sendSurplus(target, run);
    if (target.signals.backoff)
        return respond(target, run, StatusUnavailable, true);
    if (run.isProbe)
        return respond(target, run, StatusOk, false);
    if (target.runs.size() >= options_.slots + options_.queue)
        return respond(target, run, StatusUnavailable, true);
    target.runs.push_back(std::move(run));
}

CrashingTargets::Partition CrashingTargets::partitionOf(size_t gateway) const
{
    const auto found = partitions_.find(gateway);
    return found == partitions_.end() ? Partition::None : found->second;
}

void CrashingTargets::setPartition(size_t gateway, Partition partition)
{
    partitions_[gateway] = partition;
    if (partition != Partition::Hang && partition != Partition::Reset)
        return;
    std::erase_if(pendingEvents_, [&](const PendingEvent& pending) { return pending.gateway == gateway; });
    if (partition != Partition::Reset)
        return;
    for (const Target& target : targets_) {
        for (const Run& run : target.runs) {
            if (run.gateway == gateway)
                sendEvent(gateway, requests::TargetFailed {.dispatch = run.dispatch, .message = "connection reset"});
        }
    }
}

bool CrashingTargets::passesPartition(size_t gateway, const requests::TargetStart& start)
{
    const Partition partition = partitionOf(gateway);
    if (partition == Partition::None)
        return true;
    const bool usesOpenConnection
        = start.isRepeatable && !start.needsNewConnection && std::bernoulli_distribution(ReuseFraction)(random_);
    if (usesOpenConnection && partition == Partition::RefuseNew)
        return true;
    if (usesOpenConnection && partition == Partition::Hang) {
        (void)fleet_.recheck(gateway, start.dispatch); // Its bytes are lost on the way.
        return false;
    }
    const bool isSilent = partition == Partition::Hang;
    sendEvent(gateway,
        requests::TargetFailed {.dispatch = start.dispatch,
            .mayHaveReachedTarget = false,
            .message = "no connection",
            .isRefused = !isSilent},
        isSilent ? ConnectTimeout : 10ms);
    return false;
}

size_t CrashingTargets::maxRunsOfAtMostOnce() const
{
    size_t most = 0;
    for (const auto& [request, runs] : atMostOnceRuns_)
        most = std::max(most, runs);
    return most;
}

size_t CrashingTargets::runsOfAtMostOnce(const std::string& request) const
{
    const auto found = atMostOnceRuns_.find(request);
    return found == atMostOnceRuns_.end() ? 0 : found->second;
}

void CrashingTargets::setSignals(size_t target, const Signals& signals) { targets_.at(target).signals = signals; }

CrashingTargets::Exchange CrashingTargets::exchangeOf(const Target& target, const Run& run) const
{
    return {.target = static_cast<size_t>(&target - targets_.data()),
        .incarnation = target.id,
        .gateway = run.gateway,
        .isProbe = run.isProbe};
}

void CrashingTargets::keepSurplus(Target& target, const Run& run, requests::TargetResponseHead head)
{
    // Without a rate nothing is drawn, so that the other tests keep drawing the same sequence.
    if (surplus_.rate == 0 || !draw(surplus_.rate))
        return;
    if (draw(surplus_.withoutId))
        std::erase_if(head.headers, [](const model::Header& header) { return header.name == RequestIdHeader; });
    target.surplus[run.gateway] = {.lostAt = now() + SurplusTime, .head = std::move(head)};
}

void CrashingTargets::sendSurplus(Target& target, const Run& run)
{
    const auto found = target.surplus.find(run.gateway);
    if (found == target.surplus.end())
        return;
    SurplusResponse surplus = std::move(found->second);
    target.surplus.erase(found);
    if (now() >= surplus.lostAt)
        return;
    ++surplusSent_;
    surplus.head.dispatch = run.dispatch;
    surplus.head.isNewConnection = false; // It waited on a connection from before.
    const Duration delay = Duration(
        std::uniform_int_distribution<int64_t>(Duration(10ms).count(), options_.maxProcessingTime.count())(random_));
    sendEvent(run.gateway, std::move(surplus.head), delay);
    sendEvent(run.gateway, requests::TargetResponseDone {.dispatch = run.dispatch}, delay);
}

void CrashingTargets::respond(Target& target, const Run& run, int status, bool isNotRun)
{
    requests::TargetResponseHead head {.dispatch = run.dispatch,
        .status = status,
        .headers = {{.name = std::string(RequestIdHeader), .value = run.id},
            {.name = "Saltvane-Load",
                .value = std::to_string(std::min<size_t>(target.runs.size(), options_.slots)) + ",0,"
                    + std::to_string(options_.slots)}},
        .bodyLength = 0,
        .isNewConnection = run.isOnNewConnection};
    if (isNotRun)
        head.headers.push_back({.name = "Saltvane-Not-Run", .value = "1"});
    else if (!run.isProbe && status != StatusMisdirected)
        head.headers.push_back({.name = std::string(DigestHeader), .value = digestOf(run.id, status)});
    if (!run.isProbe)
        keepSurplus(target, run, head);
    if (isNotRun && surplus_.withoutId > 0 && draw(surplus_.withoutId))
        std::erase_if(head.headers, [](const model::Header& header) { return header.name == RequestIdHeader; });
    if (target.signals.backoff && status == StatusUnavailable)
        head.headers.push_back({.name = "Retry-After", .value = std::to_string(toSeconds(*target.signals.backoff))});
    if (target.signals.isLeaving)
        head.headers.push_back({.name = "Saltvane-Leaving", .value = "1"});
    if (target.signals.limit)
        head.headers.push_back({.name = "Saltvane-Limit", .value = std::to_string(*target.signals.limit)});
    if (run.isProbe && now() < target.slowUntil)
        head.headers.push_back(
            {.name = "Saltvane-Slow-Start-Left-Ms", .value = std::to_string((target.slowUntil - now()) / 1ms)});
    sendEvent(run.gateway, std::move(head));
    pendingEvents_.back().response = {exchangeOf(target, run), target.signals};
    sendEvent(run.gateway, requests::TargetResponseDone {.dispatch = run.dispatch});
}

void CrashingTargets::startRuns(Target& target)
{
    std::uniform_int_distribution<int64_t> processingTime(
        options_.minProcessingTime.count(), options_.maxProcessingTime.count());
    const size_t running = std::min<size_t>(target.runs.size(), options_.slots);
    for (size_t i = 0; i < running; ++i) {
        Run& run = target.runs[i];
        if (std::exchange(run.hasStarted, true))
            continue;
        const int slowdown = now() < target.slowUntil ? 2 : 1;
        run.completesAt = now() + Duration(processingTime(random_)) * slowdown;
        if (run.path.find(AtMostOncePath) != std::string::npos)
            ++atMostOnceRuns_[run.id];
        if (run.isFatal)
            fatalRuns_.push_back({.path = run.path, .startedAt = now(), .gateway = run.gateway});
    }
}

void CrashingTargets::completeRuns(Target& target)
{
    const auto isComplete = [&](const Run& run) { return run.hasStarted && run.completesAt <= now(); };
    if (std::ranges::any_of(target.runs, [&](const Run& run) { return isComplete(run) && run.isFatal; }))
        return crash(target, options_.restartDelay);
    for (const Run& run : target.runs) {
        const Partition partition = partitionOf(run.gateway);
        const bool isLost = partition == Partition::Hang || partition == Partition::Reset || isCutOff(target);
        if (isComplete(run) && !isLost)
            respond(target, run, surplus_.failed > 0 && draw(surplus_.failed) ? StatusFailed : StatusOk, false);
    }
    std::erase_if(target.runs, isComplete);
}

void CrashingTargets::crash(size_t target, Duration restartDelay)
{
    if (targets_.at(target).isUp)
        crash(targets_[target], restartDelay);
}

void CrashingTargets::cutOff(size_t target, Duration duration) { targets_.at(target).cutOffUntil = now() + duration; }

void CrashingTargets::crash(Target& target, Duration restartDelay)
{
    target.isUp = false;
    target.hasReported = false;
    target.leaveCall.reset();
    target.restartsAt = now() + restartDelay;
    // For a request on a reused connection, the gateway connects again at once, and that connection is refused.
    std::bernoulli_distribution wasReused(0.5);
    for (const Run& run : target.runs) {
        if (!options_.isUnresponsive && !isCutOff(target))
            sendEvent(run.gateway,
                requests::TargetFailed {
                    .dispatch = run.dispatch, .message = "connection closed", .isRefused = wasReused(random_)});
    }
    target.runs.clear();
    target.surplus.clear();
}

void CrashingTargets::step()
{
    for (Target& target : targets_) {
        if (!target.isUp && now() >= target.restartsAt)
            start(target);
        if (!target.isUp)
            continue;
        completeRuns(target);
        startRuns(target);
        if (target.isUp && now() >= target.nextReportAt)
            report(target);
        if (target.isUp && target.isRetiring)
            callLeave(target);
    }
    deliverLateReports();
    std::vector<PendingEvent> dueEvents;
    std::erase_if(pendingEvents_, [&](PendingEvent& pending) {
        if (pending.at > now())
            return false;
        dueEvents.push_back(std::move(pending));
        return true;
    });
    for (PendingEvent& pending : dueEvents) {
        if (pending.response) {
            for (const auto& observer : onResponse)
                observer(pending.response->first, pending.response->second);
        }
        fleet_.handle(pending.gateway, std::move(pending.event));
    }
}

} // namespace saltvane::fleet::test
