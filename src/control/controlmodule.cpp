/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/ibundlereplica.h"
#include "control/icontrolreplica.h"
#include "control/internal/bundlereplica.h"
#include "control/internal/commandcodec.h"
#include "control/internal/controlreplica.h"

#include <sodium.h>

#include <algorithm>

namespace saltvane::control {

namespace {

bool isReadable(const RecoveredState& recovered)
{
    if (!recovered.snapshot.empty() && !ControlState {}.configurationIn(recovered.snapshot))
        return false;
    return std::ranges::all_of(
        recovered.entries, [](const model::LogEntry& entry) { return decodeCommand(entry.payload).isOk(); });
}

} // namespace

std::unique_ptr<IControlReplica> makeControlReplica(const ControlReplicaOptions& options)
{
    if (sodium_init() < 0 || !isReadable(options.recovered))
        return nullptr;
    return std::make_unique<ControlReplica>(options);
}

std::unique_ptr<IBundleReplica> makeBundleReplica(const BundleReplicaOptions& options)
{
    return std::make_unique<BundleReplica>(options);
}

} // namespace saltvane::control
