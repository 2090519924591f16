/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/displacedtargets.h"

namespace saltvane::membership {

void DisplacedTargets::note(const TargetId& target, Timestamp now)
{
    std::erase_if(since_, [&](const auto& item) { return now - item.second > Memory; });
    since_.insert_or_assign(target, now);
}

bool DisplacedTargets::contains(const TargetId& target, Timestamp now) const
{
    const auto found = since_.find(target);
    return found != since_.end() && now - found->second <= Memory;
}

} // namespace saltvane::membership
