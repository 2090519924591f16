/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/desiredlink.h"
#include "net/internal/link.h"
#include "net/tests/linkhubfixture.h"

#include <chrono>
#include <set>

namespace saltvane::net::tests {
namespace {

TEST_F(LinkHubTest, DeliversInOrderWithTheSendersIncarnation)
{
    Host a(runner, "a", 7);
    Host b(runner, "b", 9);
    a.requestLinks({b.known()});
    ASSERT_TRUE(waitUp(a, b));
    EXPECT_EQ(b.log.plain<host::LinkUp>().front().host, HostId("a"));
    EXPECT_EQ(b.log.plain<host::LinkUp>().front().incarnation, Incarnation {7});
    std::vector<uint64_t> expected;
    for (uint64_t i = 0; i < 1000; ++i) {
        a.sendClaim(b, i);
        b.sendClaim(a, i);
        expected.push_back(i);
    }
    ASSERT_TRUE(runner.runUntil([&] { return a.claims().size() >= 1000 && b.claims().size() >= 1000; }));
    EXPECT_EQ(a.claims(), expected);
    EXPECT_EQ(b.claims(), expected);
    EXPECT_EQ(b.log.plain<model::Delivery>().front().from, HostId("a"));
    EXPECT_EQ(b.log.plain<model::Delivery>().front().fromIncarnation, Incarnation {7});
}

TEST_F(LinkHubTest, DropsMessagesWithoutALink)
{
    Host a(runner, "a");
    Host b(runner, "b");
    a.sendClaim(b, 1);
    runner.runTurns(5);
    EXPECT_TRUE(b.log.events.empty());
}

TEST_F(LinkHubTest, SimultaneousDiallingKeepsOneLinkAndLosesNoMessage)
{
    for (int round = 0; round < 10; ++round) {
        Host a(runner, "a");
        Host b(runner, "b");
        // Both sides dial seeds immediately.
        a.requestLinks({b.seed()});
        b.requestLinks({a.seed()});
        std::vector<uint64_t> sent;
        uint64_t next = 0;
        ASSERT_TRUE(runner.runUntil([&] {
            if (a.ups() == 1) {
                a.sendClaim(b, next);
                sent.push_back(next++);
            }
            return sent.size() >= 100;
        }));
        ASSERT_TRUE(runner.runUntil([&] { return b.claims().size() >= sent.size(); }));
        EXPECT_EQ(b.claims(), sent);
        EXPECT_EQ(a.ups(), 1u);
        EXPECT_EQ(b.ups(), 1u);
        EXPECT_EQ(a.downs() + b.downs(), 0u);
    }
}

TEST_F(LinkHubTest, HigherHostDialsIfOnlyItRequestsTheLink)
{
    Host a(runner, "a");
    Host b(runner, "b");
    b.requestLinks({a.known()});
    EXPECT_TRUE(waitUp(a, b));
}

TEST_F(LinkHubTest, SeedWithOwnAddressIsDropped)
{
    Host a(runner, "a");
    Host b(runner, "b");
    a.requestLinks({a.seed(), b.seed()});
    ASSERT_TRUE(waitUp(a, b));
    runner.runTurns(100);
    EXPECT_EQ(a.ups(), 1u);
    EXPECT_EQ(a.refused(), 0u);
}

TEST_F(LinkHubTest, WrongKeyIsRefusedAndCounted)
{
    Host a(runner, "a");
    Host b(runner, "b", 1, OtherKey);
    a.requestLinks({b.known()});
    ASSERT_TRUE(runner.runUntil([&] { return a.refused() > 0 && b.refused() > 0; }));
    EXPECT_TRUE(a.log.events.empty());
    EXPECT_TRUE(b.log.events.empty());
}

TEST_F(LinkHubTest, OtherDeploymentIsRefusedAndCounted)
{
    Host a(runner, "a");
    Host b(runner, "b", 1, Key, "other");
    a.requestLinks({b.known()});
    ASSERT_TRUE(runner.runUntil([&] { return a.refused() > 0 && b.refused() > 0; }));
    EXPECT_TRUE(a.log.events.empty());
}

TEST_F(LinkHubTest, DuplicateHostIdsAreRefused)
{
    Host a(runner, "a");
    Host second(runner, "a", 2);
    second.requestLinks({a.seed()});
    ASSERT_TRUE(runner.runUntil([&] { return a.refused() > 0; }));
    EXPECT_TRUE(a.log.events.empty());

    Host newer(runner, "c", 5);
    Host older(runner, "c", 4);
    newer.requestLinks({a.known()});
    ASSERT_TRUE(waitUp(a, newer));
    const uint64_t refusedBefore = a.refused();
    older.requestLinks({a.known()});
    ASSERT_TRUE(runner.runUntil([&] { return a.refused() > refusedBefore; }));
    EXPECT_EQ(a.ups(), 1u);
    EXPECT_EQ(a.downs(), 0u);
}

TEST_F(LinkHubTest, NewerIncarnationReplacesTheLink)
{
    Host a(runner, "a");
    Host before(runner, "b", 1);
    before.requestLinks({a.known()});
    ASSERT_TRUE(waitUp(a, before));
    Host after(runner, "b", 2);
    after.requestLinks({a.known()});
    ASSERT_TRUE(runner.runUntil([&] { return a.ups() == 2; }));
    EXPECT_EQ(a.downs(), 1u);
    EXPECT_EQ(a.log.plain<host::LinkUp>().back().incarnation, Incarnation {2});
    EXPECT_TRUE(runner.runUntil([&] { return before.downs() >= 1; }));
}

TEST_F(LinkHubTest, LowerIncarnationIsAcceptedOnceTheOldLinkIsClosed)
{
    Host a(runner, "a");
    {
        Host before(runner, "b", 5);
        before.requestLinks({a.known()});
        ASSERT_TRUE(waitUp(a, before));
    }
    Host after(runner, "b", 3);
    after.requestLinks({a.known()});
    ASSERT_TRUE(runner.runUntil([&] { return a.ups() == 2; }));
    EXPECT_EQ(a.log.plain<host::LinkUp>().back().incarnation, Incarnation {3});
}

TEST_F(LinkHubTest, RedialBesideAnOlderLinkReplacesItWithLinkDown)
{
    Host a(runner, "a");
    RawPeer unresponsive(a);
    ASSERT_TRUE(unresponsive.join(runner, a));
    constexpr auto LongerThanDialWindow = std::chrono::milliseconds(3200);
    const auto since = std::chrono::steady_clock::now();
    ASSERT_TRUE(runner.runUntil([&] { return std::chrono::steady_clock::now() - since > LongerThanDialWindow; }));
    // Messages sent on the dead link may be lost, so the core must be notified of a new link to send everything again.
    RawPeer again(a);
    ASSERT_TRUE(again.join(runner, a));
    EXPECT_EQ(a.downs(), 1U);
}

TEST_F(LinkHubTest, ReconnectsAfterThePeerRestarted)
{
    Host a(runner, "a");
    auto b = std::make_unique<Host>(runner, "b", 1);
    const auto peer = b->known();
    a.requestLinks({peer});
    ASSERT_TRUE(waitUp(a, *b));
    b.reset();
    ASSERT_TRUE(runner.runUntil([&] { return a.downs() == 1; }));
    RawListener taken; // May get the old port; the peer restarts at a new address.
    Host back(runner, "b", 2);
    a.requestLinks({back.known()});
    EXPECT_TRUE(runner.runUntil([&] { return a.ups() == 2; }));
}

TEST_F(LinkHubTest, UndesiredLinkIsClosedByTheDiallingHost)
{
    Host a(runner, "a");
    Host b(runner, "b");
    a.requestLinks({b.known()});
    ASSERT_TRUE(waitUp(a, b));
    const size_t eventsBefore = a.log.events.size();
    a.requestLinks({});
    EXPECT_EQ(a.log.events.size(), eventsBefore); // Actions must not emit events synchronously.
    EXPECT_TRUE(runner.runUntil([&] { return a.downs() == 1 && b.downs() == 1; }));
}

TEST_F(LinkHubTest, UnexpectedHostAtAKnownAddressIsRejected)
{
    Host a(runner, "a");
    Host b(runner, "b");
    a.requestLinks({{.host = HostId("c"), .address = b.hub->boundAddress()}});
    ASSERT_TRUE(runner.runUntil([&] { return b.downs() > 0; }));
    EXPECT_EQ(a.ups(), 0u);
}

TEST_F(LinkHubTest, UnresponsiveHostIsRedialledBeforeTheKernelRetransmits)
{
    // A full accept queue drops SYN packets, as a machine without power does.
    RawListener full(0);
    std::vector<RawSocket> pending;
    for (int i = 0; i < 2; ++i)
        pending.push_back(RawSocket::connectedTo(full.address()));
    Host a(runner, "a");
    a.requestLinks({{.address = full.address()}});
    std::set<int> ports;
    ASSERT_TRUE(runner.runUntil([&] {
        const std::vector<int> connectingPorts = portsConnectingTo(full.address().port);
        ports.insert(connectingPorts.begin(), connectingPorts.end());
        return ports.size() >= 4;
    }));
    // The next attempt succeeds once the queue is empty.
    RawSocket taken;
    while (full.accept(taken)) { }
    RawSocket dialled;
    EXPECT_TRUE(runner.runUntil([&] { return full.accept(dialled) && dialled.isOpen(); }));
}

TEST_F(LinkHubTest, ConnectTimeoutStartsShortAndGrows)
{
    constexpr Duration KernelRetransmitDelay = 1s; ///< For a lost SYN, by RFC 6298.
    DesiredLink desired(runner.loop(), {.address = {.ip = "127.0.0.1", .port = 1}}, [](DesiredLink&) {});
    const Duration first = desired.nextConnectTimeout();
    EXPECT_LT(first, KernelRetransmitDelay / 3);
    Duration last = first;
    for (int i = 0; i < 40; ++i) {
        const Duration next = desired.nextConnectTimeout();
        EXPECT_GE(next, last);
        last = next;
    }
    EXPECT_GE(last, 2 * KernelRetransmitDelay); // A peer with long round trips is reached eventually.
    desired.resetWait();
    EXPECT_EQ(desired.nextConnectTimeout(), first);
}

TEST_F(LinkHubTest, RefusingHostIsDialledFourTimesASecond)
{
    DesiredLink desired(runner.loop(), {.address = {.ip = "127.0.0.1", .port = 1}}, [](DesiredLink&) {});
    for (int i = 0; i < 20; ++i)
        EXPECT_LE(desired.nextWait(), 250ms);
}

TEST_F(LinkHubTest, WaitingKeepsTheLoopIdle)
{
    Host a(runner, "a");
    RawPeer slow(a, "b");
    ASSERT_TRUE(slow.join(runner, a));
    EXPECT_LT(runner.turnsPerTick(), 3);
    slow.socket.isReading = false;
    Host b(runner, "b");
    for (int i = 0; i < 70; ++i)
        a.sendClaim(b, 1, std::string(100'000, 'x'));
    (void)runner.turnsPerTick(); // Fills the socket's buffers.
    EXPECT_LT(runner.turnsPerTick(), 3);
    EXPECT_EQ(a.downs(), 0u);
}

TEST_F(LinkHubTest, SlowPeerIsDisconnected)
{
    Host a(runner, "a", 1, Key, "d", 1024 * 1024);
    RawPeer slow(a, "b");
    ASSERT_TRUE(slow.join(runner, a));
    slow.socket.isReading = false;
    Host b(runner, "b");
    ASSERT_TRUE(runner.runUntil([&] {
        a.sendClaim(b, 1, std::string(100'000, 'x'));
        return a.downs() == 1;
    }));
}

TEST_F(LinkHubTest, BacklogLimitDisconnectsThePeerWithTheLongestQueue)
{
    constexpr size_t MaxBacklogBytes = 4 * 1024 * 1024;
    constexpr size_t MessageBytes = 100'000;
    Host a(runner, "a", 1, Key, "d", MaxBacklogBytes, MaxBacklogBytes);
    RawPeer slow(a, "slow");
    RawPeer slower(a, "slower");
    ASSERT_TRUE(slow.join(runner, a) && slower.join(runner, a));
    slow.socket.isReading = false;
    slower.socket.isReading = false;
    Host toSlow(runner, "slow");
    Host toSlower(runner, "slower");
    uint64_t largest = 0;
    ASSERT_TRUE(runner.runUntil([&] {
        a.sendClaim(toSlow, 1, std::string(MessageBytes, 'x'));
        a.sendClaim(toSlower, 1, std::string(3 * MessageBytes, 'x'));
        largest = std::max(largest, a.hub->backlog().bytes);
        return a.downs() == 1;
    }));
    EXPECT_EQ(a.log.plain<host::LinkDown>().front().host, HostId("slower"));
    EXPECT_LE(largest, MaxBacklogBytes);
    EXPECT_EQ(a.hub->backlog().largestPeer, HostId("slow"));
}

/// Guards against hosts that exceed their memory limit although the backlog is within its own limit: the buffers of
/// links allocated up to four times the queued bytes.
TEST_F(LinkHubTest, BacklogMemoryIsCloseToItsBytes)
{
    constexpr size_t Messages = 170;
    Host a(runner, "a", 1, Key, "d", 64 * 1024 * 1024);
    RawPeer slow(a, "slow");
    ASSERT_TRUE(slow.join(runner, a));
    slow.socket.isReading = false;
    Host toSlow(runner, "slow");
    for (size_t message = 0; message < Messages; ++message)
        a.sendClaim(toSlow, message, std::string(100'000, 'x'));
    size_t turns = 0;
    ASSERT_TRUE(runner.runUntil([&] { return ++turns == 100; }));
    const LinkBacklog full = a.hub->backlog();
    EXPECT_GT(full.bytes, 10'000'000U);
    EXPECT_LE(full.memory, full.bytes + full.bytes / 4);
    slow.socket.isReading = true;
    const auto isHalfSent = [&] {
        slow.socket.pump();
        slow.socket.received.clear();
        return a.hub->backlog().bytes < full.bytes / 2;
    };
    ASSERT_TRUE(runner.runUntil(isHalfSent));
    const LinkBacklog rest = a.hub->backlog();
    EXPECT_LE(rest.memory, rest.bytes + full.bytes / 4);
}

} // namespace
} // namespace saltvane::net::tests
