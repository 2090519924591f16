/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/internal/ownerdownload.h"
#include "requests/internal/ownerduplicatefilter.h"
#include "requests/internal/ownerupload.h"
#include "steering/itargetpool.h"

#include <optional>
#include <vector>

namespace saltvane::requests {

using OwnerExchangeId = uint64_t;

/// One dispatch of the request to a target.
struct OwnerAttempt {
    DispatchId dispatch;
    steering::ITargetPool::Slot slot;
    Timestamp started;
    Timestamp lastEvent; ///< Time of the target's last event.
};

/// State of one forwarded request at its owner. It is queued while it has neither an attempt nor a response.
struct OwnerExchange {
    OwnerExchangeId id = 0;
    ExchangeKey key;
    model::ForwardRequest request;
    Timestamp started;
    Timestamp deadline;
    OwnerUpload upload;
    std::vector<TargetId> excluded; ///< Targets excluded by the entry host and targets already used here.
    uint32_t attempts = 0;
    uint32_t tries = 0; ///< Attempts that may have sent a byte to the target.
    bool mayHaveRun = false; ///< An attempt may have run the request, so its outcome can no longer be "not run".
    TargetId target; ///< Target of the last attempt.
    std::optional<OwnerAttempt> attempt; ///< No value once the response of the target is complete.
    std::optional<OwnerDownload> download; ///< Set when the head of the response arrives.
    int status = 0;
};

} // namespace saltvane::requests
