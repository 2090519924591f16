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

bool isInForceEverywhere(FakeCluster& cluster, uint64_t version)
{
    for (size_t number = 0; number < cluster.size(); ++number) {
        const auto& replica = cluster.host(number).replica;
        if (!replica || !replica->inForce() || replica->inForce()->version.value != version)
            return false;
    }
    return true;
}

/// Number of a host that is not the leader.
size_t followerOf(FakeCluster& cluster) { return cluster.numberOf(*cluster.leader()) == 0 ? 1 : 0; }

ControlErrorKind errorOf(const std::optional<Result<BundleRecord, ControlError>>& answer)
{
    EXPECT_TRUE(answer && !answer->isOk());
    return answer && !answer->isOk() ? answer->error().kind : ControlErrorKind::Busy;
}

} // namespace

TEST(ControlReplica, NewDeploymentElectsALeaderAndPutsABundleInForce)
{
    FakeCluster cluster({});
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; }, 5s));
    const auto proposed = cluster.submitAndWait(Ana.propose(1));
    ASSERT_TRUE(proposed && proposed->isOk()) << (proposed ? proposed->error().message : "no answer");
    EXPECT_EQ(proposed->value().state, BundleState::Proposed);
    const auto approved = cluster.submitAndWait(Ben.approve(1));
    ASSERT_TRUE(approved && approved->isOk());
    EXPECT_EQ(approved->value().state, BundleState::InForce);
    EXPECT_TRUE(cluster.runUntil([&] { return isInForceEverywhere(cluster, 1); }, 1s));
}

TEST(ControlReplica, SingleControlHostWorks)
{
    FakeCluster cluster({.hosts = 1});
    ASSERT_TRUE(cluster.submitAndWait(Ana.propose(1)));
    EXPECT_TRUE(cluster.submitAndWait(Ben.approve(1))->isOk());
}

TEST(ControlReplica, DeploymentStartsOnlyAfterAllHostsHaveAnswered)
{
    FakeCluster cluster({});
    cluster.crash(2);
    EXPECT_FALSE(cluster.runUntil([&] { return cluster.leader() != nullptr; }, 20s));
    cluster.start(2);
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; }, 5s));
}

TEST(ControlReplica, BootstrapRecoversFromACrashAtAnyStepOfItsWrite)
{
    for (const size_t steps : {0U, 1U, 2U}) {
        FakeCluster cluster({});
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.host(0).writing.has_value(); }, 5s));
        cluster.crash(0, steps);
        cluster.start(0);
        EXPECT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; }, 10s)) << steps;
    }
}

TEST(ControlReplica, ToleratesTheLossOfTheLeader)
{
    FakeCluster cluster({});
    ASSERT_TRUE(cluster.submitAndWait(Ana.propose(1)));
    const size_t first = cluster.numberOf(*cluster.leader());
    cluster.crash(first);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != nullptr; }, 5s));
    EXPECT_TRUE(cluster.submitAndWait(Ben.approve(1))->isOk());
    cluster.start(first);
    EXPECT_TRUE(cluster.runUntil([&] { return isInForceEverywhere(cluster, 1); }, 5s));
}

TEST(ControlReplica, CutOffLeaderIsNotCurrentAndRefusesRequests)
{
    FakeCluster cluster({});
    ASSERT_TRUE(cluster.submitAndWait(Ana.propose(1)));
    FakeHost& old = *cluster.leader();
    const size_t number = cluster.numberOf(old);
    cluster.isolate(number);
    cluster.run(510ms);
    EXPECT_FALSE(old.replica->isCurrent(cluster.now()));
    for (const Duration wait : {0s, 10s, 3600s}) {
        cluster.run(wait);
        const SubmissionId submission = cluster.submit(number, Ben.approve(1));
        ASSERT_TRUE(old.answers.contains(submission));
        EXPECT_EQ(old.answers.at(submission).error().kind, ControlErrorKind::NotCurrent);
        EXPECT_FALSE(old.replica->isCurrent(cluster.now()));
    }
    cluster.healLinks();
    EXPECT_TRUE(cluster.runUntil([&] { return old.replica->isCurrent(cluster.now()); }, 5s));
}

TEST(ControlReplica, LeaderAndFollowerCutOffFromTheOtherThreeAreNotCurrent)
{
    FakeCluster cluster({.hosts = 5});
    ASSERT_TRUE(cluster.submitAndWait(Ana.propose(1)));
    const size_t leader = cluster.numberOf(*cluster.leader());
    const size_t follower = followerOf(cluster);
    for (size_t other = 0; other < cluster.size(); ++other) {
        if (other != leader && other != follower) {
            cluster.cut(leader, other);
            cluster.cut(follower, other);
        }
    }
    cluster.run(1100ms);
    EXPECT_FALSE(cluster.host(leader).replica->isCurrent(cluster.now()));
    EXPECT_FALSE(cluster.host(follower).replica->isCurrent(cluster.now()));
}

