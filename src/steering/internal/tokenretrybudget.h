/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "steering/iretrybudget.h"

#include <cstdint>

namespace saltvane::steering {

/// Token bucket that each answered request refills by a fraction of a retry. Counts in millionths of a retry, so that
/// sums are exact.
class TokenRetryBudget : public IRetryBudget {
public:
    explicit TokenRetryBudget(const RetryBudgetOptions& options);

    void recordAnswer(Timestamp now) override;
    [[nodiscard]] bool trySpend(Timestamp now) override;

private:
    int64_t unitsPerAnswer_;
    int64_t maxBalance_;
    int64_t balance_;
};

} // namespace saltvane::steering
