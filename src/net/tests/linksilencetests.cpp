/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/link.h"
#include "net/tests/linkhubfixture.h"
#include "net/tests/silencingrelay.h"

#include <chrono>

/// Links on which nothing is heard: of peers that are gone, that stand still, or that something in between silenced.
namespace saltvane::net::tests {
namespace {

TEST_F(LinkHubTest, SilentPeerIsGivenUp)
{
    Host a(runner, "a");
    RawListener listener;
    a.want({{.address = listener.address()}});
    RawSocket silent;
    ASSERT_TRUE(runner.runUntil([&] { return listener.accept(silent); }));
    EXPECT_TRUE(runner.runUntil([&] { return silent.isPeerGone(); }));
    RawSocket again;
    EXPECT_TRUE(runner.runUntil([&] { return listener.accept(again); }));
}

/// Seen: the connection between two of three registry hosts passed nothing any more, for good, while new ones would
/// have worked; the third host had lost its disk, so no leader stood until the end. How it came about: something
/// between the hosts went on acknowledging what it received, so neither the kernel's time limit nor its keep-alive
/// found it. Cause: a link has no time limit of its own for hearing nothing. Proof: both hosts' logs show the link up
/// throughout, and no word of the other after 2 s of it.
TEST_F(LinkHubTest, APeerOfWhichNothingIsHeardForGoodIsLetGo)
{
    Host a(runner, "a");
    RawPeer peer(a, "b");
    ASSERT_TRUE(peer.join(runner, a));
    Host b(runner, "b");
    // Its bytes are taken and acknowledged; it says nothing.
    EXPECT_TRUE(runner.runUntil([&] {
        a.sendClaim(b, 1);
        peer.socket.pump();
        return a.downs() == 1;
    }));
}

/// Seen: requests ran by a plan that was acknowledged as replaced more than two seconds before, at gateways free of
/// faults. How it came about: open connections between hosts fell silent, in both directions and without an end, while
/// new ones would have worked; a gateway heard of no plan, and of no target that leaves, until its links were let go of
/// 5.4 to 6.4 s later. Cause: how long silence is borne was set by what a host that stands still needs, and was the
/// only thing that led to a new connection; the users give a gateway 3 s. Proof: gateways told an unproven plan and no
/// registry host heard from the first second of the silence to the first new link, and the newest plan right after it.
TEST_F(LinkHubTest, ALinkThatFellSilentIsReplacedWhereANewOneWorks)
{
    Host a(runner, "a");
    Host b(runner, "b");
    SilencingRelay relay(b.hub->boundAddress());
    const auto runUntil = [&](const auto& condition) {
        return runner.runUntil([&] {
            relay.pump();
            return condition();
        });
    };
    a.want({{.host = HostId("b"), .address = relay.address()}});
    ASSERT_TRUE(runUntil([&] { return a.ups() == 1 && b.ups() == 1; }));
    relay.silence();
    const auto since = std::chrono::steady_clock::now();
    ASSERT_TRUE(runUntil([&] { return a.ups() == 2 && b.ups() == 2; }));
    // Of the 3 s, what it takes to ask for the plan and to have it (a pull each half second) is left.
    EXPECT_LE(std::chrono::steady_clock::now() - since, 2s);
    b.sendClaim(a, 1);
    EXPECT_TRUE(runUntil([&] { return a.claims().size() == 1; }));
    // What was under way is lost: both cores have to begin anew with each other.
    EXPECT_EQ(a.downs(), 1U);
    EXPECT_EQ(b.downs(), 1U);
}

/// A host that stood still for a moment goes on with the links that it had: new ones would cost every word anew.
TEST_F(LinkHubTest, ALinkWhosePeerStoodStillStandsOnceItIsHeardAgain)
{
    Host a(runner, "a");
    Host b(runner, "b");
    SilencingRelay relay(b.hub->boundAddress());
    const auto run = [&](Duration duration) {
        const auto end = std::chrono::steady_clock::now() + duration;
        (void)runner.runUntil([&] {
            relay.pump();
            return std::chrono::steady_clock::now() > end;
        });
    };
    a.want({{.host = HostId("b"), .address = relay.address()}});
    run(500ms);
    ASSERT_EQ(a.ups(), 1U);
    relay.hold(true);
    a.sendClaim(b, 1);
    run(Link::SuspectAfter + 3 * Link::KeepAliveTick);
    relay.hold(false);
    run(1s);
    EXPECT_EQ(a.downs() + b.downs(), 0U);
    EXPECT_EQ(b.claims(), std::vector<uint64_t> {1});
}

/// The same of a host whose process stood still: what it does first decides which of the two links is heard first.
TEST_F(LinkHubTest, AProcessThatStoodStillGoesOnWithItsLinks)
{
    LoopRunner otherRunner;
    Host b(otherRunner, "b");
    const auto run = [&](Duration duration, bool doesOtherRun) {
        const auto end = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < end) {
            runner.runTurns(1);
            if (doesOtherRun)
                otherRunner.runTurns(1);
        }
    };
    std::vector<std::unique_ptr<Host>> peers;
    for (const char* name : {"a1", "a2", "a3", "a4"}) {
        peers.push_back(std::make_unique<Host>(runner, name));
        peers.back()->want({b.known()});
    }
    run(500ms, true);
    ASSERT_EQ(b.ups(), peers.size());
    run(Link::SuspectAfter + 3 * Link::KeepAliveTick, false);
    run(1s, true);
    EXPECT_EQ(b.downs(), 0U);
}

// Hosts that have nothing to tell each other keep their link: longer than silence is borne.
TEST_F(LinkHubTest, ALinkAtRestStands)
{
    Host a(runner, "a");
    Host b(runner, "b");
    a.want({b.known()});
    ASSERT_TRUE(waitUp(a, b));
    const auto end = std::chrono::steady_clock::now() + Link::LongestSilence + Link::KeepAlivePeriod;
    EXPECT_TRUE(runner.runUntil([&] { return std::chrono::steady_clock::now() > end; }));
    EXPECT_EQ(a.downs() + b.downs(), 0U);
    a.sendClaim(b, 1);
    EXPECT_TRUE(runner.runUntil([&] { return b.claims().size() == 1; }));
    EXPECT_EQ(b.badFrames(), 0U);
}

} // namespace
} // namespace saltvane::net::tests
