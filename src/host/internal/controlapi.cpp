/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/controlapi.h"

#include "host/internal/fieldreader.h"
#include "host/internal/milliseconds.h"
#include "host/internal/ownrecord.h"

#include <array>
#include <charconv>
#include <limits>

namespace saltvane::host {

namespace {

using Json = nlohmann::ordered_json;

constexpr size_t MaxContentBytes = 32 * 1024 * 1024;
constexpr size_t MaxNameBytes = 128;
constexpr size_t MaxSignatureBytes = 256;
constexpr uint64_t MaxVersion = std::numeric_limits<int64_t>::max();
constexpr std::string_view BundlesPrefix = "/v1/control/bundles/";

std::string_view nameOf(control::BundleState state)
{
    switch (state) {
    case control::BundleState::Proposed:
        return "proposed";
    case control::BundleState::InForce:
        return "in-force";
    case control::BundleState::Superseded:
        return "superseded";
    }
    return "unknown";
}

Json toJson(const LogPosition& position) { return {{"term", position.term.value}, {"index", position.index.value}}; }

Json toJson(const control::BundleRecord& record)
{
    Json json {{"version", record.version.value}, {"state", nameOf(record.state)}, {"author", record.author.value()},
        {"approver", record.approver.value()}, {"digest", record.digest},
        {"proposed_at_unix_ms", record.proposedAtUnixMs}, {"proposed", toJson(record.proposed)}};
    if (record.approved.index.value > 0)
        json["approved"] = toJson(record.approved);
    if (record.revertOf)
        json["revert_of"] = record.revertOf->value;
    return json;
}

struct ErrorInfo {
    control::ControlErrorKind kind;
    int status;
    std::string_view name;
};
constexpr std::array Errors {
    ErrorInfo {control::ControlErrorKind::NotCurrent, 503, "not-current"},
    ErrorInfo {control::ControlErrorKind::NotLeader, 421, "not-leader"},
    ErrorInfo {control::ControlErrorKind::Conflict, 409, "conflict"},
    ErrorInfo {control::ControlErrorKind::UnderWay, 409, "under-way"},
    ErrorInfo {control::ControlErrorKind::NotFound, 404, "not-found"},
    ErrorInfo {control::ControlErrorKind::BadSignature, 403, "bad-signature"},
    ErrorInfo {control::ControlErrorKind::UnknownOperator, 403, "unknown-operator"},
    ErrorInfo {control::ControlErrorKind::SelfApproval, 403, "self-approval"},
    ErrorInfo {control::ControlErrorKind::Invalid, 422, "invalid"},
    ErrorInfo {control::ControlErrorKind::StorageFull, 507, "storage-full"},
    ErrorInfo {control::ControlErrorKind::Busy, 503, "busy"},
};

ErrorInfo infoOf(control::ControlErrorKind kind)
{
    for (const ErrorInfo& info : Errors) {
        if (info.kind == kind)
            return info;
    }
    return {kind, 500, "unknown"};
}

} // namespace

ControlApi::ControlApi(HostModules& modules)
    : modules_(modules)
{
}

ApiResult ControlApi::propose(const ApiRequest& request, Timestamp now)
{
    return submit(request, &ControlApi::readProposal, now);
}

ApiResult ControlApi::approve(const ApiRequest& request, Timestamp now)
{
    return submit(request, &ControlApi::readApproval, now);
}

ApiResult ControlApi::revert(const ApiRequest& request, Timestamp now)
{
    return submit(request, &ControlApi::readRevert, now);
}

ApiResult ControlApi::submit(const ApiRequest& request, Reader read, Timestamp now)
{
    if (!modules_.replica)
        return answerNotControl(now);
    Findings findings;
    const std::optional<nlohmann::json> body = parseObject(request.body, findings);
    if (!body)
        return makeError(400, "bad-request", findings.items());
    control::Command command = (this->*read)(*body, findings);
    if (!findings.isEmpty())
        return makeError(400, "bad-request", findings.items());
    return ApiPending {modules_.replica->submit(std::move(command), now)};
}

control::Command ControlApi::readProposal(const nlohmann::json& body, Findings& findings) const
{
    FieldReader reader(body, findings);
    control::ProposeBundle proposal;
    proposal.content = reader.text("content", MaxContentBytes);
    proposal.version = {reader.number("version", 1, MaxVersion)};
    proposal.author = OperatorName(reader.text("author", MaxNameBytes));
    proposal.signature = reader.text("signature", MaxSignatureBytes);
    proposal.proposedAtUnixMs = modules_.options.wallClockUnixMs ? modules_.options.wallClockUnixMs() : 0;
    reader.rejectUnknown();
    return proposal;
}

control::Command ControlApi::readApproval(const nlohmann::json& body, Findings& findings) const
{
    FieldReader reader(body, findings);
    control::ApproveBundle approval;
    approval.version = {reader.number("version", 1, MaxVersion)};
    approval.digest = reader.text("digest", MaxNameBytes);
    approval.approver = OperatorName(reader.text("approver", MaxNameBytes));
    approval.signature = reader.text("signature", MaxSignatureBytes);
    reader.rejectUnknown();
    return approval;
}

control::Command ControlApi::readRevert(const nlohmann::json& body, Findings& findings) const
{
    FieldReader reader(body, findings);
    control::RevertBundle revert;
    revert.to = {reader.number("to", 1, MaxVersion)};
    revert.version = {reader.number("version", 1, MaxVersion)};
    revert.author = OperatorName(reader.text("author", MaxNameBytes));
    revert.signature = reader.text("signature", MaxSignatureBytes);
    reader.rejectUnknown();
    return revert;
}

ApiResult ControlApi::listBundles(const ApiRequest&, Timestamp now)
{
    if (std::optional<ApiResponse> error = refuseUnlessCurrent(now))
        return *error;
    Json list = Json::array();
    for (const control::BundleRecord* record : modules_.replica->bundles())
        list.push_back(toJson(*record));
    const control::BundleRecord* inForce = modules_.replica->inForce();
    Json body {{"bundles", std::move(list)}};
    body["in_force"] = inForce != nullptr ? Json(inForce->version.value) : Json();
    return makeResponse(200, body);
}

ApiResult ControlApi::showBundle(const ApiRequest& request, Timestamp now)
{
    if (std::optional<ApiResponse> error = refuseUnlessCurrent(now))
        return *error;
    const std::string_view digits = std::string_view(request.path).substr(BundlesPrefix.size());
    uint64_t version = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), version);
    if (error != std::errc {} || end != digits.data() + digits.size())
        return makeError(400, "bad-request", "version", "must be an integer");
    for (const control::BundleRecord* record : modules_.replica->bundles()) {
        if (record->version.value != version)
            continue;
        Json body = toJson(*record);
        body["content"] = record->content;
        return makeResponse(200, body);
    }
    return makeError(404, "not-found", "version");
}

