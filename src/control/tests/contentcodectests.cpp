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

constexpr size_t MaxBytes = 4 * 1024 * 1024;

/// Lines that differ only in random names, like the routes of a plan.
std::string planLikeText(size_t count)
{
    std::mt19937 random(1); // NOLINT(cert-msc32-c,cert-msc51-cpp): deterministic.
    std::string text;
    for (size_t i = 0; i < count; ++i)
        text
            += R"({"name":"r-)" + std::to_string(random()) + R"(","kind":"repeatable","timeout_ms":6000,"attempts":2})";
    return text;
}

} // namespace

TEST(ContentCodecTest, RoundTripWithAndWithoutABase)
{
    const std::string base = planLikeText(1000);
    const std::string content = planLikeText(2000) + "end";
    for (const std::string& dictionary : {std::string(), base, std::string("x")}) {
        const std::string compressed = compressContent(content, dictionary);
        EXPECT_LT(compressed.size(), content.size() / 4);
        EXPECT_EQ(decompressContent(compressed, dictionary, MaxBytes), content);
    }
    EXPECT_EQ(decompressContent(compressContent("", ""), "", MaxBytes), "");
}

TEST(ContentCodecTest, SmallChangeOfALargeTextCompressesToFewBytes)
{
    const std::string base = planLikeText(10'000);
    std::string content = base;
    content[content.size() / 2] = '#';
    EXPECT_LT(compressContent(content, base).size(), 1000);
}

TEST(ContentCodecTest, WrongBaseIsDetected)
{
    const std::string base = planLikeText(1000);
    std::string other = base;
    other[other.size() / 2] = '#';
    const std::string compressed = compressContent(planLikeText(1100), base);
    EXPECT_FALSE(decompressContent(compressed, other, MaxBytes));
    EXPECT_FALSE(decompressContent(compressed, "", MaxBytes));
}

TEST(ContentCodecTest, CorruptedAndOversizedBytesAreRejected)
{
    const std::string content = planLikeText(1000);
    const std::string compressed = compressContent(content, "");
    EXPECT_FALSE(decompressContent(compressed, "", content.size() - 1));
    EXPECT_FALSE(decompressContent("", "", MaxBytes));
    EXPECT_FALSE(decompressContent("no such format", "", MaxBytes));
    EXPECT_FALSE(decompressContent(compressed.substr(0, compressed.size() / 2), "", MaxBytes));
    std::mt19937 random(2); // NOLINT(cert-msc32-c,cert-msc51-cpp): deterministic.
    for (int i = 0; i < 500; ++i) {
        std::string corrupted = compressed;
        corrupted[random() % corrupted.size()] ^= static_cast<char>(1 + random() % 255);
        const auto decoded = decompressContent(corrupted, "", MaxBytes);
        EXPECT_TRUE(!decoded || *decoded == content);
    }
}

} // namespace saltvane::control::test
