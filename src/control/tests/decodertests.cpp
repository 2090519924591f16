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
constexpr size_t LargePlanBytes = 100'000;

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
        ReplacePlan {.base = {1}, .version = {2}, .content = std::string(LargePlanBytes, 'r')},
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

/// Applies random changes: overwrites, removes, duplicates or truncates bytes.
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

TEST(ControlDecoders, CommandsSurviveARoundTrip)
{
    for (const Command& command : allKinds()) {
        const std::string bytes = encodeCommand(command);
        const Result<Command, CodecError> decoded = decodeCommand(bytes);
        ASSERT_TRUE(decoded.isOk());
        EXPECT_EQ(decoded.value().index(), command.index());
        EXPECT_EQ(encodeCommand(decoded.value()), bytes);
    }
}

TEST(ControlDecoders, LargePlansAreCompressedInTheLog)
{
    const ReplacePlan plan {.base = {1}, .version = {2}, .content = std::string(LargePlanBytes, 'r')};
    EXPECT_LT(encodeCommand(plan).size(), LargePlanBytes / 100);
}

TEST(ControlDecoders, PlansOfEarlierVersionsAreReadable)
{
    const nlohmann::json written {
        {"kind", "plan"}, {"base", 1U}, {"version", 2U}, {"content", std::string(LargePlanBytes, 'r')}};
    const Result<Command, CodecError> decoded = decodeCommand(encodeCbor(written));
    ASSERT_TRUE(decoded.isOk());
    EXPECT_EQ(std::get<ReplacePlan>(decoded.value()).content.size(), LargePlanBytes);
}

// Earlier software versions did not write the incarnation. Such an order applies to the incarnation with that id when
// it was written, not to later ones.
TEST(ControlDecoders, RetirementsOfEarlierVersionsAreReadable)
{
    const Result<Command, CodecError> decoded
        = decodeCommand(encodeCbor(nlohmann::json {{"kind", "retire"}, {"target", "t-1"}}));
    ASSERT_TRUE(decoded.isOk());
    EXPECT_EQ(std::get<RetireTarget>(decoded.value()).target, TargetId("t-1"));
    EXPECT_EQ(std::get<RetireTarget>(decoded.value()).incarnation, Incarnation {});
}

TEST(ControlDecoders, SnapshotsSurviveARoundTrip)
{
    const std::string bytes = fullState().encodeSnapshot();
    ControlState copy;
    copy.install(bytes);
    EXPECT_EQ(copy.encodeSnapshot(), bytes);
    EXPECT_EQ(copy.bundles().all().size(), 2U); // The proposed bundle and its revert.
    EXPECT_EQ(copy.claims().size(), 1U);
}

TEST(ControlDecoders, MutatedCommandsAreRejectedOrDecoded)
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

TEST(ControlDecoders, MutatedSnapshotsAreRejectedOrDecoded)
{
    boost::random::mt19937_64 random(2);
    const std::string bytes = fullState().encodeSnapshot();
    int refused = 0;
    for (int round = 0; round < Mutations; ++round) {
        ControlState state;
        const std::string corrupted = mutated(bytes, random);
        if (!state.configurationIn(corrupted)) {
            ++refused;
            continue;
        }
        state.install(corrupted);
        EXPECT_TRUE(state.configurationIn(state.encodeSnapshot()));
    }
    EXPECT_GT(refused, Mutations / 4);
}

TEST(ControlDecoders, DeepNestingAndHugeCountsAreRejected)
{
    EXPECT_FALSE(decodeCommand(std::string(100000, '\x81')).isOk());
    EXPECT_FALSE(decodeCommand("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff").isOk());
    EXPECT_FALSE(decodeCommand("").isOk());
}

} // namespace saltvane::control::test
