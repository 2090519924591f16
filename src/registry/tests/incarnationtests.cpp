/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/targetbook.h"
#include "registrycluster.h"

#include <boost/random/mersenne_twister.hpp>
#include <gtest/gtest.h>

/// Targets that start again under their id.
namespace saltvane::registry::test {

namespace {

constexpr const char* Gateway = "10.0.1.1:7000";
constexpr const char* HeartbeatPath = "/v1/targets/t-1/heartbeat";
constexpr const char* LeavePath = "/v1/targets/t-1/leave";

int statusOf(const std::optional<RegistryCluster::Answer>& answer) { return answer ? answer->status : 0; }

class IncarnationTest : public testing::Test {
protected:
    IncarnationTest()
    {
        EXPECT_EQ(statusOf(cluster_.order("PUT", "/v1/plan", planText(1), "0")), 200);
        heartbeat();
    }
    void heartbeat()
    {
        for (size_t host = 0; host < Hosts; ++host)
            cluster_.gatewayHeartbeat(host, Gateway, "north-a", "north");
    }
    /// At the leader, so that a leave needs no redirect.
    void report(uint64_t startedMs, uint64_t sequence, const std::string& state = "ready")
    {
        heartbeat();
        EXPECT_EQ(statusOf(cluster_.order("POST", HeartbeatPath, heartbeatOfStart(startedMs, sequence, state))), 200);
        cluster_.run(300ms);
    }
    /// The last that a gateway hears of the target, of all that hosts sent it since the last look.
    std::optional<model::TargetRecord> takeTold()
    {
        std::optional<model::TargetRecord> last;
        for (const model::Message& message : cluster_.takeSentTo(Gateway)) {
            const auto* report = std::get_if<model::TargetReport>(&message);
            if (report != nullptr && !report->targets.empty())
                last = report->targets.back();
        }
        return last;
    }
    static constexpr size_t Hosts = 3;
    RegistryCluster cluster_ {Hosts};
};

} // namespace

TEST_F(IncarnationTest, AStartUnderAKnownIdIsToldAtOnce)
{
    report(1000, 50);
    (void)takeTold();
    report(2000, 1);
    const auto told = takeTold();
    ASSERT_TRUE(told);
    EXPECT_EQ(told->incarnation, Incarnation {2000});
    EXPECT_EQ(told->sequence, 1U);
}

TEST_F(IncarnationTest, AnEarlierStartsDelayedWordChangesNothing)
{
    report(2000, 1);
    (void)takeTold();
    report(1000, 90);
    EXPECT_FALSE(takeTold());
    report(2000, 9); // Called elsewhere in between: told again.
    EXPECT_EQ(takeTold()->incarnation, Incarnation {2000});
}

TEST_F(IncarnationTest, ALeaveBindsItsStartAndTheOnesBeforeOnly)
{
    report(1000, 5, "leaving");
    EXPECT_TRUE(takeTold()->isLeaving);
    report(1000, 6);
    report(900, 7);
    const auto bound = takeTold();
    EXPECT_TRUE(!bound || bound->isLeaving);
    report(2000, 1);
    const auto later = takeTold();
    ASSERT_TRUE(later);
    EXPECT_EQ(later->incarnation, Incarnation {2000});
    EXPECT_FALSE(later->isLeaving);
}

TEST_F(IncarnationTest, ADelayedLeaveOfTheStartBeforeTakesNothingFromItsSuccessor)
{
    report(1000, 5);
    report(2000, 1);
    (void)takeTold();
    EXPECT_EQ(statusOf(cluster_.order("POST", LeavePath, R"({"started_ms":1000})")), 200);
    cluster_.run(300ms);
    report(2000, 4);
    const auto told = takeTold();
    ASSERT_TRUE(told);
    EXPECT_FALSE(told->isLeaving);
}

TEST_F(IncarnationTest, ALeaveThatTellsNoStartBindsTheKnownOne)
{
    report(1000, 5);
    EXPECT_EQ(statusOf(cluster_.order("POST", LeavePath)), 200);
    report(1000, 6);
    EXPECT_TRUE(takeTold()->isLeaving);
    report(2000, 1);
    EXPECT_FALSE(takeTold()->isLeaving);
}

TEST_F(IncarnationTest, WhatWasRetiredStaysSoAfterAllHostsRestarted)
{
    report(1000, 5, "leaving");
    cluster_.run(2500ms);
    for (size_t host = 0; host < Hosts; ++host)
        cluster_.kill(host);
    for (size_t host = 0; host < Hosts; ++host)
        cluster_.start(host, false);
    ASSERT_TRUE(cluster_.runUntil([&] { return cluster_.leader().has_value(); }));
    report(1000, 6);
    const auto told = takeTold();
    EXPECT_TRUE(told && told->isLeaving);
    report(2000, 1);
    EXPECT_FALSE(takeTold()->isLeaving);
}

TEST_F(IncarnationTest, AHostThatLostItsDiskKnowsWhichStartsLeft)
{
    report(1000, 5, "leaving");
    const size_t wiped = (*cluster_.leader() + 1) % Hosts;
    cluster_.kill(wiped);
    cluster_.wipeDisk(wiped);
    cluster_.start(wiped, false);
    ASSERT_TRUE(cluster_.runUntil([&] { return cluster_.leader() && cluster_.votersAt(*cluster_.leader()) == Hosts; }));
    cluster_.run(3s);
    heartbeat();
    (void)takeTold();
    EXPECT_EQ(statusOf(cluster_.call(wiped, "POST", HeartbeatPath, heartbeatOfStart(1000, 9))), 200);
    cluster_.run(300ms);
    EXPECT_TRUE(takeTold()->isLeaving);
    EXPECT_EQ(statusOf(cluster_.call(wiped, "POST", HeartbeatPath, heartbeatOfStart(2000, 1))), 200);
    cluster_.run(300ms);
    EXPECT_FALSE(takeTold()->isLeaving);
}

namespace {

model::TargetRecord recordOf(const std::string& id, uint64_t incarnation, uint64_t sequence, uint16_t port)
{
    return {.target = TargetId(id),
        .incarnation = {incarnation},
        .service = ServiceName("quotes"),
        .address = {.ip = "10.9.0.1", .port = port},
        .zone = ZoneName("north-a"),
        .slots = 3,
        .sequence = sequence};
}

} // namespace

// Reports of four starts of each of three targets in any order, some of them twice.
TEST(TargetBookTest, InAnyOrderOfReportsTheLatestStartStands)
{
    constexpr uint64_t Seeds = 1000;
    for (uint64_t seed = 0; seed < Seeds; ++seed) {
        boost::random::mt19937_64 random(seed);
        TargetBook book({{ZoneName("north-a"), RegionName("north")}});
        std::map<TargetId, Incarnation> latest;
        Timestamp now {100s};
        for (int step = 0; step < 60; ++step) {
            const uint64_t target = random() % 3;
            const uint64_t start = 1 + random() % 4;
            const auto record = recordOf("t-" + std::to_string(target), start * 1000 + target, 1 + random() % 20,
                static_cast<uint16_t>(9000 + target));
            (void)book.note(record, now);
            latest[record.target] = std::max(latest[record.target], record.incarnation);
            now += std::chrono::milliseconds(random() % 50);
            for (const model::TargetRecord& told : book.takeNews({}, now))
                ASSERT_EQ(told.incarnation, latest.at(told.target)) << "seed " << seed << " step " << step;
        }
        for (const model::TargetRecord& record : book.all({}, now))
            ASSERT_EQ(record.incarnation, latest.at(record.target)) << "seed " << seed;
    }
}

TEST(TargetBookTest, AnAddressIsNotGivenBackToAnEarlierStartOfAnotherTarget)
{
    TargetBook book({});
    Timestamp now {100s};
    // The earlier one reported elsewhere before: this host never knew it.
    EXPECT_TRUE(book.note(recordOf("later", 2000, 1, 9000), now));
    EXPECT_FALSE(book.note(recordOf("earlier", 1000, 70, 9000), now));
    ASSERT_EQ(book.all({}, now).size(), 1U);
    EXPECT_EQ(book.all({}, now).front().target, TargetId("later"));
    // Once the later one is silent, its address is free.
    now += model::TargetSilenceLimit;
    (void)book.takeNews({}, now);
    EXPECT_TRUE(book.note(recordOf("earlier", 1000, 71, 9000), now));
}

// A clock that stepped back between two starts: the second counts as the earlier one until the first is silent.
TEST(TargetBookTest, AStartWithAnEarlierClockStandsOnceTheOneBeforeIsSilent)
{
    TargetBook book({});
    Timestamp now {100s};
    EXPECT_TRUE(book.note(recordOf("t-1", 2000, 9, 9000), now));
    now += 1s;
    EXPECT_FALSE(book.note(recordOf("t-1", 1000, 1, 9000), now));
    now += model::TargetSilenceLimit;
    (void)book.takeNews({}, now);
    EXPECT_TRUE(book.note(recordOf("t-1", 1000, 9, 9000), now));
}

} // namespace saltvane::registry::test
