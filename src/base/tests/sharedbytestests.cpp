/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/sharedbytes.h"

#include <gtest/gtest.h>

namespace saltvane {

// Guards against copies of a body that use memory of their own.
TEST(SharedBytesTest, CopiesShareBlocksUntilTheLastOneEnds)
{
    const BlockMemoryRef memory(new BlockMemory);
    SharedBytes first;
    first.addBlock(4, memory);
    first.addBlock(100, memory);
    first.append("abcdef");
    EXPECT_EQ(memory->bytes, 104U);
    EXPECT_EQ(first.spare(), 98U);
    SharedBytes second = first;
    EXPECT_EQ(memory->bytes, 104U);
    EXPECT_EQ(second.block(1).data(), first.block(1).data());
    first = {};
    EXPECT_EQ(second.text(), "abcdef");
    second.releaseBlock(0);
    EXPECT_EQ(memory->bytes, 100U);
    second = {};
    EXPECT_EQ(memory->bytes, 0U);
}

// Guards against bytes that are lost or reordered where blocks end.
TEST(SharedBytesTest, BytesFillBlocksInOrder)
{
    SharedBytes bytes;
    for (const size_t capacity : {3U, 1U, 5U})
        bytes.addBlock(capacity, nullptr);
    for (const char* part : {"ab", "cd", "", "efgh", "i"})
        bytes.append(part);
    EXPECT_EQ(bytes.size(), 9U);
    EXPECT_EQ(bytes.spare(), 0U);
    EXPECT_EQ(bytes.block(0), "abc");
    EXPECT_EQ(bytes.block(1), "d");
    EXPECT_EQ(bytes, "abcdefghi");
}

TEST(SharedBytesTest, TextIsCopiedIntoOneBlock)
{
    EXPECT_TRUE(SharedBytes("").empty());
    const SharedBytes bytes(std::string("pay"));
    EXPECT_EQ(bytes.blockCount(), 1U);
    EXPECT_EQ(bytes, "pay");
}

} // namespace saltvane
