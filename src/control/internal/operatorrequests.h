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

/// Operators' requests at this replica: checked against the bundle and the signatures, put into the log by a current
/// leader, answered once applied. A request that waits behind an approval sees the operators that it brings.
class OperatorRequests {
public:
    OperatorRequests(const ControlReplicaOptions& options, Consensus& consensus, const ControlState& state);

    [[nodiscard]] SubmissionId submit(Command command, Timestamp now);
    void noteApplied(const AppliedEntry& applied);
    /// Answers what can not be answered from the log any more, and goes on with what waits.
    void advance(Timestamp now);
    [[nodiscard]] std::vector<SubmissionAnswer> takeAnswers();

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
    [[nodiscard]] std::optional<ControlError> faultOf(const ProposeBundle& command);
    [[nodiscard]] std::optional<ControlError> faultOf(const ApproveBundle& command);
    [[nodiscard]] std::optional<ControlError> faultOf(const RevertBundle& command);
    [[nodiscard]] std::optional<ControlError> faultOf(const ReplacePlan& command);
    [[nodiscard]] static std::optional<ControlError> faultOf(const SetEvacuation& /*command*/) { return {}; }
    [[nodiscard]] static std::optional<ControlError> faultOf(const RetireTarget& /*command*/) { return {}; }
    [[nodiscard]] std::optional<ControlError> signatureFault(
        const OperatorName& signer, std::string_view text, std::string_view signature);
    [[nodiscard]] const std::vector<model::Operator>& operators();

    const ControlReplicaOptions& options_;
    Consensus& consensus_;
    const ControlState& state_;
    uint64_t lastSubmission_ = 0;
    std::deque<Waiting> waiting_;
    std::map<LogIndex, Pending> pending_;
    std::vector<SubmissionAnswer> answers_;
    std::vector<model::Operator> operators_; ///< Of the bundle in force at operatorsPosition_.
    LogPosition operatorsPosition_;
};

} // namespace saltvane::control
