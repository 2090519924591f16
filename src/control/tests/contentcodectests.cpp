/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/contentcodec.h"

#include <gtest/gtest.h>

#include <random>

namespace saltvane::control::test {

namespace {

constexpr size_t Largest = 4 * 1024 * 1024;

/// Lines alike but for random names, as the routes of a plan are.
std::string linesOf(size_t count)
{
    std::mt19937 random(1); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same each time.
    std::string text;
    for (size_t i = 0; i < count; ++i)
        text
            += R"({"name":"r-)" + std::to_string(random()) + R"(","kind":"repeatable","timeout_ms":6000,"attempts":2})";
    return text;
}

} // namespace

TEST(ContentCodecTest, WhatWasCompressedComesBackWithAndWithoutABase)
{
    const std::string base = linesOf(1000);
    const std::string content = linesOf(2000) + "end";
    for (const std::string& against : {std::string(), base, std::string("x")}) {
        const std::string compressed = compressContent(content, against);
        EXPECT_LT(compressed.size(), content.size() / 4);
        EXPECT_EQ(decompressContent(compressed, against, Largest), content);
    }
    EXPECT_EQ(decompressContent(compressContent("", ""), "", Largest), "");
}

TEST(ContentCodecTest, ASmallChangeOfALargeTextIsSmall)
{
    const std::string base = linesOf(10'000);
    std::string content = base;
    content[content.size() / 2] = '#';
    EXPECT_LT(compressContent(content, base).size(), 1000);
}

TEST(ContentCodecTest, AnotherBaseIsFoundOut)
{
    const std::string base = linesOf(1000);
    std::string other = base;
    other[other.size() / 2] = '#';
    const std::string compressed = compressContent(linesOf(1100), base);
    EXPECT_FALSE(decompressContent(compressed, other, Largest));
    EXPECT_FALSE(decompressContent(compressed, "", Largest));
}

TEST(ContentCodecTest, DamagedAndOversizedBytesAreRefused)
{
    const std::string content = linesOf(1000);
    const std::string compressed = compressContent(content, "");
    EXPECT_FALSE(decompressContent(compressed, "", content.size() - 1));
    EXPECT_FALSE(decompressContent("", "", Largest));
    EXPECT_FALSE(decompressContent("no such format", "", Largest));
    EXPECT_FALSE(decompressContent(compressed.substr(0, compressed.size() / 2), "", Largest));
    std::mt19937 random(2); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same each time.
    for (int i = 0; i < 500; ++i) {
        std::string damaged = compressed;
        damaged[random() % damaged.size()] ^= static_cast<char>(1 + random() % 255);
        const auto decoded = decompressContent(damaged, "", Largest);
        EXPECT_TRUE(!decoded || *decoded == content);
    }
}

} // namespace saltvane::control::test
