/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/ientryrequests.h"

#include <map>

namespace saltvane::requests {

/// Reports the hosts in `alive` as alive.
class FakeHostLiveness final : public IHostLiveness {
public:
    [[nodiscard]] bool isAlive(const HostId& host, Incarnation incarnation) const override
    {
        const auto found = alive.find(host);
        return found != alive.end() && found->second == incarnation;
    }

    std::map<HostId, Incarnation> alive;
};

} // namespace saltvane::requests
