/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/displacedtargets.h"

namespace saltvane::membership {

void DisplacedTargets::note(const model::TargetIncarnation& start, Timestamp now)
{
    if (now - forgottenAt_ > Memory)
        forget(now);
    entries_.insert_or_assign(start.target, Entry {.incarnation = start.incarnation, .since = now});
}

void DisplacedTargets::forget(Timestamp now)
{
    forgottenAt_ = now;
    std::erase_if(entries_, [&](const auto& item) { return now - item.second.since > Memory; });
}

bool DisplacedTargets::contains(const model::TargetIncarnation& start, Timestamp now) const
{
    const auto found = entries_.find(start.target);
    return found != entries_.end() && start.incarnation <= found->second.incarnation
        && now - found->second.since <= Memory;
}

} // namespace saltvane::membership