TEST(ControlReplica, FollowerIsCurrentAndNamesTheLeader)
{
    FakeCluster cluster({.minDelay = 30ms, .maxDelay = 40ms});
    ASSERT_TRUE(cluster.submitAndWait(Ana.propose(1)));
    cluster.run(1s);
    FakeHost& follower = cluster.host(followerOf(cluster));
    EXPECT_TRUE(follower.replica->isCurrent(cluster.now()));
    const SubmissionId submission = cluster.submit(cluster.numberOf(follower), Ben.approve(1));
    ASSERT_TRUE(follower.answers.contains(submission));
    EXPECT_EQ(follower.answers.at(submission).error().kind, ControlErrorKind::NotLeader);
    EXPECT_EQ(follower.answers.at(submission).error().leader, cluster.leader()->id);
}

TEST(ControlReplica, FullDiskIsReportedAndRecoveredFrom)
{
    FakeCluster cluster({.hosts = 1});
    ASSERT_TRUE(cluster.submitAndWait(Ana.propose(1)));
    FakeHost& host = cluster.host(0);
    host.disk->isFull = true;
    const SubmissionId lost = cluster.submit(0, Ben.approve(1));
    cluster.run(1s);
    ASSERT_TRUE(host.answers.contains(lost));
    EXPECT_FALSE(host.answers.at(lost).isOk());
    EXPECT_EQ(host.replica->inForce(), nullptr);
    const SubmissionId refused = cluster.submit(0, Ben.approve(1));
    ASSERT_TRUE(host.answers.contains(refused));
    EXPECT_EQ(host.answers.at(refused).error().kind, ControlErrorKind::StorageFull);
    host.disk->isFull = false;
    const auto approved = cluster.submitAndWait(Ben.approve(1));
    ASSERT_TRUE(approved);
    EXPECT_TRUE(approved->isOk());
}

TEST(ControlReplica, LeaderWithAFullDiskIsReplaced)
{
    FakeCluster cluster({});
    ASSERT_TRUE(cluster.submitAndWait(Ana.propose(1)));
    FakeHost& old = *cluster.leader();
    old.disk->isFull = true;
    cluster.submit(cluster.numberOf(old), Ana.propose(2));
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() && cluster.leader() != &old; }, 5s));
    EXPECT_TRUE(cluster.submitAndWait(Ben.approve(1))->isOk());
}

TEST(ControlReplica, LaggingReplicaCatchesUpBySnapshot)
{
    FakeCluster cluster({.entriesPerSnapshot = 8, .snapshotChunkBytes = 100});
    ASSERT_TRUE(cluster.submitAndWait(Ana.propose(1)));
    const size_t follower = followerOf(cluster);
    cluster.crash(follower);
    for (uint64_t version = 2; version < 40; ++version)
        ASSERT_TRUE(cluster.submitAndWait(Ana.propose(version))->isOk());
    ASSERT_TRUE(cluster.submitAndWait(Ben.approve(39))->isOk());
    cluster.options.loss = 0.2;
    cluster.start(follower);
    EXPECT_TRUE(cluster.runUntil([&] { return isInForceEverywhere(cluster, 39); }, 30s));
    EXPECT_GE(cluster.host(follower).counters.value(model::Counter::SnapshotsReceived), 1U);
    EXPECT_EQ(cluster.host(follower).replica->bundles().size(), 39U);
}

TEST(ControlReplica, StateSurvivesARestartOfAllReplicas)
{
    FakeCluster cluster({.entriesPerSnapshot = 8});
    for (uint64_t version = 1; version < 20; ++version)
        ASSERT_TRUE(cluster.submitAndWait(Ana.propose(version))->isOk());
    ASSERT_TRUE(cluster.submitAndWait(Ben.approve(7))->isOk());
    for (size_t number = 0; number < 3; ++number)
        cluster.crash(number);
    for (size_t number = 0; number < 3; ++number)
        cluster.start(number);
    EXPECT_TRUE(cluster.runUntil([&] { return isInForceEverywhere(cluster, 7); }, 10s));
    EXPECT_EQ(errorOf(cluster.submitAndWait(Ana.propose(3, "other"))), ControlErrorKind::Conflict);
}

} // namespace saltvane::control::test
