/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "steering/itargetpool.h"

#include <map>
#include <string>
#include <vector>

namespace saltvane::requests {

/// A pool with a fixed number of slots for each target. Chooses the first target by name that has a free slot; records
/// incorrect releases.
class FakeTargetPool : public steering::ITargetPool {
public:
    struct Release {
        TargetId target;
        steering::DispatchResult result;
        Duration latency {};
    };

    void add(const std::string& target, uint32_t slots) { targets_[TargetId(target)].slots = slots; }
    void setSlots(const TargetId& target, uint32_t slots) { targets_[target].slots = slots; }
    [[nodiscard]] uint32_t inFlight(const std::string& target) { return targets_[TargetId(target)].inFlight; }
    [[nodiscard]] uint32_t inFlight() const;
    [[nodiscard]] const std::vector<Release>& releases() const { return releases_; }
    [[nodiscard]] const std::vector<std::string>& misuses() const { return misuses_; }

    void upsert(const steering::PoolTarget& /*target*/, Timestamp /*now*/) override { }
    void remove(const TargetId& /*target*/, Timestamp /*now*/) override { }
    [[nodiscard]] std::optional<Slot> acquire(
        const ServiceName& service, std::span<const TargetId> excluded, Timestamp now) override;
    void release(const Slot& slot, steering::DispatchResult result, Duration latency, Timestamp now) override;
    [[nodiscard]] std::vector<steering::PoolRoom> rooms() const override { return {}; }
    [[nodiscard]] steering::PoolRoom room(const ServiceName& service) const override;
    [[nodiscard]] std::vector<steering::PoolTargetStatus> targets() const override { return {}; }
    [[nodiscard]] std::optional<steering::PoolTargetStatus> find(const TargetId& target) const override;
    void tick(Timestamp /*now*/) override { }

private:
    struct Target {
        uint32_t slots = 0;
        uint32_t inFlight = 0;
    };
    std::map<TargetId, Target> targets_;
    std::vector<Release> releases_;
    std::vector<std::string> misuses_;
};

} // namespace saltvane::requests
