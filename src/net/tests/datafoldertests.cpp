/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/tests/datafolderfixture.h"
#include "wire/framecodec.h"

#include <fstream>

namespace saltvane::net::tests {
namespace {

host::SoftState stateOf(const std::string& target)
{
    host::SoftState state;
    state.targets.targets.push_back({.target = TargetId(target), .service = ServiceName("quotes")});
    state.suspects.requests.push_back({.digest = {.high = 1, .low = 2}, .isBlamed = true});
    return state;
}

TEST(DataFolderTest, NewFolderHasANewIdentityAndNoState)
{
    const TemporaryFolder first;
    const TemporaryFolder second;
    const auto a = reopened(first.path());
    const auto b = reopened(second.path());
    EXPECT_TRUE(a->recovered().isNewDisk);
    EXPECT_NE(a->recovered().replica, b->recovered().replica);
    EXPECT_FALSE(a->recovered().replica.isEmpty());
    EXPECT_TRUE(isSame(a->recovered(), RecoveredState {}));
    EXPECT_EQ(a->startCount(), 1u);
}

TEST(DataFolderTest, PreservesIdentityAndCountsStarts)
{
    const TemporaryFolder folder;
    const auto replica = reopened(folder.path())->recovered().replica;
    auto second = reopened(folder.path());
    EXPECT_EQ(second->recovered().replica, replica);
    EXPECT_TRUE(second->recovered().isNewDisk); // Nothing was written yet.
    EXPECT_EQ(second->startCount(), 2u);
    ASSERT_TRUE(second->write(appending(1, 1, 1)).isOk());
    second.reset();
    EXPECT_FALSE(reopened(folder.path())->recovered().isNewDisk);
}

TEST(DataFolderTest, SoftStateOfAnotherVersionIsIgnoredWithAWarning)
{
    const TemporaryFolder folder;
    (void)reopened(folder.path());
    std::ofstream(folder.path() + "/soft-state", std::ios::binary)
        << encodeRecord(SoftStatePosition, "bytes of another version");
    const auto second = reopened(folder.path());
    EXPECT_TRUE(second->softState().targets.targets.empty());
    EXPECT_EQ(second->warnings().size(), 1U);
}

TEST(DataFolderTest, RestoresTheLastSoftState)
{
    const TemporaryFolder folder;
    auto first = reopened(folder.path());
    EXPECT_TRUE(first->softState().targets.targets.empty());
    ASSERT_TRUE(first->writeSoftState(stateOf("one")).isOk());
    ASSERT_TRUE(first->writeSoftState(stateOf("two")).isOk());
    first.reset();
    const auto second = reopened(folder.path());
    ASSERT_EQ(second->softState().targets.targets.size(), 1U);
    EXPECT_EQ(second->softState().targets.targets[0].target, TargetId("two"));
    ASSERT_EQ(second->softState().suspects.requests.size(), 1U);
    EXPECT_TRUE(second->softState().suspects.requests[0].isBlamed);
    EXPECT_TRUE(second->warnings().empty());
}

TEST(DataFolderTest, SoftStateWithOnlyTargetsIsRead)
{
    const TemporaryFolder folder;
    (void)reopened(folder.path());
    std::ofstream(folder.path() + "/soft-state", std::ios::binary)
        << encodeRecord(SoftStatePosition, wire::encodeFrame(stateOf("one").targets));
    const auto second = reopened(folder.path());
    EXPECT_EQ(second->softState().targets.targets.size(), 1U);
    EXPECT_TRUE(second->softState().suspects.requests.empty());
    EXPECT_TRUE(second->warnings().empty());
}

TEST(DataFolderTest, CorruptedSoftStateIsIgnoredWithAWarning)
{
    const TemporaryFolder folder;
    auto first = reopened(folder.path());
    ASSERT_TRUE(first->writeSoftState(stateOf("one")).isOk());
    first.reset();
    std::ofstream(folder.path() + "/soft-state", std::ios::app) << "torn";
    const auto second = reopened(folder.path());
    EXPECT_TRUE(second->softState().targets.targets.empty());
    ASSERT_EQ(second->warnings().size(), 1U);
    EXPECT_NE(second->warnings()[0].find("soft-state"), std::string::npos);
}

TEST(DataFolderTest, RecoversAfterEachWrite)
{
    const auto writes = replicaHistory();
    const TemporaryFolder folder;
    for (size_t i = 0; i < writes.size(); ++i) {
        auto open = reopened(folder.path());
        ASSERT_TRUE(open->write(writes[i]).isOk());
        open.reset();
        const auto again = reopened(folder.path());
        EXPECT_TRUE(isSame(again->recovered(), expectedAfter(writes, i + 1)))
            << i << " " << describe(again->recovered());
        EXPECT_TRUE(again->warnings().empty());
    }
}

TEST(DataFolderTest, RecoversAllWritesOfOneProcess)
{
    const auto writes = replicaHistory();
    const TemporaryFolder folder;
    auto open = reopened(folder.path());
    for (const StorageWrite& write : writes)
        ASSERT_TRUE(open->write(write).isOk());
    open.reset();
    EXPECT_TRUE(isSame(reopened(folder.path())->recovered(), expectedAfter(writes, writes.size())));
}

TEST(DataFolderTest, RemovesFilesThatASnapshotReplaces)
{
    const TemporaryFolder folder;
    auto open = reopened(folder.path());
    for (uint64_t i = 1; i <= 20; ++i) {
        ASSERT_TRUE(open->write(appending(i, i, 1)).isOk());
        ASSERT_TRUE(open->write(snapshotting(i, 1)).isOk());
    }
    EXPECT_EQ(filesWith(folder.path(), "snapshot-").size(), 1u);
    EXPECT_LE(filesWith(folder.path(), "segment-").size(), 2u);
}

TEST(DataFolderTest, SecondProcessIsRefused)
{
    const TemporaryFolder folder;
    const auto open = reopened(folder.path());
    const auto second = openDataFolder(folder.path());
    ASSERT_FALSE(second.isOk());
    EXPECT_NE(second.error().message.find("in use"), std::string::npos);
}

TEST(DataFolderTest, RefusesAnotherFormatAndForeignFolders)
{
    const TemporaryFolder folder;
    (void)reopened(folder.path());
    std::ofstream(folder.path() + "/format") << "saltvane data 2\n";
    const auto other = openDataFolder(folder.path());
    ASSERT_FALSE(other.isOk());
    EXPECT_NE(other.error().message.find("saltvane data 2"), std::string::npos);

    const TemporaryFolder foreign;
    fs::create_directory(foreign.path());
    std::ofstream(foreign.path() + "/letters.txt") << "x";
    EXPECT_FALSE(openDataFolder(foreign.path()).isOk());

    const TemporaryFolder lost;
    (void)reopened(lost.path())->write(appending(1, 100, 1));
    fs::remove(lost.path() + "/format");
    EXPECT_FALSE(openDataFolder(lost.path()).isOk());
}

} // namespace
} // namespace saltvane::net::tests
