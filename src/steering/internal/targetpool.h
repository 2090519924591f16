/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "steering/internal/ownedtarget.h"
#include "steering/itargetpool.h"

#include <map>
#include <random>

namespace saltvane::steering {

/// The targets this host owns, by service. Selects the target with the least load, as measured by this host's own
/// requests in flight and their latency.
class TargetPool : public ITargetPool {
public:
    explicit TargetPool(const TargetPoolOptions& options);

    void upsert(const PoolTarget& target, Timestamp now) override;
    void remove(const TargetId& target, Timestamp now) override;
    [[nodiscard]] std::optional<Slot> acquire(
        const ServiceName& service, std::span<const TargetId> excluded, Timestamp now) override;
    void release(const Slot& slot, DispatchResult result, Duration latency, Timestamp now) override;
    [[nodiscard]] std::vector<PoolRoom> rooms() const override;
    [[nodiscard]] PoolRoom room(const ServiceName& service) const override;
    [[nodiscard]] std::vector<PoolTargetStatus> targets() const override;
    [[nodiscard]] std::optional<PoolTargetStatus> find(const TargetId& target) const override;
    void tick(Timestamp now) override;

private:
    /// Targets of one service, by id.
    using Members = std::vector<OwnedTarget*>;

    void addMember(OwnedTarget& target);
    void removeMember(OwnedTarget& target);
    void eraseIfDrained(const TargetId& target);
    [[nodiscard]] OwnedTarget* findBest(const Members& members, std::span<const TargetId> excluded, Timestamp now);
    [[nodiscard]] std::optional<Duration> averageWarmLatency(const Members& members) const;
    void ejectIfAllowed(OwnedTarget& target, Timestamp now);
    void incrementCounter(model::Counter counter);

    TargetPoolOptions options_;
    std::map<TargetId, OwnedTarget> targets_;
    std::map<ServiceName, Members> services_;
    std::mt19937_64 random_;
    Timestamp now_; ///< Time of the last call, for the functions without a time parameter.
};

} // namespace saltvane::steering
