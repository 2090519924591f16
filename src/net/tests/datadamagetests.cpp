/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/tests/datafolderfixture.h"

namespace saltvane::net::tests {
namespace {

/// A folder with two segments and a snapshot.
class DamageTest : public testing::Test {
protected:
    void SetUp() override
    {
        const auto open = reopened(folder.path());
        ASSERT_TRUE(open->write(appending(1, 3, 1)).isOk());
        ASSERT_TRUE(open->write(appending(4, 6, 1)).isOk());
        ASSERT_TRUE(open->write(snapshotting(2, 1)).isOk());
        ASSERT_TRUE(open->write(appending(7, 8, 1)).isOk());
        ASSERT_TRUE(open->write(appending(9, 9, 1)).isOk());
    }
    [[nodiscard]] std::string copy()
    {
        const std::string to = folder.root() / ("copy" + std::to_string(++copies));
        fs::copy(folder.path(), to, fs::copy_options::recursive);
        return to;
    }
    TemporaryFolder folder;
    int copies = 0;
};

TEST_F(DamageTest, CorruptedRecordIsAnErrorWithItsLocation)
{
    const auto segments = filesWith(folder.path(), "segment-");
    ASSERT_EQ(segments.size(), 2u);
    for (const std::string& segment : segments) {
        const bool isLast = segment == segments.back();
        const uint64_t size = fs::file_size(segment);
        // Corruption of the last record of the last segment looks like an interrupted write.
        const uint64_t end = isLast ? size - 60 : size;
        for (uint64_t offset = 0; offset < end; offset += 3) {
            const std::string corrupted = copy();
            const std::string file = corrupted + "/" + fs::path(segment).filename().string();
            flipByte(file, offset);
            const auto opened = openDataFolder(corrupted);
            ASSERT_FALSE(opened.isOk()) << segment << " " << offset;
            EXPECT_TRUE(opened.error().location.starts_with(file + ":")) << opened.error().location;
            fs::remove_all(corrupted);
        }
    }
}

TEST_F(DamageTest, IncompleteLastWriteIsTruncatedWithAWarning)
{
    const std::string name = fs::path(filesWith(folder.path(), "segment-").back()).filename();
    const uint64_t size = fs::file_size(folder.path() + "/" + name);
    for (uint64_t lost = 1; lost < 20; ++lost) {
        const std::string truncated = copy();
        fs::resize_file(truncated + "/" + name, size - lost);
        auto opened = reopened(truncated);
        ASSERT_EQ(opened->warnings().size(), 1u);
        EXPECT_NE(opened->warnings().front().find(name), std::string::npos);
        EXPECT_EQ(opened->recovered().entries.back().index, LogIndex {8});
        ASSERT_TRUE(opened->write(appending(9, 10, 2)).isOk());
        opened.reset();
        const auto again = reopened(truncated);
        EXPECT_TRUE(again->warnings().empty());
        EXPECT_EQ(again->recovered().entries.back(), entry(10, 2));
    }
}

TEST_F(DamageTest, CorruptedSingleRecordFilesAreRefused)
{
    for (const std::string name : {"replica", "starts", "format", "last-segment", "snapshot-0000000000000002"}) {
        const uint64_t size = fs::file_size(folder.path() + "/" + name);
        for (uint64_t offset = 0; offset < size; ++offset) {
            const std::string corrupted = copy();
            flipByte(corrupted + "/" + name, offset);
            const auto opened = openDataFolder(corrupted);
            ASSERT_FALSE(opened.isOk()) << name << " " << offset;
            EXPECT_NE(opened.error().location.find(name), std::string::npos);
            fs::remove_all(corrupted);
        }
    }
}

TEST_F(DamageTest, MissingFilesAreRefused)
{
    for (const auto& item : fs::directory_iterator(folder.path())) {
        const std::string name = item.path().filename();
        // The lock is empty; last-segment only serves to detect that the last segment is missing.
        if (name == "lock" || name == "last-segment")
            continue;
        const std::string corrupted = copy();
        fs::remove(corrupted + "/" + name);
        EXPECT_FALSE(openDataFolder(corrupted).isOk()) << name;
        fs::remove_all(corrupted);
    }
}

} // namespace
} // namespace saltvane::net::tests
