/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/ihostcore.h"
#include "settings/routedhostsettings.h"

#include <memory>

/// A gateway: forwards callers' requests to targets of the service that the route plan selects for them.
/// docs/design/0010-platform.md
namespace saltvane::gateway {

/// Listening addresses, in the order of the host's HTTP servers.
enum class Listener : uint8_t { Front, Readiness };

struct GatewayOptions {
    settings::RoutedHostSettings settings;
    Incarnation incarnation;
    uint64_t seed = 1;
};

[[nodiscard]] std::unique_ptr<host::IHostCore> makeGateway(const GatewayOptions& options);

} // namespace saltvane::gateway
