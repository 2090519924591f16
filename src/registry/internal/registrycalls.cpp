/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/lookups.h"
#include "registry/internal/registrycore.h"
#include "registry/internal/targetreports.h"

#include <nlohmann/json.hpp>
#include <utility>

/// How RegistryCore carries out the calls of callers, targets and operators.
namespace saltvane::registry {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 412;
/// Of a host's memory, for bodies of calls, orders and plans that are read: 16 MB of 256.
constexpr uint64_t PartForCalls = 16;

} // namespace

void RegistryCore::run(requests::HttpHandle handle, const LookUpCall& call, OpenCall& /*open*/, Timestamp now)
{
    const Origin caller {.zone = call.zone, .region = call.region};
    const std::vector<model::Address> addresses = gatewaysFor(*roster_, settings_.region, caller, now);
    counters_->add(addresses.empty() ? model::Counter::LookUpsRefused : model::Counter::LookUps);
    if (addresses.empty())
        return answer(laterAnswer(handle, "no gateway is known"));
    nlohmann::json hosts = nlohmann::json::array();
    for (const model::Address& address : addresses)
        hosts.push_back(toString(address));
    const nlohmann::json body {{"hosts", std::move(hosts)}, {"ttl_s", toSeconds(settings_.lookUpTtl)}};
    answer(jsonAnswer(handle, StatusOk, body.dump()));
}

void RegistryCore::run(requests::HttpHandle handle, const TargetHeartbeatCall& call, OpenCall& open, Timestamp now)
{
    Result<model::TargetRecord, Findings> heartbeat = readTargetHeartbeat(call.target, open.body);
    if (!heartbeat)
        return refuseReport(handle, open, heartbeat.error(), now);
    if (!isServiceNamed(heartbeat.value())) {
        Findings findings;
        findings.add(
            {.place = {.source = "heartbeat"}, .field = "service", .message = "the plan names no such service"});
        return refuseReport(handle, open, findings, now);
    }
    counters_->add(model::Counter::Announcements);
    const model::TargetIncarnation start {.target = call.target, .incarnation = heartbeat.value().incarnation};
    const bool isBound = isRetired(start);
    const bool mustRetire = heartbeat.value().isLeaving && !isBound;
    heartbeat.value().isLeaving = heartbeat.value().isLeaving || isBound;
    if (!targets_.note(std::move(heartbeat.value()), now))
        counters_->add(model::Counter::StaleMessages);
    if (mustRetire)
        return retire(handle, start, now);
    answer(jsonAnswer(handle, StatusOk, "{}"));
}

void RegistryCore::run(requests::HttpHandle handle, const TargetLeaveCall& call, OpenCall& open, Timestamp now)
{
    const Result<Incarnation, Findings> told = readTargetLeave(call.target, open.body);
    if (!told)
        return refuseReport(handle, open, told.error(), now);
    // A leave that doesn't tell the start is of the one that is known.
    const Incarnation known = targets_.incarnationOf(call.target);
    const model::TargetIncarnation start {
        .target = call.target, .incarnation = told.value().value == 0 ? known : told.value()};
    targets_.remove(start);
    if (isRetired(start))
        return answer(jsonAnswer(handle, StatusOk, "{}"));
    retire(handle, start, now);
}

void RegistryCore::refuseReport(
    requests::HttpHandle handle, const OpenCall& open, const Findings& findings, Timestamp now)
{
    counters_->add(model::Counter::AnnouncementsRefused);
    if (std::optional<host::LogLine> line = refusedReports_.note(open.path, findings, now))
        actions_.emplace_back(*std::move(line));
    answer(findingsAnswer(handle, findings.items()));
}

bool RegistryCore::isServiceNamed(const model::TargetRecord& record)
{
    const control::RoutingState& routing = replica_->routing();
    if (routing.planVersion.value == 0)
        return true; // Targets may come before the first plan.
    if (servicesAsOf_ != routing.planPosition) {
        servicesAsOf_ = routing.planPosition;
        services_ = statedServices(routing.planContent);
    }
    // One that a newer plan has dropped still has to be heard when it leaves.
    return services_.contains(record.service) || targets_.isKnown(record.target, record.service);
}

void RegistryCore::retire(requests::HttpHandle handle, const model::TargetIncarnation& start, Timestamp now)
{
    orders_.submit(handle, control::RetireTarget {.target = start.target, .incarnation = start.incarnation}, now);
}

