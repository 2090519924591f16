/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "model/routeplan.h"

#include <algorithm>
#include <cstddef>
#include <map>

namespace saltvane::gateway {

/// Limits the retries of this gateway. The limit in the settings applies to a service over all gateways: within some
/// seconds, retries are at most a fraction of the service's requests plus a fixed slack. Each gateway earns its part
/// through the requests that callers send it for the service, whatever their outcome; one service's failures can't use
/// up retries earned by another one.
class RetryAllowance {
public:
    struct Options {
        double ratio = 0; ///< Retries per request, over all gateways.
        double slack = 0; ///< Retries beyond that, over all gateways.
    };
    explicit RetryAllowance(Options options)
        : options_(options)
    {
    }

    /// Gateways among which the slack is divided.
    void setGateways(size_t gateways) { gateways_ = std::max<size_t>(gateways, 1); }
    /// A caller's request for the service arrived.
    void recordRequest(const ServiceName& service, Timestamp now);
    [[nodiscard]] bool trySpend(const ServiceName& service);

private:
    struct ServiceState {
        double balance = 1; ///< Retries that may be sent now.
        double perSecond = 0; ///< Recent request rate.
        Timestamp updatedAt;
    };

    Options options_;
    size_t gateways_ = 1000; ///< Until the registry reports the number: as many as a deployment is designed for.
    std::map<ServiceName, ServiceState> services_;
};

} // namespace saltvane::gateway
