/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "leavingtargets.h"

#include <algorithm>
#include <array>

namespace saltvane::fleet::test {

namespace {

constexpr Duration ReportInterval = 1s;
/// A call without an answer for this long is sent to another host.
constexpr Duration CallTimeout = 1s;
constexpr size_t Registries = 6;
constexpr int StatusOk = 200;
constexpr int StatusRedirect = 307;
constexpr uint16_t FirstPort = 9000;
constexpr uint16_t PortsPerGeneration = 1000;
constexpr size_t StartStatements = 3;
constexpr uint64_t FirstStartMs = 1'700'000'000'000;
constexpr std::array<const char*, 3> Zones {"north-a", "south-a", "west-a"};

std::string locationOf(const registry::test::RegistryCluster::Answer& answer)
{
    const auto location = std::ranges::find(answer.headers, "Location", &model::Header::name);
    return location == answer.headers.end() ? std::string() : location->value;
}

} // namespace

LeavingTargets::LeavingTargets(registry::test::RegistryCluster& registries, size_t count, unsigned int seed)
    : registries_(registries)
    , random_(seed)
    , targets_(count)
{
    for (Target& target : targets_) {
        target.id = "t-" + std::to_string(indexOf(target));
        target.startStatement = static_cast<StartStatement>(indexOf(target) % StartStatements);
        target.startedMs = FirstStartMs;
        target.port = static_cast<uint16_t>(FirstPort + indexOf(target));
        target.registry = randomRegistry();
        target.nextReportAt = registries_.now() + ReportInterval * indexOf(target) / count;
    }
}

size_t LeavingTargets::randomRegistry() { return std::uniform_int_distribution<size_t>(0, Registries - 1)(random_); }

std::string LeavingTargets::pathOf(const Target& target, const std::string& call)
{
    return "/v1/targets/" + target.id + "/" + call;
}

std::string LeavingTargets::reportOf(const Target& target, const std::string& state) const
{
    const std::string start = target.startStatement == StartStatement::None
        ? std::string()
        : R"(,"started_ms":)" + std::to_string(target.startedMs);
    return R"({"service":"quotes","address":")" + toString(addressOf(indexOf(target))) + R"(","zone":")"
        + Zones.at(indexOf(target) / StartStatements % Zones.size()) + R"(","version":"v1","slots":9,"state":")" + state
        + R"(","slow_start_left_ms":0,"sequence":)" + std::to_string(target.sequence) + start + "}";
}

void LeavingTargets::report(Target& target)
{
    target.nextReportAt = registries_.now() + ReportInterval;
    ++target.sequence;
    if (!registries_.isRunning(target.registry) || registries_.isSuspended(target.registry))
        target.registry = randomRegistry();
    if (!registries_.isRunning(target.registry))
        return;
    const bool isLeaveReported = target.leave && target.leave != LeaveKind::CallBetweenReports;
    registries_.post(
        target.registry, pathOf(target, "heartbeat"), reportOf(target, isLeaveReported ? "leaving" : "ready"));
}

bool LeavingTargets::leavesByCall(const Target& target)
{
    return target.leave == LeaveKind::Call || target.leave == LeaveKind::CallBetweenReports;
}

void LeavingTargets::startLeave(size_t number, LeaveKind kind) { targets_.at(number).leave = kind; }

void LeavingTargets::restart(size_t number)
{
    Target& target = targets_.at(number);
    constexpr uint64_t RestartMs = 1000;
    target.startedMs += RestartMs;
    target.port = static_cast<uint16_t>(target.port + PortsPerGeneration);
    target.sequence = 0;
    target.registry = randomRegistry();
    target.leave.reset();
    target.leaveCall.reset();
    target.acknowledgedAt.reset();
    target.nextReportAt = registries_.now();
}

void LeavingTargets::sendLateReport(size_t number, Duration delay)
{
    const Target& target = targets_.at(number);
    lateReports_.push_back(
        {.at = registries_.now() + delay, .path = pathOf(target, "heartbeat"), .body = reportOf(target, "ready")});
}

void LeavingTargets::callLeave(Target& target, size_t registry)
{
    if (!registries_.isRunning(registry))
        return;
    ++target.sequence;
    const bool isCall = leavesByCall(target);
    const std::string call = target.startStatement == StartStatement::Everywhere
        ? R"({"started_ms":)" + std::to_string(target.startedMs) + "}"
        : std::string();
    target.leaveCall = {.handle = registries_.beginPost(registry, pathOf(target, isCall ? "leave" : "heartbeat"),
                            isCall ? call : reportOf(target, "leaving")),
        .registry = registry,
        .sentAt = registries_.now()};
}

void LeavingTargets::advanceLeave(Target& target)
{
    if (target.acknowledgedAt)
        return;
    if (!target.leaveCall)
        return callLeave(target, randomRegistry());
    const Call call = *target.leaveCall;
    const auto answer = registries_.takeAnswer(call.handle);
    if (!answer && registries_.now() - call.sentAt < CallTimeout)
        return;
    target.leaveCall.reset();
    if (!answer)
        return;
    if (answer->status == StatusOk) {
        target.acknowledgedAt = registries_.now();
        target.acknowledgedLeaves.emplace(target.port, registries_.now());
        if (onAcknowledged)
            onAcknowledged(call.registry);
    } else if (answer->status == StatusRedirect) {
        if (const std::optional<size_t> leader = registries_.numberOfUrl(locationOf(*answer)))
            callLeave(target, *leader);
    }
}

void LeavingTargets::step()
{
    for (Target& target : targets_) {
        const bool isSilent
            = target.leave == LeaveKind::Call || (target.acknowledgedAt && target.leave == LeaveKind::SingleReport);
        if (target.leave)
            advanceLeave(target);
        if (!isSilent && registries_.now() >= target.nextReportAt)
            report(target);
    }
    std::erase_if(lateReports_, [this](const LateReport& late) {
        const size_t registry = randomRegistry();
        const bool isDue = registries_.now() >= late.at && registries_.isRunning(registry);
        if (isDue)
            registries_.post(registry, late.path, late.body);
        return isDue;
    });
}

const LeavingTargets::Target& LeavingTargets::find(const TargetId& id) const
{
    return *std::ranges::find(targets_, id.value(), &Target::id);
}

std::optional<Timestamp> LeavingTargets::acknowledgedAt(const TargetId& id, const model::Address& address) const
{
    const Target& target = find(id);
    const auto leave = target.acknowledgedLeaves.find(address.port);
    return leave == target.acknowledgedLeaves.end() ? std::nullopt : std::optional(leave->second);
}

} // namespace saltvane::fleet::test
