/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/displacedtargets.h"

namespace saltvane::membership {

void DisplacedTargets::record(const model::TargetIncarnation& instance, Timestamp now)
{
    if (now - lastExpiryAt_ > RetentionTime)
        eraseExpired(now);
    entries_.insert_or_assign(instance.target, Entry {.incarnation = instance.incarnation, .displacedAt = now});
}

void DisplacedTargets::eraseExpired(Timestamp now)
{
    lastExpiryAt_ = now;
    std::erase_if(entries_, [&](const auto& item) { return now - item.second.displacedAt > RetentionTime; });
}

bool DisplacedTargets::contains(const model::TargetIncarnation& instance, Timestamp now) const
{
    const auto found = entries_.find(instance.target);
    return found != entries_.end() && instance.incarnation <= found->second.incarnation
        && now - found->second.displacedAt <= RetentionTime;
}

} // namespace saltvane::membership
