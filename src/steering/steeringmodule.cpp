/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "steering/internal/steering.h"
#include "steering/internal/targetpool.h"
#include "steering/internal/tokenretrybudget.h"
#include "steering/internal/waitqueue.h"

namespace saltvane::steering {

std::unique_ptr<ISteering> makeSteering(const SteeringOptions& options) { return std::make_unique<Steering>(options); }

std::unique_ptr<ITargetPool> makeTargetPool(const TargetPoolOptions& options)
{
    return std::make_unique<TargetPool>(options);
}

std::unique_ptr<IWaitQueue> makeWaitQueue(QueueOrder order, size_t capacity)
{
    return std::make_unique<WaitQueue>(order, capacity);
}

std::unique_ptr<IRetryBudget> makeRetryBudget(const RetryBudgetOptions& options)
{
    return std::make_unique<TokenRetryBudget>(options);
}

} // namespace saltvane::steering
