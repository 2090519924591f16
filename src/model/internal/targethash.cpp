/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/targetmessages.h"

#include <xxhash.h>

namespace saltvane::model {

uint64_t targetHash(const TargetId& target) { return XXH64(target.value().data(), target.value().size(), 0); }

uint64_t incarnationHash(const TargetIncarnation& start)
{
    return XXH64(start.target.value().data(), start.target.value().size(), start.incarnation.value);
}

} // namespace saltvane::model
