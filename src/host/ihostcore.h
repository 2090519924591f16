/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/icontrolreplica.h"
#include "host/hosttypes.h"
#include "model/latency.h"
#include "settings/hostsettings.h"
#include "steering/steeringtypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace saltvane::host {

/// How often a driver calls tick.
inline constexpr Duration TickPeriod = 10ms;

/// A whole host without I/O. A driver delivers events and ticks with its own time and carries out the actions.
/// No clock, socket, file, thread or unseeded random number inside. docs/ARCHITECTURE.md
class IHostCore {
public:
    virtual ~IHostCore() = default;
    virtual void handle(Event event, Timestamp now) = 0;
    virtual void tick(Timestamp now) = 0;
    [[nodiscard]] virtual std::vector<Action> takeActions() = 0;
    /// How often tick is to be called.
    [[nodiscard]] virtual Duration tickPeriod() const { return TickPeriod; }
    [[nodiscard]] virtual HostStatus status(Timestamp now) const = 0;
    [[nodiscard]] virtual const model::Counters& counters() const = 0;
    /// Histograms by kind of request and stage; none where a host keeps none.
    [[nodiscard]] virtual std::span<const model::StageLatency> latencies() const { return {}; }
};

struct HostCoreOptions {
    settings::HostSettings settings;
    Incarnation incarnation; ///< Greater than that of any earlier start of this host.
    std::optional<control::RecoveredState> recovered; ///< With the control role.
    uint64_t seed = 1;
    std::function<int64_t()> wallClockUnixMs; ///< For the control role.
};

[[nodiscard]] std::unique_ptr<IHostCore> makeHostCore(HostCoreOptions options);

} // namespace saltvane::host
