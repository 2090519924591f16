/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/limitmessages.h"

#include <string>

namespace saltvane::model {

LimitId limitIdOf(const ClientAccountName& account) { return LimitId("account/" + account.value()); }

LimitId limitIdOf(const TargetIncarnation& start)
{
    return LimitId("target/" + std::to_string(incarnationHash(start)));
}

} // namespace saltvane::model
