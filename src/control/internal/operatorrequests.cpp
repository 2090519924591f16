/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/operatorrequests.h"

#include "control/internal/commandcodec.h"
#include "control/internal/signatures.h"

#include <algorithm>
#include <string>
#include <type_traits>
#include <utility>

namespace saltvane::control {

namespace {

/// A bundle must fit into one frame between hosts, which is limited to 4 MiB.
constexpr size_t MaxContentBytes = 3 * 1024 * 1024 + 512 * 1024;
constexpr size_t MaxQueuedRequests = 256;
constexpr Duration AnswerTimeout = 5s;

ControlError errorOf(ControlErrorKind kind, std::string message)
{
    return {.kind = kind, .message = std::move(message), .leader = {}, .findings = {}};
}

ControlError unknownOutcome()
{
    return errorOf(
        ControlErrorKind::NotCurrent, "the quorum was lost before the outcome was known; send the same request again");
}

template <typename Kind>
constexpr bool IsOperatorCommand
    = std::is_same_v<Kind,
          ProposeBundle> || std::is_same_v<Kind, ApproveBundle> || std::is_same_v<Kind, RevertBundle> || IsRoutingCommand<Kind>;

template <typename Kind> std::optional<BundleOutcome> knownAnswer(const ControlState& state, const Kind& command)
{
    if constexpr (IsRoutingCommand<Kind>)
        return state.routing().answerFor(command);
    else
        return state.bundles().answerFor(command);
}

} // namespace

OperatorRequests::OperatorRequests(
    const ControlReplicaOptions& options, Consensus& consensus, const ControlState& state)
    : options_(options)
    , consensus_(consensus)
    , state_(state)
{
}

SubmissionId OperatorRequests::submit(Command command, Timestamp now)
{
    const SubmissionId submission {++lastSubmission_};
    if (waiting_.size() >= MaxQueuedRequests)
        answer(submission, errorOf(ControlErrorKind::Busy, "too many pending requests"));
    else if (isApprovalPending() || !waiting_.empty())
        waiting_.push_back({.submission = submission, .command = std::move(command)});
    else
        process({.submission = submission, .command = std::move(command)}, now);
    return submission;
}

std::optional<ControlError> OperatorRequests::refusal(Timestamp now) const
{
    const ReplicaContext& context = consensus_.context();
    if (context.storage.isFailing())
        return errorOf(ControlErrorKind::StorageFull, "the disk of this control host does not accept writes");
    const bool isCurrent = consensus_.isCurrent(now);
    if (consensus_.isLeader() && isCurrent)
        return std::nullopt;
    if (isCurrent && !consensus_.isLeader() && !context.leaderHost.isEmpty()) {
        ControlError error = errorOf(ControlErrorKind::NotLeader, "another control host is the leader");
        error.leader = context.leaderHost;
        return error;
    }
    context.count(model::Counter::NotCurrentAnswers);
    return errorOf(ControlErrorKind::NotCurrent, "no recent proof from a quorum; this control host may be cut off");
}

void OperatorRequests::process(Waiting waiting, Timestamp now)
{
    if (const std::optional<ControlError> error = refusal(now))
        return answer(waiting.submission, *error);
    std::visit(
        [&](const auto& command) {
            using Kind = std::decay_t<decltype(command)>;
            if constexpr (!IsOperatorCommand<Kind>) {
                answer(waiting.submission, errorOf(ControlErrorKind::Invalid, "not an operator's request"));
            } else {
                if (std::optional<BundleOutcome> known = knownAnswer(state_, command))
                    return answer(waiting.submission, *std::move(known));
                if (std::optional<ControlError> invalid = findError(command))
                    return answer(waiting.submission, *std::move(invalid));
                const LogPosition position = consensus_.propose(encodeCommand(command));
                pending_[position.index] = {.submission = waiting.submission,
                    .term = position.term,
                    .isApproval = std::is_same_v<Kind, ApproveBundle>,
                    .since = now};
            }
        },
        waiting.command);
}

std::optional<ControlError> OperatorRequests::findError(const ProposeBundle& command)
{
    if (command.content.size() > MaxContentBytes)
        return errorOf(ControlErrorKind::Invalid, "the bundle is larger than 3.5 MiB");
    if (std::optional<ControlError> invalid = signatureError(command.author, proposalText(command), command.signature))
        return invalid;
    const Result<model::Bundle, Findings> bundle = options_.parseBundle(command.content);
    if (!bundle) {
        ControlError error = errorOf(ControlErrorKind::Invalid, "the bundle has findings");
        error.findings = bundle.error().items();
        return error;
    }
    if (bundle.value().version != command.version)
        return errorOf(ControlErrorKind::Invalid,
            "the version of the bundle is " + std::to_string(bundle.value().version.value) + ", that of the request "
                + std::to_string(command.version.value));
    return std::nullopt;
}

std::optional<ControlError> OperatorRequests::findError(const ApproveBundle& command)
{
    return signatureError(command.approver, approvalText(command), command.signature);
}

std::optional<ControlError> OperatorRequests::findError(const RevertBundle& command)
{
    return signatureError(command.author, revertText(command), command.signature);
}

std::optional<ControlError> OperatorRequests::findError(const ReplacePlan& command)
{
    if (command.content.size() > MaxContentBytes)
        return errorOf(ControlErrorKind::Invalid, "the plan is larger than 3.5 MiB");
    if (!options_.checkPlan)
        return errorOf(ControlErrorKind::Invalid, "this deployment accepts signed bundles, not plans");
    const Result<BundleVersion, Findings> version = options_.checkPlan(command.content);
    if (!version) {
        ControlError error = errorOf(ControlErrorKind::Invalid, "the plan has findings");
        error.findings = version.error().items();
        return error;
    }
    if (version.value() != command.version)
        return errorOf(ControlErrorKind::Invalid, "the version of the plan differs from that of the request");
    return std::nullopt;
}

std::optional<ControlError> OperatorRequests::signatureError(
    const OperatorName& signer, std::string_view text, std::string_view signature)
{
    const model::Operator* known = findOperator(operators(), signer);
    if (!known)
        return errorOf(
            ControlErrorKind::UnknownOperator, signer.value() + " is not an operator of the bundle in force");
    if (!isSignatureOf(text, signature, known->publicKey))
        return errorOf(ControlErrorKind::BadSignature, "the signature does not match the key of " + signer.value());
    return std::nullopt;
}

const std::vector<model::Operator>& OperatorRequests::operators()
{
    const BundleRecord* inForce = state_.bundles().inForce();
    if (!inForce)
        return options_.bootstrapOperators;
    if (operatorsPosition_ != inForce->approved) {
        operatorsPosition_ = inForce->approved;
        const Result<model::Bundle, Findings> bundle = options_.parseBundle(inForce->content);
        operators_ = bundle ? bundle.value().operators : std::vector<model::Operator> {};
    }
    return operators_.empty() ? options_.bootstrapOperators : operators_;
}

bool OperatorRequests::isApprovalPending() const
{
    return std::ranges::any_of(pending_, [](const auto& item) { return item.second.isApproval; });
}

void OperatorRequests::onApplied(const AppliedEntry& applied)
{
    const auto found = pending_.find(applied.position.index);
    if (found == pending_.end())
        return;
    const Pending pending = found->second;
    pending_.erase(found);
    const auto* outcome = std::get_if<BundleOutcome>(&applied.outcome);
    if (outcome && pending.term == applied.position.term)
        answer(pending.submission, *outcome);
    else
        answer(pending.submission, unknownOutcome());
}

void OperatorRequests::advance(Timestamp now)
{
    const bool isLate
        = std::ranges::any_of(pending_, [&](const auto& item) { return now - item.second.since > AnswerTimeout; });
    const bool isOtherTerm = std::ranges::any_of(
        pending_, [&](const auto& item) { return item.second.term != consensus_.context().hardState.term; });
    if (!consensus_.isLeader() || isLate || isOtherTerm)
        abandonAll();
    while (!waiting_.empty() && !isApprovalPending()) {
        Waiting next = std::move(waiting_.front());
        waiting_.pop_front();
        process(std::move(next), now);
    }
}

void OperatorRequests::abandonAll()
{
    for (const auto& [index, pending] : std::exchange(pending_, {}))
        answer(pending.submission, unknownOutcome());
}

void OperatorRequests::answer(SubmissionId submission, BundleOutcome outcome)
{
    answers_.push_back({.submission = submission, .result = std::move(outcome)});
}

std::vector<SubmissionAnswer> OperatorRequests::drainAnswers() { return std::exchange(answers_, {}); }

} // namespace saltvane::control
