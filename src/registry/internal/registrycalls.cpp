/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/logtext.h"
#include "registry/internal/lookups.h"
#include "registry/internal/registrycore.h"
#include "registry/internal/targetreports.h"

#include <nlohmann/json.hpp>
#include <utility>

/// The part of RegistryCore that handles HTTP calls of callers, targets and operators.
namespace saltvane::registry {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusPreconditionFailed = 412;
/// Share of a host's memory for bodies of calls, orders and plans being sent: 16 MB of 256.
constexpr uint64_t CallMemoryDivisor = 16;

std::string_view eventOf(ReportOutcome outcome)
{
    switch (outcome) {
    case ReportOutcome::Applied:
        return "target_report_applied";
    case ReportOutcome::Restarted:
        return "target_restarted";
    case ReportOutcome::Deferred:
        return "target_report_deferred";
    case ReportOutcome::Stale:
        return "target_report_stale";
    }
    return "target_report_stale";
}

} // namespace

void RegistryCore::run(requests::HttpHandle handle, const LookUpCall& call, OpenCall& /*openCall*/, Timestamp now)
{
    const Origin caller {.zone = call.zone, .region = call.region};
    const std::vector<model::Address> addresses = gatewaysFor(*roster_, settings_.region, caller, now);
    counters_->add(addresses.empty() ? model::Counter::LookUpsRefused : model::Counter::LookUps);
    if (addresses.empty())
        return answer(unavailableAnswer(handle, "no gateway is known"));
    nlohmann::json hosts = nlohmann::json::array();
    for (const model::Address& address : addresses)
        hosts.push_back(toString(address));
    const nlohmann::json body {{"hosts", std::move(hosts)}, {"ttl_s", toSeconds(settings_.lookUpTtl)}};
    answer(jsonAnswer(handle, StatusOk, body.dump()));
}

void RegistryCore::run(requests::HttpHandle handle, const TargetHeartbeatCall& call, OpenCall& openCall, Timestamp now)
{
    Result<model::TargetRecord, Findings> heartbeat = readTargetHeartbeat(call.target, openCall.body);
    if (!heartbeat)
        return refuseReport(handle, openCall, heartbeat.error(), now);
    if (!isServiceInPlan(heartbeat.value())) {
        Findings findings;
        findings.add(
            {.location = {.source = "heartbeat"}, .field = "service", .message = "is not a service of the plan"});
        return refuseReport(handle, openCall, findings, now);
    }
    counters_->add(model::Counter::Announcements);
    const model::TargetIncarnation targetIncarnation {
        .target = call.target, .incarnation = heartbeat.value().incarnation};
    const bool isAlreadyRetired = retired_.contains(targetIncarnation);
    const bool mustRetire = heartbeat.value().isLeaving && !isAlreadyRetired;
    heartbeat.value().isLeaving = heartbeat.value().isLeaving || isAlreadyRetired;
    const model::TargetRecord* known = targets_.find(call.target);
    const uint64_t knownSequence = known == nullptr ? 0 : known->sequence;
    const ReportOutcome outcome = targets_.applyReport(heartbeat.value(), now);
    if (outcome != ReportOutcome::Applied)
        onUnexpectedReport(heartbeat.value(), outcome, knownSequence, now);
    leaveResolver_.recordReport(targetIncarnation);
    if (mustRetire)
        return retire(handle, membership::RetiredTargets::entryFor(targetIncarnation), now);
    answer(jsonAnswer(handle, StatusOk, "{}"));
}

void RegistryCore::onUnexpectedReport(
    const model::TargetRecord& report, ReportOutcome outcome, uint64_t knownSequence, Timestamp now)
{
    if (outcome == ReportOutcome::Stale)
        counters_->add(model::Counter::StaleMessages);
    if (!targetEventLines_.trySpend(now))
        return;
    LogText line(eventOf(outcome));
    line.add("target", report.target.value())
        .add("started_ms", report.incarnation.value)
        .add("sequence", report.sequence)
        .add("known_sequence", knownSequence)
        .addMilliseconds("slow_start_left_ms", report.slowStartLeft);
    log(host::LogSeverity::Info, line.text());
}

