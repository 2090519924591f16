/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "rollout/internal/badanswertest.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <random>

namespace saltvane::rollout::test {

namespace {

/// Answers, one by one, until the test finds the version worse; no value if it did not within `answers`.
std::optional<size_t> answersUntilWorse(double badRate, double usualRate, size_t answers, std::mt19937_64& random)
{
    BadAnswerTest test;
    std::bernoulli_distribution isBad(badRate);
    for (size_t number = 1; number <= answers; ++number) {
        test.add(1, isBad(random) ? 1 : 0, usualRate);
        if (test.isWorse())
            return number;
    }
    return std::nullopt;
}

} // namespace

TEST(BadAnswerTest, BadVersionIsFoundWithinTheFirstAnswers)
{
    std::mt19937_64 random(1);
    for (const double badRate : {0.3, 0.5, 1.0}) {
        size_t slowest = 0;
        for (int run = 0; run < 200; ++run) {
            const auto found = answersUntilWorse(badRate, 0.01, 1000, random);
            ASSERT_TRUE(found) << badRate;
            slowest = std::max(slowest, *found);
        }
        EXPECT_LE(slowest, 150U) << badRate;
    }
}

TEST(BadAnswerTest, VersionThatTurnsBadLaterIsFoundAsFast)
{
    BadAnswerTest test;
    test.add(5000, 50, 0.01);
    EXPECT_TRUE(test.isAsGood());
    for (int answer = 0; answer < 20 && !test.isWorse(); ++answer)
        test.add(1, 1, 0.01);
    EXPECT_TRUE(test.isWorse());
    EXPECT_FALSE(test.isAsGood());
}

/// A version that is as good as usual may be taken for worse once in 1 / FalseAlarmRate answers.
TEST(BadAnswerTest, GoodVersionIsRarelyTakenForWorse)
{
    std::mt19937_64 random(2);
    constexpr size_t Answers = 1000;
    constexpr int Runs = 1000;
    for (const double rate : {0.0, 0.02, 0.1, 0.3}) {
        int alarms = 0;
        for (int run = 0; run < Runs; ++run)
            alarms += answersUntilWorse(rate, rate, Answers, random) ? 1 : 0;
        EXPECT_LE(alarms, Runs * static_cast<double>(Answers) * BadAnswerTest::FalseAlarmRate) << rate;
    }
}

TEST(BadAnswerTest, WorseVersionRarelyPassesAsGood)
{
    std::mt19937_64 random(3);
    std::bernoulli_distribution isBad(0.02 + BadAnswerTest::MinExcess);
    constexpr int Runs = 2000;
    int passed = 0;
    for (int run = 0; run < Runs; ++run) {
        BadAnswerTest test;
        while (!test.isWorse() && !test.isAsGood())
            test.add(1, isBad(random) ? 1 : 0, 0);
        passed += test.isAsGood() ? 1 : 0;
    }
    // Three standard deviations above the stated rate.
    EXPECT_LE(passed, Runs * BadAnswerTest::MissRate + 3 * std::sqrt(Runs * BadAnswerTest::MissRate));
}

TEST(BadAnswerTest, FewBadAnswersAreNotEnough)
{
    BadAnswerTest test;
    test.add(BadAnswerTest::MinBadAnswers - 1, BadAnswerTest::MinBadAnswers - 1, 0);
    EXPECT_FALSE(test.isWorse());
    EXPECT_FALSE(test.isAsGood());
}

} // namespace saltvane::rollout::test
