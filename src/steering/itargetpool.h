/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/counters.h"
#include "steering/steeringtypes.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace saltvane::steering {

/// The targets this host owns: counts slots in use, limits cold targets, ejects failing ones and selects the target of
/// each request. docs/design/0004-target-pool.md
class ITargetPool {
public:
    virtual ~ITargetPool() = default;

    /// Adds or updates a target. An older incarnation is ignored. A newer one starts cold and without requests of its
    /// own; slots used by requests on the older incarnation stay counted until they are released.
    virtual void upsert(const PoolTarget& target, Timestamp now) = 0;
    /// Stops new work for the target. Requests in flight on it are still released by release().
    virtual void remove(const TargetId& target, Timestamp now) = 0;

    struct Slot {
        TargetId target;
        Incarnation incarnation;
        model::Address address;
        bool isTrial = false; ///< The single request that tests an ejected target.
    };
    /// Takes a slot of the best usable target that is not in `excluded`; nullopt if no usable slot is free.
    [[nodiscard]] virtual std::optional<Slot> acquire(
        const ServiceName& service, std::span<const TargetId> excluded, Timestamp now)
        = 0;
    /// Releases the slot; must be called exactly once per acquired slot.
    virtual void release(const Slot& slot, DispatchResult result, Duration latency, Timestamp now) = 0;

    [[nodiscard]] virtual std::vector<PoolRoom> rooms() const = 0;
    [[nodiscard]] virtual PoolRoom room(const ServiceName& service) const = 0;
    [[nodiscard]] virtual std::vector<PoolTargetStatus> targets() const = 0;
    [[nodiscard]] virtual std::optional<PoolTargetStatus> find(const TargetId& target) const = 0;
    virtual void tick(Timestamp now) = 0;
};

struct TargetPoolOptions {
    uint32_t initialConcurrencyLimit = 1;
    uint32_t failuresToEject = 5; ///< Consecutive failures.
    Duration ejectionTime = 5s; ///< Doubled for each consecutive ejection, up to a minute.
    double maxEjectedFraction = 0.5; ///< Of a service's targets at this host.
    uint64_t seed = 1;
    model::Counters* counters = nullptr;
};

[[nodiscard]] std::unique_ptr<ITargetPool> makeTargetPool(const TargetPoolOptions& options);

} // namespace saltvane::steering