void RegistryCore::run(requests::HttpHandle handle, const TargetLeaveCall& call, OpenCall& openCall, Timestamp now)
{
    const Result<Incarnation, Findings> leavingIncarnation = readTargetLeave(call.target, openCall.body);
    if (!leavingIncarnation)
        return refuseReport(handle, openCall, leavingIncarnation.error(), now);
    // Not completed by what this host knows: the target may have started again and report to another host.
    const model::TargetIncarnation entry {.target = call.target, .incarnation = leavingIncarnation.value()};
    if (retired_.covers(entry))
        return answer(jsonAnswer(handle, StatusOk, "{}"));
    retire(handle, entry, now);
}

void RegistryCore::refuseReport(
    requests::HttpHandle handle, const OpenCall& openCall, const Findings& findings, Timestamp now)
{
    counters_->add(model::Counter::AnnouncementsRefused);
    if (std::optional<host::LogLine> line = refusedReports_.record(openCall.path, findings, now))
        actions_.emplace_back(*std::move(line));
    answer(findingsAnswer(handle, findings.items()));
}

bool RegistryCore::isServiceInPlan(const model::TargetRecord& record)
{
    if (replica_->routing().planVersion.value == 0)
        return true; // Targets may report before the first plan.
    // A target whose service was removed by a newer plan must still be able to leave.
    return planServices().contains(record.service) || targets_.isKnown(record.target, record.service);
}

const std::set<ServiceName>& RegistryCore::planServices()
{
    const control::RoutingState& routing = replica_->routing();
    if (servicesPosition_ != routing.planPosition) {
        servicesPosition_ = routing.planPosition;
        services_ = uncheckedServices(routing.planContent);
    }
    return services_;
}

void RegistryCore::retire(requests::HttpHandle handle, const model::TargetIncarnation& entry, Timestamp now)
{
    orders_.submit(handle, control::RetireTarget {.target = entry.target, .incarnation = entry.incarnation}, now);
}

void RegistryCore::run(requests::HttpHandle handle, const ReplacePlanCall& call, OpenCall& openCall, Timestamp now)
{
    log(host::LogSeverity::Info,
        "event=plan_order base=" + std::to_string(call.base.value) + " bytes=" + std::to_string(openCall.body.size()));
    planQueue_.add({.handle = handle,
        .order = {.base = call.base, .version = uncheckedVersion(openCall.body), .content = std::move(openCall.body)}});
    submitPreparedPlan(now);
}

void RegistryCore::submitPreparedPlan(Timestamp now)
{
    // A host that isn't the leader doesn't check plans: it only redirects to the leader.
    if (std::optional<PlanQueue::Entry> prepared
        = replica_->isLeader() ? planQueue_.popPrepared() : planQueue_.popUnprepared())
        orders_.submit(prepared->handle, std::move(prepared->order), now);
}

void RegistryCore::run(requests::HttpHandle handle, ReadPlanCall /*call*/, OpenCall& /*openCall*/, Timestamp now)
{
    const control::RoutingState& routing = replica_->routing();
    if (!replica_->isCurrent(now) || routing.planContent.empty()) {
        counters_->add(model::Counter::NotCurrentAnswers);
        return answer(unavailableAnswer(handle, "no plan, or no proof that it is current"));
    }
    answerWithPlan(handle);
}

void RegistryCore::run(requests::HttpHandle handle, const EvacuationCall& call, OpenCall& /*openCall*/, Timestamp now)
{
    orders_.submit(handle, control::SetEvacuation {.zone = call.zone, .isEvacuated = call.isEvacuated}, now);
}

void RegistryCore::run(requests::HttpHandle handle, StatusCall /*call*/, OpenCall& /*openCall*/, Timestamp now)
{
    answer(jsonAnswer(handle, StatusOk, statusText(now)));
}

