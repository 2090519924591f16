/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/tests/fakecluster.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace saltvane::control::test {

namespace {

const TestOperator Ana("ana");
const TestOperator Ben("ben");

bool isVoter(FakeCluster& cluster, size_t number)
{
    const FakeHost* leader = cluster.leader();
    if (!leader)
        return false;
    const auto& replicas = leader->replica->replicas();
    const auto found = std::ranges::find(replicas, cluster.host(number).disk->replica(), &ReplicaInfo::replica);
    return found != replicas.end() && found->isVoter;
}

void replaceHost(FakeCluster& cluster, size_t number)
{
    cluster.crash(number);
    cluster.replaceDisk(number);
    cluster.start(number);
}

} // namespace

TEST(ReplicaChanges, HostWithANewDiskRejoinsWithANewReplicaId)
{
    FakeCluster cluster({});
    ASSERT_TRUE(cluster.submitAndWait(Ana.propose(1)));
    const size_t number = cluster.numberOf(*cluster.leader()) == 2 ? 1 : 2;
    const model::ReplicaId old = cluster.host(number).disk->replica();
    replaceHost(cluster, number);
    EXPECT_NE(cluster.host(number).disk->replica(), old);
    EXPECT_FALSE(isVoter(cluster, number));
    EXPECT_TRUE(cluster.runUntil([&] { return isVoter(cluster, number); }));
    const auto& replicas = cluster.leader()->replica->replicas();
    EXPECT_EQ(replicas.size(), 3U);
    EXPECT_EQ(std::ranges::find(replicas, old, &ReplicaInfo::replica), replicas.end());
}

TEST(ReplicaChanges, NoDataIsLostWhenEveryHostLosesItsDiskInTurn)
{
    FakeCluster cluster({});
    ASSERT_TRUE(cluster.submitAndWait(Ana.propose(1)));
    ASSERT_TRUE(cluster.submitAndWait(Ben.approve(1)));
    for (size_t number = 0; number < 3; ++number) {
        replaceHost(cluster, number);
        ASSERT_TRUE(cluster.runUntil([&] { return isVoter(cluster, number); })) << number;
    }
    ASSERT_EQ(cluster.leader()->replica->inForce()->version, BundleVersion {1});
}

TEST(ReplicaChanges, LearnerDoesNotCountBeforeItHasCaughtUp)
{
    FakeCluster cluster({});
    ASSERT_TRUE(cluster.submitAndWait(Ana.propose(1)));
    const size_t leader = cluster.numberOf(*cluster.leader());
    const size_t learner = (leader + 1) % 3;
    const size_t other = (leader + 2) % 3;
    replaceHost(cluster, learner);
    // Without progress in its acknowledgements the replica is added as a learner, but must not count for a quorum.
    cluster.onSend = [&](model::Message& message) {
        auto* reply = std::get_if<model::AppendReply>(&message);
        if (reply && reply->replica == cluster.host(learner).disk->replica())
            reply->match = {};
    };
    const auto isLearner = [&] {
        const auto& replicas = cluster.host(leader).replica->replicas();
        const auto own = std::ranges::find(replicas, cluster.host(learner).disk->replica(), &ReplicaInfo::replica);
        return own != replicas.end() && !own->isVoter;
    };
    ASSERT_TRUE(cluster.runUntil(isLearner));
    cluster.cut(leader, other);
    cluster.run(5s);
    EXPECT_EQ(cluster.leader(), nullptr) << "the learner counted for a quorum";
    cluster.healLinks();
    cluster.onSend = nullptr;
    ASSERT_TRUE(cluster.runUntil([&] { return isVoter(cluster, learner); }));
    // With the learner promoted, the loss of another host is tolerated.
    replaceHost(cluster, leader);
    ASSERT_TRUE(cluster.submitAndWait(Ben.approve(1)));
}

TEST(ReplicaChanges, LearnerRequestsAgainWhenTheLeaderThatAddedItIsLost)
{
    FakeCluster cluster({.hosts = 5});
    ASSERT_TRUE(cluster.submitAndWait(Ana.propose(1)));
    const size_t leader = cluster.numberOf(*cluster.leader());
    const size_t learner = (leader + 1) % 5;
    replaceHost(cluster, learner);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.host(leader).replica->replicas().size() == 4; }));
    for (size_t other = 0; other < 5; ++other) {
        if (other != leader && other != learner)
            cluster.cut(leader, other);
    }
    cluster.run(400ms);
    const auto& entries = cluster.host(learner).disk->entries();
    ASSERT_GT(entries.rbegin()->first, cluster.host(leader).replica->commitIndex());
    cluster.isolate(leader);
    EXPECT_TRUE(cluster.runUntil([&] { return isVoter(cluster, learner); }));
}

TEST(ReplicaChanges, EmptyDisksDoNotBootstrapWhileOneDiskHasData)
{
    FakeCluster cluster({});
    ASSERT_TRUE(cluster.submitAndWait(Ana.propose(1)));
    replaceHost(cluster, 0);
    replaceHost(cluster, 1);
    EXPECT_FALSE(cluster.runUntil([&] { return cluster.leader() != nullptr; }, 30s));
}

} // namespace saltvane::control::test
