/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "settings/routedhostsettings.h"

#include <algorithm>
#include <cstdint>

namespace saltvane::gateway {

/// Requests that may be sent to a target at a limited rate, one at a time.
class SendPace {
public:
    [[nodiscard]] bool maySend(double perSecond, Timestamp now) const { return balanceAt(perSecond, now) >= 1; }
    void recordSent(double perSecond, Timestamp now)
    {
        balance_ = balanceAt(perSecond, now) - 1;
        updatedAt_ = now;
    }

private:
    [[nodiscard]] double balanceAt(double perSecond, Timestamp now) const
    {
        return std::min(1.0, balance_ + toSeconds(now - updatedAt_) * perSecond);
    }

    double balance_ = 1;
    Timestamp updatedAt_;
};

/// Divides the requests that a target bears in its slow start between the gateway that the registry names for it and
/// gateways without current information, which can't know whether the target is in one. However many gateways are cut
/// off, the target gets at most what it bears (docs/design/0022-unconfirmed-targets.md).
class SlowStartShare {
public:
    explicit SlowStartShare(const settings::SlowStartBound& bound)
        : bound_(bound)
    {
    }

    /// `number`: position of this gateway among all, from 1; 0: unknown.
    void setGateways(uint32_t number, uint32_t count);
    /// Requests that a target bears in any second of its slow start.
    [[nodiscard]] double bearableRequests(double slowStartPerSecond) const
    {
        return slowStartPerSecond * bound_.overage + bound_.slack;
    }
    /// Requests per second that the gateway named by the registry may send.
    [[nodiscard]] static double namedGatewayRate(double slowStartPerSecond)
    {
        return slowStartPerSecond * NamedGatewayFraction;
    }
    /// Requests per second that this gateway may send to a target while its information is not current; 0: none.
    [[nodiscard]] double unconfirmedRate(uint64_t targetHash, double slowStartPerSecond) const;

private:
    /// For a moment, two gateways may both consider a target theirs.
    static constexpr double NamedGatewayFraction = 0.8;
    /// Until the registry reports the number: as many as a deployment is designed for.
    static constexpr uint32_t DefaultGateways = 1000;

    settings::SlowStartBound bound_;
    uint32_t index_ = DefaultGateways - 1;
    uint32_t gateways_ = DefaultGateways;
};

} // namespace saltvane::gateway
