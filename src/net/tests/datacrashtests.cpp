/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/tests/datafolderfixture.h"

namespace saltvane::net::tests {
namespace {

/// Stops the process at every byte that it writes, and at every call that changes the disk.
class CrashTest : public testing::Test {
protected:
    /// Writes until the disk fails. Returns the number of successful writes; no value if opening failed.
    static std::optional<size_t> runUntilFailure(FaultyDisk& disk, const std::string& path)
    {
        DataFolder folder(path, disk);
        if (!folder.open())
            return std::nullopt;
        const auto writes = replicaHistory();
        for (size_t i = 0; i < writes.size(); ++i) {
            if (!folder.write(writes[i]))
                return i;
        }
        return writes.size();
    }
    static void checkRecovered(const std::string& path, std::optional<size_t> successfulWrites, uint64_t fault)
    {
        const auto writes = replicaHistory();
        FaultyDisk disk;
        DataFolder folder(path, disk);
        const auto opened = folder.open();
        ASSERT_TRUE(opened.isOk()) << fault << " " << opened.error().location << " " << opened.error().message;
        const RecoveredState& found = folder.recovered();
        const size_t minWrites = successfulWrites.value_or(0);
        bool isExpected = isSame(found, expectedAfter(writes, minWrites));
        if (minWrites < writes.size())
            isExpected = isExpected || isSame(found, expectedAfter(writes, minWrites + 1))
                || isPartial(found, writes, minWrites);
        EXPECT_TRUE(isExpected) << fault << ": " << minWrites << " writes counted, found " << describe(found);
    }
    /// A snapshot may be on disk before the rest of its write.
    static bool isPartial(const RecoveredState& found, const std::vector<StorageWrite>& writes, size_t minWrites)
    {
        if (!writes[minWrites].snapshot)
            return false;
        std::vector<StorageWrite> partial(writes.begin(), writes.begin() + static_cast<std::ptrdiff_t>(minWrites));
        StorageWrite only = writes[minWrites];
        only.append.clear();
        only.truncateFrom.reset();
        const RecoveredState before = expectedAfter(partial, minWrites);
        const bool isAhead = before.entries.empty() || before.entries.back().index < only.snapshotIndex;
        const auto own = std::find_if(before.entries.begin(), before.entries.end(),
            [&](const model::LogEntry& item) { return item.index == only.snapshotIndex; });
        if (!isAhead && own != before.entries.end() && own->term != only.snapshotTerm)
            only.truncateFrom = only.snapshotIndex;
        partial.push_back(only);
        return isSame(found, expectedAfter(partial, partial.size()));
    }
};

TEST_F(CrashTest, AtEveryByte)
{
    FaultyDisk faultless;
    const TemporaryFolder reference;
    ASSERT_EQ(runUntilFailure(faultless, reference.path()), replicaHistory().size());
    for (uint64_t bytes = 0; bytes < faultless.bytesWritten; ++bytes) {
        const TemporaryFolder folder;
        FaultyDisk disk;
        disk.bytesLeft = bytes;
        disk.crashesWhenFull = true;
        const auto successfulWrites = runUntilFailure(disk, folder.path());
        ASSERT_TRUE(disk.hasCrashed) << bytes;
        checkRecovered(folder.path(), successfulWrites, bytes);
    }
}

TEST_F(CrashTest, AtEveryCall)
{
    FaultyDisk faultless;
    const TemporaryFolder reference;
    ASSERT_EQ(runUntilFailure(faultless, reference.path()), replicaHistory().size());
    for (uint64_t call = 0; call < faultless.calls; ++call) {
        const TemporaryFolder folder;
        FaultyDisk disk;
        disk.failingCall = call;
        disk.failingCalls = FaultyDisk::Unlimited - call;
        checkRecovered(folder.path(), runUntilFailure(disk, folder.path()), call);
    }
}

TEST_F(CrashTest, FailedCallsAreRetried)
{
    FaultyDisk faultless;
    const TemporaryFolder reference;
    ASSERT_EQ(runUntilFailure(faultless, reference.path()), replicaHistory().size());
    const auto writes = replicaHistory();
    for (uint64_t call = 0; call < faultless.calls; ++call) {
        for (const uint64_t consecutive : {1, 2, 5}) {
            const TemporaryFolder folder;
            FaultyDisk disk;
            disk.failingCall = call;
            disk.failingCalls = consecutive;
            size_t failures = 0;
            {
                auto open = std::make_unique<DataFolder>(folder.path(), disk);
                while (!open->open() && ++failures < 10)
                    open = std::make_unique<DataFolder>(folder.path(), disk);
                for (const StorageWrite& write : writes) {
                    while (!open->write(write) && failures < 10)
                        ++failures;
                }
            }
            ASSERT_LT(failures, 10u) << call;
            const auto again = reopened(folder.path());
            ASSERT_NE(again, nullptr) << call;
            EXPECT_TRUE(isSame(again->recovered(), expectedAfter(writes, writes.size())))
                << call << " " << describe(again->recovered());
        }
    }
}

TEST_F(CrashTest, FullDiskIsAnErrorAndWritesCanBeRetried)
{
    const TemporaryFolder folder;
    FaultyDisk disk;
    DataFolder open(folder.path(), disk);
    ASSERT_TRUE(open.open().isOk());
    ASSERT_TRUE(open.write(appending(1, 3, 1)).isOk());
    for (const uint64_t bytesLeft : {0, 1, 20}) {
        disk.bytesLeft = bytesLeft;
        const auto full = open.write(appending(4, 6, 1));
        ASSERT_FALSE(full.isOk());
        EXPECT_EQ(full.error().code, ENOSPC);
        EXPECT_NE(full.error().location.find("segment-"), std::string::npos);
    }
    disk.bytesLeft = FaultyDisk::Unlimited;
    ASSERT_TRUE(open.write(appending(4, 6, 1)).isOk());
    const auto last = filesWith(folder.path(), "segment-").back();
    const auto content = readSegment(last, 1, true, [](const LogItem&) { return std::nullopt; });
    EXPECT_EQ(content.value().tornBytes, 0u);
}

} // namespace
} // namespace saltvane::net::tests
