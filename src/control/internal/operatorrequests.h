/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/icontrolreplica.h"
#include "control/internal/consensus.h"
#include "control/internal/controlstate.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace saltvane::control {

/// Operators' requests at this replica. A current leader validates their content and signatures, appends them to the
/// log and answers them once applied. Requests after an approval wait for its outcome, because it may change the
/// operators.
class OperatorRequests {
public:
    OperatorRequests(const ControlReplicaOptions& options, Consensus& consensus, const ControlState& state);

    [[nodiscard]] SubmissionId submit(Command command, Timestamp now);
    void onApplied(const AppliedEntry& applied);
    /// Answers requests whose outcome can no longer be determined, and processes the queue.
    void advance(Timestamp now);
    [[nodiscard]] std::vector<SubmissionAnswer> drainAnswers();

private:
    struct Waiting {
        SubmissionId submission;
        Command command;
    };
    struct Pending {
        SubmissionId submission;
        LogTerm term;
        bool isApproval = false;
        Timestamp since;
    };

    void process(Waiting waiting, Timestamp now);
    void answer(SubmissionId submission, BundleOutcome outcome);
    void abandonAll();
    [[nodiscard]] bool isApprovalPending() const;
    [[nodiscard]] std::optional<ControlError> refusal(Timestamp now) const;
    [[nodiscard]] std::optional<ControlError> findError(const ProposeBundle& command);
    [[nodiscard]] std::optional<ControlError> findError(const ApproveBundle& command);
    [[nodiscard]] std::optional<ControlError> findError(const RevertBundle& command);
    [[nodiscard]] std::optional<ControlError> findError(const ReplacePlan& command);
    [[nodiscard]] static std::optional<ControlError> findError(const SetEvacuation& /*command*/) { return {}; }
    [[nodiscard]] static std::optional<ControlError> findError(const RetireTarget& /*command*/) { return {}; }
    [[nodiscard]] static std::optional<ControlError> findError(const StartRollout& /*command*/) { return {}; }
    [[nodiscard]] static std::optional<ControlError> findError(const AdvanceRollout& /*command*/) { return {}; }
    [[nodiscard]] std::optional<ControlError> signatureError(
        const OperatorName& signer, std::string_view text, std::string_view signature);
    [[nodiscard]] const std::vector<model::Operator>& operators();

    const ControlReplicaOptions& options_;
    Consensus& consensus_;
    const ControlState& state_;
    uint64_t lastSubmission_ = 0;
    std::deque<Waiting> waiting_;
    std::map<LogIndex, Pending> pending_;
    std::vector<SubmissionAnswer> answers_;
    std::vector<model::Operator> operators_; ///< Operators of the bundle approved at operatorsPosition_.
    LogPosition operatorsPosition_;
};

} // namespace saltvane::control