void RegistryCore::run(requests::HttpHandle handle, const ReplacePlanCall& call, OpenCall& open, Timestamp now)
{
    log(host::LogSeverity::Info,
        "event=plan_order base=" + std::to_string(call.base.value) + " bytes=" + std::to_string(open.body.size()));
    planQueue_.add({.handle = handle,
        .order = {.base = call.base, .version = statedVersion(open.body), .content = std::move(open.body)}});
    submitReadPlan(now);
}

void RegistryCore::submitReadPlan(Timestamp now)
{
    // Who doesn't lead only tells who does.
    if (std::optional<PlanQueue::Entry> read = replica_->isLeader() ? planQueue_.takeRead() : planQueue_.takeUnread())
        orders_.submit(read->handle, std::move(read->order), now);
}

void RegistryCore::run(requests::HttpHandle handle, ReadPlanCall /*call*/, OpenCall& /*open*/, Timestamp now)
{
    const control::RoutingState& routing = replica_->routing();
    if (!replica_->isCurrent(now) || routing.planContent.empty()) {
        counters_->add(model::Counter::NotCurrentAnswers);
        return answer(laterAnswer(handle, "no plan, or no proof that it is the newest"));
    }
    answerWithPlan(handle);
}

void RegistryCore::run(requests::HttpHandle handle, const EvacuationCall& call, OpenCall& /*open*/, Timestamp now)
{
    orders_.submit(handle, control::SetEvacuation {.zone = call.zone, .isEvacuated = call.isEvacuated}, now);
}

void RegistryCore::run(requests::HttpHandle handle, StatusCall /*call*/, OpenCall& /*open*/, Timestamp now)
{
    answer(jsonAnswer(handle, StatusOk, statusText(now)));
}

void RegistryCore::run(requests::HttpHandle handle, UnknownCall /*call*/, OpenCall& /*open*/, Timestamp /*now*/)
{
    answer(errorAnswer(handle, StatusNotFound, "no such call"));
}

bool RegistryCore::mayHold(requests::HttpHandle handle, uint64_t bytes)
{
    if (callBytes_ + bytes > settings_.limits.memoryBytes / PartForCalls) {
        log(host::LogSeverity::Warning, "event=call_refused held_bytes=" + std::to_string(callBytes_));
        answer(laterAnswer(handle, "too many calls at once"));
        return false;
    }
    callBytes_ += bytes;
    return true;
}

void RegistryCore::endCall(requests::HttpHandle handle)
{
    if (const auto call = calls_.extract(handle); !call.empty())
        callBytes_ -= call.mapped().heldBytes;
    if (const auto answered = planAnswers_.extract(handle); !answered.empty())
        callBytes_ -= answered.mapped();
}

void RegistryCore::answerWithPlan(requests::HttpHandle handle)
{
    const std::string& plan = replica_->routing().planContent;
    if (!mayHold(handle, plan.size()))
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
    endCall(respond.handle);
    actions_.emplace_back(requests::Action(std::move(respond)));
}

requests::HttpRespond RegistryCore::answerOf(const OrderAnswer& order, const OpenCall& open) const
{
    if (std::holds_alternative<OrderDone>(order.outcome))
        return jsonAnswer(order.handle, StatusOk, "{}");
    if (const auto* unanswered = std::get_if<OrderUnanswered>(&order.outcome))
        return laterAnswer(order.handle, unanswered->reason);
    if (const auto* elsewhere = std::get_if<OrderElsewhere>(&order.outcome)) {
        const membership::RosterEntry* leader = roster_->find(elsewhere->leader);
        if (leader == nullptr)
            return laterAnswer(order.handle, "the control leader's address is not known yet");
        return redirectAnswer(order.handle, leader->record.entryAddress, open.path);
    }
    const control::ControlError& error = std::get<OrderRefused>(order.outcome).error;
    if (error.kind == control::ControlErrorKind::Conflict)
        return errorAnswer(order.handle, StatusConflict, error.message);
    if (!error.findings.empty())
        return findingsAnswer(order.handle, error.findings);
    return errorAnswer(order.handle, StatusBadRequest, error.message);
}

void RegistryCore::answerOrders()
{
    for (const OrderAnswer& order : orders_.takeAnswers()) {
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
