/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/peerdeadline.h"

#include <algorithm>

namespace saltvane::requests {
namespace {

/// Time for two ticks of a host.
constexpr Duration TickAllowance = 20ms;
/// At most 1 / MaxReserveDivisor of the remaining time is reserved for the reply.
constexpr int MaxReserveDivisor = 4;

} // namespace

Duration peerDeadline(
    const model::Deployment& deployment, const ZoneName& self, const ZoneName& peer, Duration remaining)
{
    const auto from = deployment.findZone(self);
    const auto to = deployment.findZone(peer);
    const Duration oneWay = from && to ? deployment.delay(*from, *to) : deployment.bundle().delays.betweenRegions;
    return remaining - std::min<Duration>(2 * oneWay + TickAllowance, remaining / MaxReserveDivisor);
}

} // namespace saltvane::requests
