/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/tokenretrybudget.h"

#include <algorithm>
#include <cmath>

namespace saltvane::steering {

namespace {

constexpr int64_t UnitsPerRetry = 1'000'000;

int64_t toUnits(double retries) { return std::llround(retries * static_cast<double>(UnitsPerRetry)); }

} // namespace

TokenRetryBudget::TokenRetryBudget(const RetryBudgetOptions& options)
    : unitsPerAnswer_(toUnits(options.retriesPerAnswer))
    , maxBalance_(toUnits(options.maxBalance))
    , balance_(std::min(toUnits(options.initialBalance), maxBalance_))
{
}

void TokenRetryBudget::recordAnswer(Timestamp /*now*/) { balance_ = std::min(maxBalance_, balance_ + unitsPerAnswer_); }

bool TokenRetryBudget::trySpend(Timestamp /*now*/)
{
    if (balance_ < UnitsPerRetry)
        return false;
    balance_ -= UnitsPerRetry;
    return true;
}

} // namespace saltvane::steering
