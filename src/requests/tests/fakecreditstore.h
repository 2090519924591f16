/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/icredits.h"

#include <algorithm>
#include <map>
#include <vector>

namespace saltvane::requests {

/// Stores a fixed number of credits for each owner and counts the credits used and returned.
class FakeCreditStore final : public membership::ICreditStore {
public:
    struct OwnerCredit {
        ZoneName zone;
        int free = 0;
        int inUse = 0; ///< Used and not returned.
    };

    void setOwners(std::span<const Owner>, Timestamp) override { }
    void handle(const HostId&, const model::CreditGrant&, Timestamp) override { }
    void onOwnerLost(const HostId&, Timestamp) override { }
    [[nodiscard]] bool hasCredit(const ServiceName&, const ZoneName& zone, Timestamp) const override
    {
        return std::any_of(owners.begin(), owners.end(),
            [&zone](const auto& entry) { return entry.second.zone == zone && entry.second.free > 0; });
    }
    [[nodiscard]] std::optional<HostId> useCredit(
        const ServiceName&, const ZoneName& zone, std::span<const HostId> excluded, Timestamp) override
    {
        for (auto& [host, credit] : owners) {
            const bool isExcluded = std::find(excluded.begin(), excluded.end(), host) != excluded.end();
            if (credit.zone != zone || credit.free == 0 || isExcluded)
                continue;
            --credit.free;
            ++credit.inUse;
            return host;
        }
        return std::nullopt;
    }
    void returnCredit(const HostId& owner, const ServiceName&, Timestamp) override
    {
        OwnerCredit& credit = owners[owner];
        ++credit.free;
        --credit.inUse;
        hasExcessReturn = hasExcessReturn || credit.inUse < 0;
    }
    void recordUnmetDemand(const ServiceName&, const ZoneName&, Timestamp) override { ++requested; }
    void tick(Timestamp) override { }
    [[nodiscard]] std::vector<model::OutgoingMessage> drainOutgoing() override { return {}; }

    [[nodiscard]] int inUse() const
    {
        int sum = 0;
        for (const auto& [host, credit] : owners)
            sum += credit.inUse;
        return sum;
    }

    std::map<HostId, OwnerCredit> owners;
    int requested = 0;
    bool hasExcessReturn = false;
};

} // namespace saltvane::requests
