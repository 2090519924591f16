/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/icontrolreplica.h"
#include "host/ihostcore.h"
#include "settings/routedhostsettings.h"

#include <memory>

/// A registry host: stores the route plan in the replicated log, receives the targets' reports, sends both to the
/// gateways, and answers callers' look-ups. docs/design/0010-platform.md
namespace saltvane::registry {

/// Listening addresses, in the order of the host's servers.
enum class Listener : uint8_t { Control, Directory };

struct RegistryOptions {
    settings::RoutedHostSettings settings;
    Incarnation incarnation;
    control::RecoveredState recovered;
    host::SoftState softState; ///< As this host last wrote it.
    uint64_t seed = 1;
};

/// Null when the recovered state has an unsupported version.
[[nodiscard]] std::unique_ptr<host::IHostCore> makeRegistry(const RegistryOptions& options);

} // namespace saltvane::registry
