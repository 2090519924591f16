/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "steering/iretrybudget.h"

namespace saltvane::requests {

/// A budget with a fixed number of retries.
class FakeRetryBudget final : public steering::IRetryBudget {
public:
    void recordAnswer(Timestamp) override { ++answered; }
    [[nodiscard]] bool trySpend(Timestamp) override
    {
        if (remaining == 0)
            return false;
        --remaining;
        return true;
    }

    int remaining = 1000;
    int answered = 0;
};

} // namespace saltvane::requests