ApiResult ControlApi::listReplicas(const ApiRequest&, Timestamp now)
{
    if (std::optional<ApiResponse> error = refuseUnlessCurrent(now))
        return *error;
    const control::IControlReplica& replica = *modules_.replica;
    Json list = Json::array();
    for (const control::ReplicaInfo& info : replica.replicas())
        list.push_back({{"replica", info.replica.value()}, {"host", info.host.value()}, {"is_voter", info.isVoter}});
    return makeResponse(200,
        {{"leader", hostJson(replica.leaderHost())}, {"term", replica.term().value},
            {"commit_index", replica.commitIndex().value}, {"proof_age_ms", toMilliseconds(replica.proofAge(now))},
            {"replicas", std::move(list)}});
}

ApiResponse ControlApi::answer(const control::SubmissionAnswer& answer)
{
    if (!answer.result)
        return answerError(answer.result.error());
    return makeResponse(200, toJson(answer.result.value()));
}

std::optional<ApiResponse> ControlApi::refuseUnlessCurrent(Timestamp now)
{
    if (!modules_.replica)
        return answerNotControl(now);
    if (modules_.replica->isCurrent(now))
        return std::nullopt;
    modules_.counters.add(model::Counter::NotCurrentAnswers);
    return makeError(503, "not-current");
}

ApiResponse ControlApi::answerError(const control::ControlError& error)
{
    const ErrorInfo info = infoOf(error.kind);
    switch (error.kind) {
    case control::ControlErrorKind::Invalid:
        return makeError(info.status, info.name, error.findings);
    case control::ControlErrorKind::NotLeader:
        return makeResponse(info.status, {{"error", info.name}, {"leader", hostJson(error.leader)}});
    case control::ControlErrorKind::NotCurrent:
        modules_.counters.add(model::Counter::NotCurrentAnswers);
        break;
    default:
        break;
    }
    return makeError(info.status, info.name, {}, error.message);
}

ApiResponse ControlApi::answerNotControl(Timestamp now) const
{
    return makeResponse(421, {{"error", "not-control"}, {"leader", hostJson(knownControlLeader(modules_, now))}});
}

Json ControlApi::hostJson(const HostId& host) const
{
    if (host.isEmpty())
        return {};
    if (host == modules_.self.host)
        return {{"host", host.value()}, {"address", model::toString(modules_.self.entryAddress)}};
    const membership::HostView* view = modules_.hostTable->find(host);
    if (view == nullptr)
        return {{"host", host.value()}};
    return {{"host", host.value()}, {"address", model::toString(view->record.entryAddress)}};
}

} // namespace saltvane::host
