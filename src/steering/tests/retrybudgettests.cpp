/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/iretrybudget.h"

#include <gtest/gtest.h>

namespace saltvane::steering {
namespace {

constexpr Timestamp Now {1s};

int spendAll(IRetryBudget& budget)
{
    int spent = 0;
    while (budget.trySpend(Now))
        ++spent;
    return spent;
}

TEST(RetryBudgetTest, StartsWithItsInitialBalance)
{
    const auto budget = makeRetryBudget({.initialBalance = 3});
    EXPECT_EQ(spendAll(*budget), 3);
}

TEST(RetryBudgetTest, RetriesStayAFractionOfAnswers)
{
    const auto budget = makeRetryBudget({.retriesPerAnswer = 0.1, .initialBalance = 0});
    for (int answer = 0; answer < 9; ++answer)
        budget->recordAnswer(Now);
    EXPECT_EQ(spendAll(*budget), 0);
    budget->recordAnswer(Now);
    EXPECT_EQ(spendAll(*budget), 1);
}

TEST(RetryBudgetTest, SavesUpToTheMaximumBalance)
{
    const auto budget = makeRetryBudget({.retriesPerAnswer = 0.5, .maxBalance = 5, .initialBalance = 0});
    for (int answer = 0; answer < 1000; ++answer)
        budget->recordAnswer(Now);
    EXPECT_EQ(spendAll(*budget), 5);
}

TEST(RetryBudgetTest, InitialBalanceIsLimitedToTheMaximum)
{
    const auto budget = makeRetryBudget({.maxBalance = 2, .initialBalance = 10});
    EXPECT_EQ(spendAll(*budget), 2);
}

} // namespace
} // namespace saltvane::steering
