/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/suspectoutbox.h"

#include <algorithm>

namespace saltvane::membership {

void SuspectOutbox::add(const model::RequestDigest& digest, const SuspectTable& table)
{
    const bool isBlamed = table.isBlamed(digest);
    const bool isNew = queued_.insert(digest).second;
    if (!isNew && !isBlamed)
        return;
    if (!isNew)
        std::erase(queue_, digest);
    if (isBlamed)
        queue_.push_front(digest);
    else
        queue_.push_back(digest);
}

std::vector<model::SuspectRequest> SuspectOutbox::drain(const SuspectTable& table, Timestamp now)
{
    availableTokens_ = std::min(options_.burst, availableTokens_ + toSeconds(now - refilledAt_) * options_.perSecond);
    refilledAt_ = now;
    std::vector<model::SuspectRequest> updates;
    for (; !queue_.empty() && availableTokens_ >= 1; queue_.pop_front()) {
        queued_.erase(queue_.front());
        std::optional<model::SuspectRequest> update = table.updateFor(queue_.front(), now);
        if (!update)
            continue; // Removed from the table in the meantime.
        availableTokens_ -= 1;
        updates.push_back(*std::move(update));
    }
    return updates;
}

} // namespace saltvane::membership
