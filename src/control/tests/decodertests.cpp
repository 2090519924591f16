/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/cbordocument.h"
#include "control/internal/commandcodec.h"
#include "control/internal/controlstate.h"
#include "control/tests/testbundles.h"

#include <boost/random/mersenne_twister.hpp>
#include <gtest/gtest.h>

namespace saltvane::control::test {

namespace {

constexpr int Mutations = 3000;
constexpr size_t LargePlan = 100'000; ///< Bytes.

std::vector<Command> allKinds()
{
    return {TestOperator("ana").propose(1), TestOperator("ben").approve(1), TestOperator("ana").revert(1, 2),
        ClaimKey {.service = ServiceName("service"),
            .key = "key",
            .fingerprint = UINT64_MAX,
            .holder = HostId("entry1"),
            .holderIncarnation = Incarnation {3},
            .claim = 4,
            .expiresAtUnixMs = 5,
            .nowUnixMs = -1},
        ChangeReplicas {{{.replica = model::ReplicaId("replica1"), .host = HostId("control1"), .isVoter = false}}},
        NoOperation {}, ReplacePlan {.base = {}, .version = {1}, .content = "a small plan"},
        ReplacePlan {.base = {1}, .version = {2}, .content = std::string(LargePlan, 'r')},
        SetEvacuation {.zone = ZoneName("north-a"), .isEvacuated = true},
        RetireTarget {.target = TargetId("target"), .incarnation = {1'700'000'000'000}}};
}

ControlState fullState()
{
    ControlState state;
    uint64_t index = 0;
    for (const Command& command : allKinds())
        state.apply({.index = LogIndex {++index}, .term = LogTerm {1}, .payload = encodeCommand(command)});
    return state;
}

/// Changes, drops, repeats and cuts bytes.
std::string mutated(std::string bytes, boost::random::mt19937_64& random)
{
    for (uint64_t change = random() % 4; !bytes.empty() && change < 4; ++change) {
        const size_t at = random() % bytes.size();
        const size_t length = std::min<size_t>(1 + random() % 8, bytes.size() - at);
        switch (random() % 4) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes.erase(at, length);
            break;
        case 2:
            bytes.insert(at, bytes.substr(at, length));
            break;
        default:
            bytes.resize(at);
        }
    }
    return bytes;
}

} // namespace

TEST(ControlDecoders, CommandsComeBackAsTheyWere)
{
    for (const Command& command : allKinds()) {
        const std::string bytes = encodeCommand(command);
        const Result<Command, CodecError> decoded = decodeCommand(bytes);
        ASSERT_TRUE(decoded.isOk());
        EXPECT_EQ(decoded.value().index(), command.index());
        EXPECT_EQ(encodeCommand(decoded.value()), bytes);
    }
}

TEST(ControlDecoders, ALargePlanTakesLittleRoomInTheLog)
{
    const ReplacePlan plan {.base = {1}, .version = {2}, .content = std::string(LargePlan, 'r')};
    EXPECT_LT(encodeCommand(plan).size(), LargePlan / 100);
}

TEST(ControlDecoders, PlansAreReadAsEarlierVersionsWroteThem)
{
    const nlohmann::json written {
        {"kind", "plan"}, {"base", 1U}, {"version", 2U}, {"content", std::string(LargePlan, 'r')}};
    const Result<Command, CodecError> decoded = decodeCommand(encodeCbor(written));
    ASSERT_TRUE(decoded.isOk());
    EXPECT_EQ(std::get<ReplacePlan>(decoded.value()).content.size(), LargePlan);
}

// Written when a target's id was of one start only: it binds that start, whose time isn't known, and no later one.
TEST(ControlDecoders, RetirementsAreReadAsEarlierVersionsWroteThem)
{
    const Result<Command, CodecError> decoded
        = decodeCommand(encodeCbor(nlohmann::json {{"kind", "retire"}, {"target", "t-1"}}));
    ASSERT_TRUE(decoded.isOk());
    EXPECT_EQ(std::get<RetireTarget>(decoded.value()).target, TargetId("t-1"));
    EXPECT_EQ(std::get<RetireTarget>(decoded.value()).incarnation, Incarnation {});
}

TEST(ControlDecoders, SnapshotsComeBackAsTheyWere)
{
    const std::string bytes = fullState().encodeSnapshot();
    ControlState copy;
    copy.install(bytes);
    EXPECT_EQ(copy.encodeSnapshot(), bytes);
    EXPECT_EQ(copy.bundles().all().size(), 2U); // The proposed one and its revert.
    EXPECT_EQ(copy.claims().size(), 1U);
}

TEST(ControlDecoders, MutatedCommandsAreRefusedOrReadInFull)
{
    boost::random::mt19937_64 random(1);
    int refused = 0;
    for (const Command& command : allKinds()) {
        const std::string bytes = encodeCommand(command);
        for (int round = 0; round < Mutations; ++round) {
            const Result<Command, CodecError> decoded = decodeCommand(mutated(bytes, random));
            refused += decoded ? 0 : 1;
            EXPECT_TRUE(!decoded || decodeCommand(encodeCommand(decoded.value())).isOk());
        }
    }
    EXPECT_GT(refused, Mutations);
}

TEST(ControlDecoders, MutatedSnapshotsAreRefusedOrReadInFull)
{
    boost::random::mt19937_64 random(2);
    const std::string bytes = fullState().encodeSnapshot();
    int refused = 0;
    for (int round = 0; round < Mutations; ++round) {
        ControlState state;
        const std::string damaged = mutated(bytes, random);
        if (!state.configurationIn(damaged)) {
            ++refused;
            continue;
        }
        state.install(damaged);
        EXPECT_TRUE(state.configurationIn(state.encodeSnapshot()));
    }
    EXPECT_GT(refused, Mutations / 4);
}

TEST(ControlDecoders, DeepNestingAndHugeCountsAreRefused)
{
    EXPECT_FALSE(decodeCommand(std::string(100000, '\x81')).isOk());
    EXPECT_FALSE(decodeCommand("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff").isOk());
    EXPECT_FALSE(decodeCommand("").isOk());
}

} // namespace saltvane::control::test
