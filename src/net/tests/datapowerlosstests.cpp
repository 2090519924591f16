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

// Guards against acknowledged entries that are lost, and folders that are refused, without any loss of power: the first
// segment that remains replaces entries from before its start, and the snapshot ends at the entry before its start.
TEST(TruncationAcrossSegmentsTest, EntriesBehindTheSnapshotAreRead)
{
    for (const bool nextSegmentFails : {false, true}) {
        const TemporaryFolder folder;
        FaultyDisk disk;
        auto open = std::make_unique<DataFolder>(folder.path(), disk, SmallSegments);
        ASSERT_TRUE(open->open().isOk());
        uint64_t last = 0;
        while (filesWith(folder.path(), "segment-").size() < 2) {
            ++last;
            ASSERT_TRUE(open->write(appending(last, last, 1)).isOk());
        }
        StorageWrite conflict = appending(last - 1, last + 2, 2);
        conflict.truncateFrom = LogIndex {last - 1};
        ASSERT_TRUE(open->write(conflict).isOk());
        constexpr uint64_t SnapshotCalls = 6; // Four for its file, two for its mark.
        if (nextSegmentFails)
            disk.failingCall = disk.calls + SnapshotCalls;
        ASSERT_TRUE(open->write(snapshotting(last, 2)).isOk());
        open.reset();
        const auto again = reopened(folder.path());
        ASSERT_NE(again, nullptr);
        ASSERT_EQ(again->recovered().entries.size(), 2u) << describe(again->recovered());
        EXPECT_EQ(again->recovered().entries.back(), entry(last + 2, 2));
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

// Guards against a log that refers to a snapshot whose name is lost: the process ended between the renaming and the
// sync of the folder, the next one used the snapshot, and the power failed.
TEST_F(PowerLossTest, NamesFoundAtTheStartAreSyncedBeforeTheyAreUsed)
{
    bool hasUsedUnsynced = false;
    for (uint64_t call = 0; call < 12; ++call) {
        for (uint64_t openCall = 0; openCall < 20; ++openCall) {
            const TemporaryFolder own;
            PowerLossDisk ownDisk(own.path(), own.root() / "links", 1);
            auto open = std::make_unique<DataFolder>(own.path(), ownDisk, SmallSegments);
            ASSERT_TRUE(open->open().isOk());
            ASSERT_TRUE(open->write(appending(1, 3, 1)).isOk());
            ownDisk.crashAfter(call);
            (void)open->write(snapshotting(3, 1));
            open.reset();
            ownDisk.restart();
            hasUsedUnsynced = hasUsedUnsynced || !ownDisk.unsyncedNames().empty();
            ownDisk.crashAfter(openCall);
            open = std::make_unique<DataFolder>(own.path(), ownDisk, SmallSegments);
            (void)open->open();
            open.reset();
            ownDisk.losePower(ownDisk.unsyncedNames());
            open = std::make_unique<DataFolder>(own.path(), ownDisk, SmallSegments);
            const auto opened = open->open();
            ASSERT_TRUE(opened.isOk()) << call << " " << openCall << " " << opened.error().location << " "
                                       << opened.error().message;
        }
    }
    EXPECT_TRUE(hasUsedUnsynced);
}

// Guards against a data folder that is lost as a whole, with all that was acknowledged, since its own name was not
// synced.
TEST_F(PowerLossTest, NewFolderIsSyncedInItsParents)
{
    const fs::path parent = folder.root() / "new" / "parent";
    DataFolder open(parent / "data", disk, SmallSegments);
    ASSERT_TRUE(open.open().isOk());
    for (const fs::path& path : {folder.root(), folder.root() / "new", parent})
        EXPECT_TRUE(disk.hasSynced(path)) << path;
}

/// Draws the writes of a replica, and crashes, failing calls and losses of power between them. What was acknowledged
/// has to be there after each of them.
class RandomReplica {
public:
    explicit RandomReplica(uint64_t seed)
        : random_(seed)
        , disk_(folder_.path(), folder_.root() / "links", seed + 1)
    {
    }
    void run()
    {
        ASSERT_NO_FATAL_FAILURE(reopen());
        for (int round = 0; round < Rounds; ++round) {
            ASSERT_NO_FATAL_FAILURE(writeUntilCrash());
            ASSERT_NO_FATAL_FAILURE(recover());
        }
    }

private:
    static constexpr int Rounds = 6;
    static constexpr uint64_t MaxWrites = 30;
    static constexpr uint64_t MaxTriesAgain = 4;

    [[nodiscard]] uint64_t draw(uint64_t least, uint64_t most)
    {
        return boost::random::uniform_int_distribution<uint64_t>(least, most)(random_);
    }
    [[nodiscard]] bool oneIn(uint64_t count) { return draw(1, count) == 1; }
    [[nodiscard]] LogIndex last() const
    {
        return state_.entries.empty() ? state_.snapshotIndex : state_.entries.back().index;
    }

    [[nodiscard]] StorageWrite drawAppend()
    {
        StorageWrite write;
        uint64_t first = last().value + 1;
        if (last() > committed_ && oneIn(5)) {
            first = draw(committed_.value + 1, last().value);
            write.truncateFrom = LogIndex {first};
            ++term_;
            write.hardState = control::HardState {{term_}, model::ReplicaId("v" + std::to_string(term_))};
        }
        const uint64_t count = draw(1, 5);
        for (uint64_t index = first; index < first + count; ++index)
            write.append.push_back(entry(index, term_));
        return write;
    }
    [[nodiscard]] StorageWrite drawSnapshot()
    {
        if (oneIn(4) || committed_ <= state_.snapshotIndex) { // Sent by a leader, ahead of the log.
            const uint64_t index = last().value + draw(1, 20);
            StorageWrite write = snapshotting(index, term_);
            if (oneIn(2))
                write.append = {entry(index + 1, term_)};
            return write;
        }
        const uint64_t index = draw(state_.snapshotIndex.value + 1, committed_.value);
        const auto found = std::ranges::find(state_.entries, LogIndex {index}, &model::LogEntry::index);
        return snapshotting(index, found->term.value);
    }
    [[nodiscard]] StorageWrite drawWrite()
    {
        if (oneIn(12)) {
            ++term_;
            return {.hardState = control::HardState {{term_}, model::ReplicaId("v" + std::to_string(term_))}};
        }
        return oneIn(7) ? drawSnapshot() : drawAppend();
    }
    [[nodiscard]] static RecoveredState after(RecoveredState state, const StorageWrite& write)
    {
        if (write.hardState)
            state.hardState = *write.hardState;
        if (write.truncateFrom)
            std::erase_if(state.entries, [&](const auto& item) { return item.index >= *write.truncateFrom; });
        if (write.snapshot) {
            state.snapshot = *write.snapshot;
            state.snapshotIndex = write.snapshotIndex;
            state.snapshotTerm = write.snapshotTerm;
            std::erase_if(state.entries, [&](const auto& item) { return item.index <= write.snapshotIndex; });
        }
        state.entries.insert(state.entries.end(), write.append.begin(), write.append.end());
        return state;
    }
    void acknowledge()
    {
        state_ = after(state_, *inFlight_);
        inFlight_.reset();
        committed_ = std::max(committed_, state_.snapshotIndex);
        if (last() > committed_ && oneIn(2))
            committed_ = {draw(committed_.value, last().value)};
    }
    void writeUntilCrash()
    {
        disk_.crashAfter(draw(0, 120));
        for (uint64_t i = 0; i < MaxWrites; ++i) {
            if (oneIn(6))
                disk_.failAfter(draw(0, 8));
            inFlight_ = drawWrite();
            uint64_t tries = 0;
            while (!open_->write(*inFlight_)) {
                if (++tries > MaxTriesAgain)
                    return;
            }
            acknowledge();
        }
    }
    void endProcess()
    {
        open_.reset();
        if (oneIn(4))
            disk_.restart();
        else
            disk_.losePower();
    }
    void recover()
    {
        endProcess();
        for (int i = 0; i < 3 && oneIn(2); ++i) { // Starts that are cut short as well.
            disk_.crashAfter(draw(0, 15));
            open_ = std::make_unique<DataFolder>(folder_.path(), disk_, options_);
            (void)open_->open();
            endProcess();
        }
        reopen();
    }
    void reopen()
    {
        open_ = std::make_unique<DataFolder>(folder_.path(), disk_, options_);
        const auto opened = open_->open();
        ASSERT_TRUE(opened.isOk()) << opened.error().location << " " << opened.error().message;
        const RecoveredState& found = open_->recovered();
        ASSERT_TRUE(isExpected(found)) << "found " << describe(found) << ", acknowledged " << describe(state_);
        state_ = found;
        inFlight_.reset();
        committed_ = std::max(committed_, state_.snapshotIndex);
    }
    /// The write in flight counts, does not, or only its snapshot does, which is written first.
    [[nodiscard]] bool isExpected(const RecoveredState& found) const
    {
        if (isSame(found, state_))
            return true;
        if (!inFlight_)
            return false;
        if (isSame(found, after(state_, *inFlight_)))
            return true;
        StorageWrite snapshotOnly = *inFlight_;
        snapshotOnly.append.clear();
        return snapshotOnly.snapshot && isSame(found, after(state_, snapshotOnly));
    }

    boost::random::mt19937_64 random_;
    TemporaryFolder folder_;
    PowerLossDisk disk_;
    DataFolderOptions options_ {.maxSegmentBytes = draw(150, 1000)};
    std::unique_ptr<DataFolder> open_;
    RecoveredState state_; ///< What is acknowledged.
    std::optional<StorageWrite> inFlight_;
    LogIndex committed_; ///< Entries up to here are never truncated.
    uint64_t term_ = 1;
};

constexpr uint64_t FixedSeeds = 300;

// Guards against acknowledged entries that are lost, and folders that are refused for good, after any order of crashes,
// failing calls and losses of power. SALTVANE_SEEDS sets the number of seeds.
TEST(RandomPowerLossTest, WhatIsAcknowledgedIsReadBack)
{
    const char* const text = std::getenv("SALTVANE_SEEDS");
    const uint64_t seeds = text ? std::stoull(text) : FixedSeeds;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        RandomReplica(seed).run();
        if (testing::Test::HasFatalFailure())
            return;
    }
}

} // namespace
} // namespace saltvane::net::tests
