/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/hostmessages.h"

#include <vector>

/// Messages between gateways and registry hosts about other gateways.
namespace saltvane::model {

/// Sent by a gateway to a registry host to learn which gateways may carry requests for it.
struct PeerRequest { };

/// A gateway that serves callers.
struct PeerRecord {
    HostId host;
    ZoneName zone;
    RegionName region;
    Address frontAddress; ///< For callers' requests.
    auto operator<=>(const PeerRecord&) const = default;
};

/// The answer to a PeerRequest: a few gateways near the sender and one of each other region. Replaces earlier ones.
struct PeerReport {
    std::vector<PeerRecord> peers;
};

} // namespace saltvane::model
