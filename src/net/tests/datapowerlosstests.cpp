/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/tests/datafolderfixture.h"
#include "net/tests/powerlossdisk.h"

namespace saltvane::net::tests {
namespace {

constexpr DataFolderOptions SmallSegments {.maxSegmentBytes = 200};

/// A folder whose last snapshot has just replaced several segments.
class RemovedSegmentsTest : public testing::Test {
protected:
    void SetUp() override
    {
        FaultyDisk disk;
        DataFolder open(folder.path(), disk, SmallSegments);
        ASSERT_TRUE(open.open().isOk());
        write(open, {.hardState = control::HardState {{1}, model::ReplicaId("v1")}});
        for (uint64_t index = 1; index <= 15; ++index) {
            if (index == 6)
                write(open, {.hardState = control::HardState {{2}, model::ReplicaId("v2")}});
            write(open, appending(index, index, index < 6 ? 1 : 2));
        }
        fs::copy(folder.path(), before, fs::copy_options::recursive);
        write(open, snapshotting(15, 2));
        write(open, appending(16, 17, 2));
        for (const std::string& path : filesWith(before, "segment-")) {
            const std::string name = fs::path(path).filename();
            if (!fs::exists(folder.path() + "/" + name))
                removed.push_back(name);
        }
        ASSERT_GE(removed.size(), 3u);
    }
    void write(DataFolder& open, const StorageWrite& item)
    {
        ASSERT_TRUE(open.write(item).isOk());
        writes.push_back(item);
    }
    /// A copy of the folder in which these removals were lost.
    [[nodiscard]] std::string copyWith(const std::vector<std::string>& names)
    {
        const std::string to = folder.root() / ("copy" + std::to_string(++copies));
        fs::copy(folder.path(), to, fs::copy_options::recursive);
        for (const std::string& name : names)
            fs::copy(before + "/" + name, to + "/" + name);
        return to;
    }
    TemporaryFolder folder;
    std::string before = folder.root() / "before";
    std::vector<StorageWrite> writes;
    std::vector<std::string> removed; ///< Segments that the snapshot has replaced, in their order.
    int copies = 0;
};

// Guards against registry hosts that refuse their folder at every start after a loss of power: each removed name that
// was not synced may come back by itself, so that segments are missing between those that the snapshot has replaced.
TEST_F(RemovedSegmentsTest, AnyOfThemMayComeBack)
{
    for (uint64_t subset = 0; subset < (1ull << removed.size()); ++subset) {
        std::vector<std::string> back;
        for (size_t i = 0; i < removed.size(); ++i) {
            if ((subset >> i) & 1)
                back.push_back(removed[i]);
        }
        const std::string path = copyWith(back);
        auto open = reopened(path);
        ASSERT_NE(open, nullptr) << subset;
        EXPECT_TRUE(isSame(open->recovered(), expectedAfter(writes, writes.size()))) << describe(open->recovered());
        ASSERT_TRUE(open->write(appending(18, 18, 2)).isOk());
        open.reset();
        open = reopened(path);
        ASSERT_NE(open, nullptr) << subset;
        EXPECT_TRUE(open->warnings().empty());
        EXPECT_EQ(open->recovered().entries.back(), entry(18, 2));
        fs::remove_all(path);
    }
}

// Guards against a mend that forgets: obsolete files are dropped once, and the operator is told.
TEST_F(RemovedSegmentsTest, WhatComesBackIsRemovedWithAWarning)
{
    const std::string path = copyWith({removed[0], removed[2]});
    auto open = reopened(path);
    ASSERT_NE(open, nullptr);
    ASSERT_EQ(open->warnings().size(), 1u);
    EXPECT_NE(open->warnings().front().find(path), std::string::npos) << open->warnings().front();
    EXPECT_NE(open->warnings().front().find("15"), std::string::npos) << open->warnings().front();
    for (const std::string& name : removed)
        EXPECT_FALSE(fs::exists(path + "/" + name)) << name;
}

// Guards against a host that votes by an older term or vote: those of the first segment behind the gap are in force.
TEST_F(RemovedSegmentsTest, TermAndVoteAreThoseBehindTheGap)
{
    const std::string path = copyWith({removed.front()});
    const auto open = reopened(path);
    ASSERT_NE(open, nullptr);
    EXPECT_EQ(open->recovered().hardState.term, LogTerm {2});
    EXPECT_EQ(open->recovered().hardState.votedFor, model::ReplicaId("v2"));
}

// Guards against a host that votes although it has lost entries: a gap that the snapshot does not cover is refused.
TEST_F(RemovedSegmentsTest, GapsThatNoSnapshotCoversAreRefused)
{
    // Without the last snapshot all segments are needed.
    const std::vector<std::string> segments = filesWith(before, "segment-");
    for (size_t i = 0; i + 1 < segments.size(); ++i) {
        const std::string path = folder.root() / ("gap" + std::to_string(i));
        fs::copy(before, path, fs::copy_options::recursive);
        fs::remove(path + "/" + fs::path(segments[i]).filename().string());
        const auto opened = openDataFolder(path);
        ASSERT_FALSE(opened.isOk()) << i;
        EXPECT_EQ(opened.error().location, path);
        EXPECT_NE(opened.error().message.find("neither in a snapshot nor in a segment"), std::string::npos)
            << opened.error().message;
    }
}

// Guards against a host that votes on the rest of its log: the newest segment is missing, and a gap precedes it.
TEST_F(RemovedSegmentsTest, MissingNewestSegmentIsRefused)
{
    const std::string path = copyWith({removed[0]});
    fs::remove(filesWith(path, "segment-").back());
    EXPECT_FALSE(openDataFolder(path).isOk());
}

// Guards against damaged records that are passed over, before and behind a gap.
TEST_F(RemovedSegmentsTest, DamagedRecordsAreRefused)
{
    for (const bool isBeforeGap : {true, false}) {
        const std::string path = copyWith({removed[0]});
        const auto segments = filesWith(path, "segment-");
        flipByte(isBeforeGap ? segments.front() : segments.back(), 10);
        const auto opened = openDataFolder(path);
        ASSERT_FALSE(opened.isOk()) << isBeforeGap;
        EXPECT_NE(opened.error().message.find("damaged"), std::string::npos) << opened.error().message;
    }
}

/// A disk that loses power.
class PowerLossTest : public testing::Test {
protected:
    [[nodiscard]] std::unique_ptr<DataFolder> makeFolder()
    {
        return std::make_unique<DataFolder>(folder.path(), disk, SmallSegments);
    }
    TemporaryFolder folder;
    PowerLossDisk disk {folder.path(), folder.root() / "links", 1};
};

// Guards against names that stay unsynced until the next file is renamed, which may be hours later.
TEST_F(PowerLossTest, RemovedNamesAreSynced)
{
    auto open = makeFolder();
    ASSERT_TRUE(open->open().isOk());
    for (uint64_t index = 1; index <= 15; ++index)
        ASSERT_TRUE(open->write(appending(index, index, 1)).isOk());
    ASSERT_GE(filesWith(folder.path(), "segment-").size(), 4u);
    ASSERT_TRUE(open->write(snapshotting(15, 1)).isOk());
    ASSERT_EQ(filesWith(folder.path(), "segment-").size(), 1u);
    EXPECT_TRUE(disk.unsyncedNames().empty());
}

} // namespace
} // namespace saltvane::net::tests
