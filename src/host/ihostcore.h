/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/icontrolreplica.h"
#include "host/hosttypes.h"
#include "model/latency.h"
#include "model/reasons.h"
#include "settings/hostsettings.h"
#include "steering/steeringtypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace saltvane::host {

/// Interval at which a driver calls tick.
inline constexpr Duration TickInterval = 10ms;

/// The complete logic of a host, without I/O. A driver delivers events and ticks with the current time and carries out
/// the returned actions. Uses no clock, socket, file, thread or unseeded random number (docs/ARCHITECTURE.md).
class IHostCore {
public:
    virtual ~IHostCore() = default;
    virtual void handle(Event event, Timestamp now) = 0;
    virtual void tick(Timestamp now) = 0;
    /// The driver calls this right before the first byte of a request is sent to its target, which may be long after
    /// its TargetStart. Returns why the request must not be sent any more, or None. A request that is withheld fails
    /// with that reason (TargetFailed).
    [[nodiscard]] virtual model::Reason recheckDispatch(requests::DispatchId /*dispatch*/, Timestamp /*now*/)
    {
        return model::Reason::None;
    }
    [[nodiscard]] virtual std::vector<Action> drainActions() = 0;
    /// Interval at which the driver must call tick.
    [[nodiscard]] virtual Duration tickInterval() const { return TickInterval; }
    [[nodiscard]] virtual HostStatus status(Timestamp now) const = 0;
    [[nodiscard]] virtual const model::Counters& counters() const = 0;
    /// Latency histograms by kind of request and stage; empty for a host that records none.
    [[nodiscard]] virtual std::span<const model::StageLatency> latencies() const { return {}; }
};

struct HostCoreOptions {
    settings::HostSettings settings;
    Incarnation incarnation; ///< Greater than that of every earlier start of this host.
    std::optional<control::RecoveredState> recovered; ///< Set on control hosts only.
    uint64_t seed = 1;
    std::function<int64_t()> wallClockUnixMs; ///< Set on control hosts only.
};

[[nodiscard]] std::unique_ptr<IHostCore> makeHostCore(HostCoreOptions options);

} // namespace saltvane::host
