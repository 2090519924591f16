/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "model/routeplan.h"

#include <map>

namespace saltvane::gateway {

/// How many requests this gateway may send to a second target. The limit of the settings binds a service, over all
/// gateways: further sends within some seconds are at most a part of the requests for it and a fixed rest. So each
/// gateway earns its part by the requests that callers send it for the service, whatever becomes of them, and one
/// service's trouble can't spend what another one's requests earned.
class RetryAllowance {
public:
    struct Options {
        double ratio = 0; ///< Further sends by request, over all gateways.
        double slack = 0; ///< Further sends beyond that, over all gateways.
    };
    explicit RetryAllowance(Options options)
        : options_(options)
    {
    }

    /// A caller's request for the service came in.
    void noteRequest(const ServiceName& service, Timestamp now);
    [[nodiscard]] bool trySpend(const ServiceName& service);

private:
    struct Account {
        double balance = 1; ///< Sends that may be made now.
        double perSecond = 0; ///< Requests, lately.
        Timestamp notedAt;
    };

    Options options_;
    std::map<ServiceName, Account> accounts_;
};

} // namespace saltvane::gateway
