/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/tests/linkhubfixture.h"

namespace saltvane::net::tests {
namespace {

class LinkProtocolTest : public LinkHubTest { };

TEST_F(LinkProtocolTest, BadHandshakesAreRefused)
{
    Host a(runner, "a");
    const RawPeer pattern(a);
    std::string otherVersion = pattern.hello;
    otherVersion[4] = 9;
    const std::vector<std::string> bad {"GET / HTTP/1.1\r\n\r\n", encodeLinkInteger(2000, 2),
        RawPeer::framed(pattern.hello.substr(1)), RawPeer::framed(otherVersion), RawPeer::framed(pattern.hello + "x"),
        RawPeer::framed("")};
    uint64_t count = 0;
    for (const std::string& bytes : bad) {
        RawPeer peer(a);
        peer.socket.send(bytes);
        ASSERT_TRUE(runner.runUntil([&] { return peer.socket.isPeerDisconnected(); }));
        EXPECT_EQ(a.refused(), ++count);
    }
    EXPECT_TRUE(a.log.events.empty());
}

TEST_F(LinkProtocolTest, ReplayedAndReflectedProofsAreRefused)
{
    Host a(runner, "a");
    RawPeer recorded(a);
    ASSERT_TRUE(recorded.join(runner, a));
    RawPeer replayed(a);
    replayed.hello = recorded.hello;
    replayed.socket.send(RawPeer::framed(replayed.hello));
    ASSERT_TRUE(replayed.readPeerHello(runner));
    replayed.socket.send(recorded.proof(Key));
    ASSERT_TRUE(runner.runUntil([&] { return replayed.socket.isPeerDisconnected(); }));
    EXPECT_EQ(a.refused(), 1u);

    RawPeer mirror(a);
    mirror.socket.send(RawPeer::framed(mirror.hello));
    ASSERT_TRUE(mirror.readPeerHello(runner));
    const size_t helloSize = 2 + mirror.peerHello.size();
    ASSERT_TRUE(runner.runUntil([&] {
        mirror.socket.pump();
        return mirror.socket.received.size() >= helloSize + LinkProofBytes;
    }));
    mirror.socket.send(mirror.socket.received.substr(helloSize, LinkProofBytes));
    ASSERT_TRUE(runner.runUntil([&] { return mirror.socket.isPeerDisconnected(); }));
    EXPECT_EQ(a.refused(), 2u);
    EXPECT_EQ(a.ups(), 1u);
}

TEST_F(LinkProtocolTest, ModifiedRepeatedAndReorderedRecordsCloseTheLink)
{
    Host a(runner, "a");
    for (int fault = 0; fault < 4; ++fault) {
        RawPeer peer(a, "raw" + std::to_string(fault));
        ASSERT_TRUE(peer.join(runner, a));
        RecordSeal sealer = peer.sealer();
        std::string first;
        std::string second;
        sealer.seal(claimFrame(1), first);
        sealer.seal(claimFrame(2), second);
        std::string changed = second;
        changed[second.size() / 2] ^= 1;
        const std::vector<std::string> sequences {
            first + changed, first + first, second + first, first + encodeLinkInteger(wire::MaxFrameBytes * 2, 4)};
        const size_t before = a.claims().size();
        peer.socket.send(sequences[static_cast<size_t>(fault)]);
        ASSERT_TRUE(runner.runUntil([&] { return peer.socket.isPeerDisconnected(); }));
        EXPECT_EQ(a.claims().size() - before, fault == 2 ? 0u : 1u) << fault;
        EXPECT_EQ(a.badFrames(), static_cast<uint64_t>(fault) + 1);
    }
}

TEST_F(LinkProtocolTest, RecordsAreReassembledFromSingleBytes)
{
    Host a(runner, "a");
    RawPeer peer(a);
    ASSERT_TRUE(peer.join(runner, a));
    RecordSeal sealer = peer.sealer();
    std::string bytes;
    for (uint64_t i = 0; i < 3; ++i)
        sealer.seal(claimFrame(i), bytes);
    for (const char byte : bytes) {
        peer.socket.send(std::string_view(&byte, 1));
        runner.runTurns(1);
    }
    ASSERT_TRUE(runner.runUntil([&] { return a.claims().size() == 3; }));
    EXPECT_EQ(a.claims(), (std::vector<uint64_t> {0, 1, 2}));
}

// Guards against messages that arrive in part and count: the rest of a record, sent on the next link of the same host,
// must neither complete it nor be read as another one.
TEST_F(LinkProtocolTest, RecordsCutByAReconnectDoNotCount)
{
    constexpr int SomeTurns = 5;
    Host a(runner, "a");
    RawPeer pattern(a, "pattern");
    ASSERT_TRUE(pattern.join(runner, a));
    std::string record;
    pattern.sealer().seal(claimFrame(0), record);
    for (size_t cut = 1; cut < record.size(); ++cut) {
        a.log.events.clear();
        RawPeer first(a);
        ASSERT_TRUE(first.join(runner, a));
        RecordSeal sealer = first.sealer();
        std::string whole;
        std::string broken;
        sealer.seal(claimFrame(1), whole);
        sealer.seal(claimFrame(2), broken);
        first.socket.send(whole + broken.substr(0, cut));
        ASSERT_TRUE(runner.runUntil([&] { return a.claims().size() == 1; })) << cut;
        first.socket.close();
        ASSERT_TRUE(runner.runUntil([&] { return a.downs() == 1; })) << cut;

        RawPeer second(a);
        ASSERT_TRUE(second.join(runner, a));
        second.socket.send(broken.substr(cut));
        runner.runTurns(SomeTurns);
        EXPECT_EQ(a.claims(), std::vector<uint64_t> {1}) << cut;
        second.socket.close();
        ASSERT_TRUE(runner.runUntil([&] { return a.downs() == 2; })) << cut;
    }
}

TEST_F(LinkProtocolTest, AuthenticatedInvalidFrameClosesTheLink)
{
    Host a(runner, "a");
    RawPeer peer(a);
    ASSERT_TRUE(peer.join(runner, a));
    std::string bytes;
    RecordSeal sealer = peer.sealer();
    sealer.seal("not a frame, but long enough to be looked at", bytes);
    peer.socket.send(bytes);
    ASSERT_TRUE(runner.runUntil([&] { return peer.socket.isPeerDisconnected(); }));
    EXPECT_EQ(a.badFrames(), 1u);
}

} // namespace
} // namespace saltvane::net::tests
