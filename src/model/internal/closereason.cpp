/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/closereason.h"

#include <array>
#include <cstddef>

namespace saltvane::model {

std::string_view toString(CloseReason reason)
{
    static constexpr std::array<std::string_view, static_cast<size_t>(CloseReason::Count)> Names {
        "idle", "head-timeout", "body-timeout", "stalled-reader", "room", "aborted", "stopping"};
    return Names.at(static_cast<size_t>(reason));
}

} // namespace saltvane::model
