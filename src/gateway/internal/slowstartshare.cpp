/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/slowstartshare.h"

namespace saltvane::gateway {

namespace {

/// Requests in a second that are worth a gateway's part in a target. Each part includes a burst of one request, so more
/// gateways per target could send less in total.
constexpr double MinRequestsPerGateway = 3;
/// Requests of each gateway that may be sent at once.
constexpr double Burst = 1;

} // namespace

void SlowStartShare::setGateways(uint32_t number, uint32_t count)
{
    if (number == 0 || number > count)
        return;
    index_ = number - 1;
    gateways_ = count;
}

double SlowStartShare::unconfirmedRate(uint64_t targetHash, double slowStartPerSecond) const
{
    const double requests = bearableRequests(slowStartPerSecond) - namedGatewayRate(slowStartPerSecond) - Burst;
    const double wanted = std::clamp(requests / MinRequestsPerGateway, 1.0, static_cast<double>(gateways_));
    const auto members = static_cast<uint32_t>(wanted);
    if ((index_ + targetHash) % gateways_ >= members)
        return 0;
    return std::max(requests / members - Burst, 0.0);
}

} // namespace saltvane::gateway