void RegistryCore::run(requests::HttpHandle handle, UnknownCall /*call*/, OpenCall& /*openCall*/, Timestamp /*now*/)
{
    answer(errorAnswer(handle, StatusNotFound, "unknown path or method"));
}

bool RegistryCore::reserveCallBytes(requests::HttpHandle handle, uint64_t bytes)
{
    if (callBytes_ + bytes > settings_.limits.memoryBytes / CallMemoryDivisor) {
        log(host::LogSeverity::Warning, "event=call_refused held_bytes=" + std::to_string(callBytes_));
        answer(unavailableAnswer(handle, "too many concurrent calls"));
        return false;
    }
    callBytes_ += bytes;
    return true;
}

void RegistryCore::closeCall(requests::HttpHandle handle)
{
    if (const auto call = calls_.extract(handle); !call.empty())
        callBytes_ -= call.mapped().reservedBytes;
    if (const auto answered = planAnswers_.extract(handle); !answered.empty())
        callBytes_ -= answered.mapped();
}

void RegistryCore::answerWithPlan(requests::HttpHandle handle)
{
    const std::string& plan = replica_->routing().planContent;
    if (!reserveCallBytes(handle, plan.size()))
        return;
    answer(jsonAnswer(handle, StatusOk, plan));
    planAnswers_.emplace(handle, plan.size());
}

std::string RegistryCore::statusText(Timestamp now) const
{
    nlohmann::json replicas = nlohmann::json::array();
    for (const control::ReplicaInfo& info : replica_->replicas())
        replicas.push_back({{"host", info.host.value()}, {"voter", info.isVoter}});
    return nlohmann::json {{"leader", replica_->leaderHost().value()}, {"current", replica_->isCurrent(now)},
        {"term", replica_->term().value}, {"commit", replica_->commitIndex().value},
        {"plan", replica_->routing().planVersion.value}, {"targets", targets_.size()},
        {"gateways", gateways(now).size()}, {"replicas", std::move(replicas)}}
        .dump();
}

void RegistryCore::answer(requests::HttpRespond respond)
{
    closeCall(respond.handle);
    actions_.emplace_back(requests::Action(std::move(respond)));
}

requests::HttpRespond RegistryCore::answerOf(const OrderAnswer& order, const OpenCall& openCall) const
{
    if (std::holds_alternative<OrderCommitted>(order.outcome))
        return jsonAnswer(order.handle, StatusOk, "{}");
    if (const auto* timedOut = std::get_if<OrderTimedOut>(&order.outcome))
        return unavailableAnswer(order.handle, timedOut->reason);
    if (const auto* redirected = std::get_if<OrderRedirected>(&order.outcome)) {
        const membership::RosterEntry* leader = roster_->find(redirected->leader);
        if (leader == nullptr)
            return unavailableAnswer(order.handle, "the control leader's address is unknown");
        return redirectAnswer(order.handle, leader->record.entryAddress, openCall.path);
    }
    const control::ControlError& error = std::get<OrderRefused>(order.outcome).error;
    if (error.kind == control::ControlErrorKind::Conflict)
        return errorAnswer(order.handle, StatusPreconditionFailed, error.message);
    if (error.kind == control::ControlErrorKind::UnderWay)
        return errorAnswer(order.handle, StatusConflict, error.message);
    if (!error.findings.empty())
        return findingsAnswer(order.handle, error.findings);
    return errorAnswer(order.handle, StatusBadRequest, error.message);
}

void RegistryCore::answerOrders()
{
    for (const OrderAnswer& order : orders_.drainAnswers()) {
        const auto found = calls_.find(order.handle);
        if (found == calls_.end())
            continue;
        requests::HttpRespond respond = answerOf(order, found->second);
        log(host::LogSeverity::Info,
            "event=order_answered path=" + found->second.path + " status=" + std::to_string(respond.status)
                + " plan=" + std::to_string(replica_->routing().planVersion.value)
                + " commit=" + std::to_string(replica_->commitIndex().value));
        answer(std::move(respond));
    }
}

} // namespace saltvane::registry
