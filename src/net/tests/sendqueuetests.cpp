/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/sendqueue.h"

#include <gtest/gtest.h>

#include <random>

namespace saltvane::net::tests {

TEST(SendQueueTest, ReturnsBytesInOrderWithLittleMemoryOverhead)
{
    std::mt19937 random(11); // NOLINT(cert-msc32-c,cert-msc51-cpp): a fixed seed, for reproducible runs.
    SendQueue queue;
    std::string expected;
    std::string given;
    for (int round = 0; round < 2000; ++round) {
        const std::string bytes(random() % 3 == 0 ? random() % 40'000 : random() % 200, static_cast<char>(random()));
        queue.append(bytes);
        expected += bytes;
        for (size_t take = random() % 20'000; take > 0 && !queue.isEmpty();) {
            const std::string_view front = queue.front().substr(0, take);
            given += front;
            take -= front.size();
            queue.consume(front.size());
        }
        ASSERT_EQ(queue.bytes(), expected.size() - given.size());
        ASSERT_LE(queue.memory(), queue.bytes() + queue.bytes() / 4 + 80'000);
    }
    while (!queue.isEmpty()) {
        given += queue.front();
        queue.consume(queue.front().size());
    }
    EXPECT_TRUE(given == expected);
    EXPECT_EQ(queue.memory(), 0U);
}

TEST(SendQueueTest, EmptyPartsDoNotHideLaterOnes)
{
    SendQueue queue;
    queue.append("");
    queue.append(std::string(40'000, 'x'));
    EXPECT_EQ(queue.front().size(), 40'000U);
}

} // namespace saltvane::net::tests
