/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/tests/fakecluster.h"

#include <gtest/gtest.h>

namespace saltvane::control::test {

namespace {

const TestOperator Ana("ana");
const TestOperator Ben("ben");
const TestOperator Cleo("cleo");

/// A single control host that receives operators' requests.
class BundleLifeCycle : public testing::Test {
protected:
    BundleRecord accepted(Command command)
    {
        const auto answer = cluster_.submitAndWait(std::move(command));
        EXPECT_TRUE(answer && answer->isOk()) << (answer && !answer->isOk() ? answer->error().message : "");
        return answer && answer->isOk() ? answer->value() : BundleRecord {};
    }

    ControlError refused(Command command)
    {
        const auto answer = cluster_.submitAndWait(std::move(command));
        EXPECT_TRUE(answer && !answer->isOk());
        return answer && !answer->isOk() ? answer->error() : ControlError {.kind = ControlErrorKind::Busy};
    }

    FakeCluster cluster_ {{.hosts = 1}};
};

} // namespace

TEST_F(BundleLifeCycle, ResentRequestsGetTheFirstAnswer)
{
    const BundleRecord proposed = accepted(Ana.propose(1));
    EXPECT_EQ(accepted(Ana.propose(1)).proposed, proposed.proposed);
    const BundleRecord approved = accepted(Ben.approve(1));
    const LogIndex commit = cluster_.host(0).replica->commitIndex();
    EXPECT_EQ(accepted(Ben.approve(1)).approved, approved.approved);
    EXPECT_EQ(accepted(Ana.propose(1)).state, BundleState::InForce);
    EXPECT_EQ(cluster_.host(0).replica->commitIndex(), commit);
}

TEST_F(BundleLifeCycle, ConflictNamesTheFirstProposalOfTheVersion)
{
    const BundleRecord first = accepted(Ana.propose(1));
    const ControlError conflict = refused(Ben.propose(1, "other"));
    EXPECT_EQ(conflict.kind, ControlErrorKind::Conflict);
    EXPECT_NE(conflict.message.find("ana"), std::string::npos);
    EXPECT_NE(conflict.message.find(first.digest), std::string::npos);
    EXPECT_EQ(refused(Ben.approve(1, "other")).kind, ControlErrorKind::Conflict);
}

TEST_F(BundleLifeCycle, OnlyOneOfTwoRacingProposalsIsAccepted)
{
    ASSERT_TRUE(cluster_.runUntil([&] { return cluster_.leader() != nullptr; }));
    const SubmissionId first = cluster_.submit(0, Ana.propose(1));
    const SubmissionId second = cluster_.submit(0, Ben.propose(1, "other"));
    cluster_.run(1s);
    const auto& answers = cluster_.host(0).answers;
    ASSERT_TRUE(answers.contains(first) && answers.contains(second));
    EXPECT_TRUE(answers.at(first).isOk());
    ASSERT_FALSE(answers.at(second).isOk());
    EXPECT_EQ(answers.at(second).error().kind, ControlErrorKind::Conflict);
}

TEST_F(BundleLifeCycle, SignaturesAndOperatorsAreVerified)
{
    EXPECT_EQ(refused(Cleo.propose(1)).kind, ControlErrorKind::UnknownOperator);
    ProposeBundle forged = Cleo.propose(1);
    forged.author = OperatorName("ana");
    EXPECT_EQ(refused(forged).kind, ControlErrorKind::BadSignature);
    ProposeBundle altered = Ana.propose(1);
    altered.content += "x";
    EXPECT_EQ(refused(altered).kind, ControlErrorKind::BadSignature);
    accepted(Ana.propose(1));
    EXPECT_EQ(refused(Ana.approve(1)).kind, ControlErrorKind::SelfApproval);
    ApproveBundle forgedApproval = Ben.approve(1);
    forgedApproval.signature = Ana.approve(1).signature;
    EXPECT_EQ(refused(forgedApproval).kind, ControlErrorKind::BadSignature);
    EXPECT_EQ(cluster_.host(0).replica->inForce(), nullptr);
}

TEST_F(BundleLifeCycle, InvalidBundlesAreRefusedWithFindings)
{
    ProposeBundle wrongVersion = Ana.propose(1);
    wrongVersion.version = BundleVersion {2};
    EXPECT_EQ(refused(wrongVersion).kind, ControlErrorKind::BadSignature);
    const ControlError error = refused(Ana.proposeContent(1, "no bundle"));
    EXPECT_EQ(error.kind, ControlErrorKind::Invalid);
    EXPECT_EQ(error.findings.size(), 1U);
    EXPECT_EQ(refused(Ana.proposeContent(2, bundleText(1))).kind, ControlErrorKind::Invalid);
    EXPECT_EQ(refused(Command {NoOperation {}}).kind, ControlErrorKind::Invalid);
    EXPECT_EQ(refused(Command {ChangeReplicas {}}).kind, ControlErrorKind::Invalid);
    EXPECT_EQ(refused(Ben.approve(7)).kind, ControlErrorKind::NotFound);
}

TEST_F(BundleLifeCycle, RevertIsANewVersionWithTheOldContent)
{
    for (const uint64_t version : {1U, 2U}) {
        accepted(Ana.propose(version));
        accepted(Ben.approve(version));
    }
    EXPECT_EQ(refused(Ana.revert(9, 3)).kind, ControlErrorKind::NotFound);
    const BundleRecord proposed = accepted(Ana.revert(1, 3));
    EXPECT_EQ(proposed.revertOf, BundleVersion {1});
    EXPECT_EQ(refused(Ana.approveContent(3, bundleText(1))).kind, ControlErrorKind::SelfApproval);
    const BundleRecord inForce = accepted(Ben.approveContent(3, bundleText(1)));
    EXPECT_EQ(inForce.content, bundleText(1));
    const std::vector<const BundleRecord*> all = cluster_.host(0).replica->bundles();
    ASSERT_EQ(all.size(), 3U);
    EXPECT_GT(all[2]->approved, all[1]->approved);
    EXPECT_EQ(all[0]->state, BundleState::Superseded);
    EXPECT_EQ(all[1]->state, BundleState::Superseded);
}

TEST_F(BundleLifeCycle, OlderVersionCannotComeIntoForce)
{
    accepted(Ana.propose(1));
    accepted(Ana.propose(2));
    accepted(Ben.approve(2));
    EXPECT_EQ(refused(Ben.approve(1)).kind, ControlErrorKind::Conflict);
    EXPECT_EQ(refused(Ana.propose(0)).kind, ControlErrorKind::Conflict);
    EXPECT_EQ(cluster_.host(0).replica->inForce()->version, BundleVersion {2});
}

TEST_F(BundleLifeCycle, NextBundleIsCheckedAgainstTheOperatorsInForce)
{
    const std::string content = bundleText(1, "", "ana,cleo");
    accepted(Ana.proposeContent(1, content));
    // Sent together: the proposal waits for the approval and is checked against the operators of the approved bundle.
    const SubmissionId approval = cluster_.submit(0, Ben.approveContent(1, content));
    const SubmissionId proposal = cluster_.submit(0, Ben.propose(2));
    cluster_.run(1s);
    const auto& answers = cluster_.host(0).answers;
    ASSERT_TRUE(answers.contains(approval) && answers.contains(proposal));
    EXPECT_TRUE(answers.at(approval).isOk());
    ASSERT_FALSE(answers.at(proposal).isOk());
    EXPECT_EQ(answers.at(proposal).error().kind, ControlErrorKind::UnknownOperator);
    accepted(Cleo.propose(2));
    accepted(Ana.approve(2));
}

} // namespace saltvane::control::test
