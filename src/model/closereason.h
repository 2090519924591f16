/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <string_view>

namespace saltvane::model {

/// Why a host closed a caller's connection that was not to end with a response.
enum class CloseReason {
    Idle, ///< No request within the time limit of idle connections.
    HeadTimeout, ///< No whole request head within its time limit.
    BodyTimeout, ///< The request's body arrived too slowly.
    StalledReader, ///< The caller acknowledged nothing of the response for too long.
    Room, ///< Closed for a new connection at the limit of connections.
    Aborted, ///< The response could not be completed.
    Stopping, ///< The process ends.
    Count
};

[[nodiscard]] std::string_view toString(CloseReason reason); ///< As in logs and metrics, for example "head-timeout".

} // namespace saltvane::model
