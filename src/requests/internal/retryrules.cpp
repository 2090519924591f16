/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/retryrules.h"

namespace saltvane::requests {

bool isRetryAllowed(model::Outcome outcome, model::Reason reason, bool isRepeatable)
{
    using model::Reason;
    if (outcome == model::Outcome::Unknown)
        return isRepeatable
            && (reason == Reason::TargetFailed || reason == Reason::TargetStalled || reason == Reason::PeerLost);
    if (outcome != model::Outcome::NotRun)
        return false;
    switch (reason) {
    case Reason::NoRoom:
    case Reason::QueueFull:
    case Reason::TargetShed:
    case Reason::ConnectFailed:
    case Reason::NoTarget:
    case Reason::StaleState:
    case Reason::Stopping:
        return true;
    default:
        return false;
    }
}

} // namespace saltvane::requests
