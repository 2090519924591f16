/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/ihostroster.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace saltvane::membership {

namespace {

model::HostRecord recordOf(const std::string& host, bool isControl, uint64_t sequence = 1, uint64_t incarnation = 1)
{
    return {.host = HostId(host),
        .incarnation = {incarnation},
        .sequence = sequence,
        .zone = ZoneName("a"),
        .region = RegionName("r"),
        .isControl = isControl,
        .state = model::HostState::Serving};
}

model::Delivery heartbeat(const model::HostRecord& record)
{
    return {.from = record.host, .fromIncarnation = record.incarnation, .message = model::Heartbeat {.record = record}};
}

bool hasMessageTo(const std::vector<model::OutgoingMessage>& outgoing, const std::string& host)
{
    return std::ranges::any_of(
        outgoing, [&](const model::OutgoingMessage& message) { return message.to == HostId(host); });
}

} // namespace

TEST(HostRosterTest, AHostReportsToItsSeedsAndLearnsOfOthers)
{
    const auto roster = makeHostRoster({.self = recordOf("g", false), .seeds = {HostId("c1")}});
    Timestamp now(10s);
    roster->tick(now);
    EXPECT_TRUE(hasMessageTo(roster->drainOutgoing(), "c1"));
    roster->handle({.from = HostId("c1"),
                       .fromIncarnation = {1},
                       .message = model::ZoneReport {.zone = ZoneName("a"),
                           .relay = HostId("c1"),
                           .hosts = {recordOf("c2", true)},
                           .ages = {100ms}}},
        now);
    EXPECT_EQ(roster->controlHosts(), (std::vector {HostId("c1"), HostId("c2")}));
    now += 300ms;
    roster->tick(now);
    EXPECT_TRUE(hasMessageTo(roster->drainOutgoing(), "c2"));
}

TEST(HostRosterTest, AnOlderRecordChangesNothing)
{
    const auto roster = makeHostRoster({.self = recordOf("c", true)});
    const Timestamp now(10s);
    model::HostRecord leaving = recordOf("g", false, 5);
    leaving.state = model::HostState::Leaving;
    roster->handle(heartbeat(leaving), now);
    roster->handle(heartbeat(recordOf("g", false, 4)), now);
    EXPECT_EQ(roster->find(HostId("g"))->record.state, model::HostState::Leaving);
    roster->handle(heartbeat(recordOf("g", false, 1, 2)), now); // Restarted.
    EXPECT_EQ(roster->find(HostId("g"))->record.state, model::HostState::Serving);
}

TEST(HostRosterTest, AnIncarnationWithALowerNumberIsAcceptedOnceItsLinkIsUp)
{
    const auto roster = makeHostRoster({.self = recordOf("c", true)});
    Timestamp now(10s);
    roster->handle(heartbeat(recordOf("g", false, 40, 9)), now);
    now += 3s;
    roster->onLinkUp(HostId("g"), {7});
    roster->handle(heartbeat(recordOf("g", false, 1, 7)), now);
    EXPECT_EQ(roster->receivedWithin(1s, now).size(), 1U);
}

TEST(HostRosterTest, AReportedRecordHasTheReportedAge)
{
    const auto roster = makeHostRoster({.self = recordOf("g", false), .seeds = {HostId("c1")}});
    const Timestamp now(100s);
    roster->handle({.from = HostId("c1"),
                       .fromIncarnation = {1},
                       .message = model::ZoneReport {.zone = ZoneName("a"),
                           .relay = HostId("c1"),
                           .hosts = {recordOf("c2", true)},
                           .ages = {4s}}},
        now);
    EXPECT_TRUE(roster->receivedWithin(1s, now).empty());
    EXPECT_EQ(roster->receivedWithin(5s, now).size(), 1U);
}

TEST(HostRosterTest, AnUnresponsiveControlHostIsRemovedButASeedIsNot)
{
    const auto roster = makeHostRoster({.self = recordOf("g", false), .seeds = {HostId("c1")}});
    Timestamp now(10s);
    roster->handle(heartbeat(recordOf("c1", true)), now);
    roster->handle(heartbeat(recordOf("c2", true)), now);
    now += 11s;
    roster->tick(now);
    EXPECT_EQ(roster->controlHosts(), std::vector {HostId("c1")});
    roster->setSeeds({HostId("c3")});
    EXPECT_EQ(roster->controlHosts(), std::vector {HostId("c3")});
}

TEST(HostRosterTest, AChangeOfStateIsReportedAtOnce)
{
    const auto roster = makeHostRoster({.self = recordOf("g", false), .seeds = {HostId("c1")}});
    const Timestamp now(10s);
    roster->tick(now);
    (void)roster->drainOutgoing();
    roster->setState(model::HostState::Leaving);
    const std::vector<model::OutgoingMessage> outgoing = roster->drainOutgoing();
    ASSERT_EQ(outgoing.size(), 1U);
    EXPECT_EQ(std::get<model::Heartbeat>(outgoing[0].message).record.state, model::HostState::Leaving);
}

namespace {

model::HostRecord recordIn(const std::string& host, bool isControl, const std::string& region)
{
    model::HostRecord record = recordOf(host, isControl);
    record.region = RegionName(region);
    return record;
}

size_t messagesTo(const std::vector<model::OutgoingMessage>& outgoing, const std::string& host)
{
    return static_cast<size_t>(std::ranges::count_if(
        outgoing, [&](const model::OutgoingMessage& message) { return message.to == HostId(host); }));
}

/// Returns the messages that the roster sends in `duration`. Ticks every 20 ms; sends the heartbeats of `received`
/// every 200 ms.
std::vector<model::OutgoingMessage> runFor(
    IHostRoster& roster, Duration duration, const std::vector<model::HostRecord>& received, Timestamp& now)
{
    std::vector<model::OutgoingMessage> all;
    for (int step = 0; step * 20ms < duration; ++step, now += 20ms) {
        for (const model::HostRecord& record : received) {
            if (step % 10 == 0)
                roster.handle(heartbeat(record), now);
        }
        roster.tick(now);
        for (model::OutgoingMessage& outgoing : roster.drainOutgoing())
            all.push_back(std::move(outgoing));
    }
    return all;
}

} // namespace

TEST(HostRosterTest, ControlHostsOfOtherRegionsGetFewerHeartbeats)
{
    const auto roster = makeHostRoster({.self = recordIn("g", false, "r"), .seeds = {}});
    Timestamp now(10s);
    const std::vector received {recordIn("local", true, "r"), recordIn("remote", true, "s")};
    const std::vector<model::OutgoingMessage> sent = runFor(*roster, 12s, received, now);
    EXPECT_GE(messagesTo(sent, "local"), 38U);
    EXPECT_GE(messagesTo(sent, "remote"), 9U);
    EXPECT_LE(messagesTo(sent, "remote"), 11U);
    roster->setState(model::HostState::Leaving);
    EXPECT_TRUE(hasMessageTo(roster->drainOutgoing(), "remote")); // A change is sent to all hosts at once.
}

TEST(HostRosterTest, WithoutAControlHostInTheRegionAllGetFrequentHeartbeats)
{
    const auto roster = makeHostRoster({.self = recordIn("g", false, "r"), .seeds = {}});
    Timestamp now(10s);
    const std::vector<model::OutgoingMessage> sent = runFor(*roster, 12s, {recordIn("remote", true, "s")}, now);
    EXPECT_GE(messagesTo(sent, "remote"), 38U);
}

TEST(HostRosterTest, AControlHostReportsToOtherRegionsRarelyExceptForNewControlHosts)
{
    const auto roster = makeHostRoster({.self = recordIn("c", true, "r"), .seeds = {}});
    Timestamp now(10s);
    const std::vector received {recordIn("g-local", false, "r"), recordIn("g-remote", false, "s")};
    const std::vector<model::OutgoingMessage> sent = runFor(*roster, 20s, received, now);
    EXPECT_GE(messagesTo(sent, "g-local"), 18U);
    EXPECT_LE(messagesTo(sent, "g-remote"), 5U);
    const std::vector withNewControlHost {received[0], received[1], recordIn("c2", true, "s")};
    EXPECT_GE(messagesTo(runFor(*roster, 100ms, withNewControlHost, now), "g-remote"), 1U);
}

} // namespace saltvane::membership
