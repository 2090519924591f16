/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

#include <memory>

namespace saltvane::steering {

/// Limits retries to a fraction of the recently answered requests, so that retries cannot amplify an overload.
class IRetryBudget {
public:
    virtual ~IRetryBudget() = default;
    virtual void recordAnswer(Timestamp now) = 0;
    /// Spends one retry; returns false if the balance is less than one.
    [[nodiscard]] virtual bool trySpend(Timestamp now) = 0;
};

struct RetryBudgetOptions {
    double retriesPerAnswer = 0.1;
    double maxBalance = 100; ///< Maximum number of retries saved up.
    double initialBalance = 10;
};

[[nodiscard]] std::unique_ptr<IRetryBudget> makeRetryBudget(const RetryBudgetOptions& options);

} // namespace saltvane::steering
