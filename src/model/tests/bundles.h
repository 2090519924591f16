/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/bundle.h"

namespace saltvane::model {

/// A small valid bundle: two regions, three zones, one service that is open in two of the zones.
inline Bundle makeBundle()
{
    Bundle bundle;
    bundle.deployment = "test";
    bundle.version = {1};
    bundle.regions = {{.name = RegionName("north")}, {.name = RegionName("south")}};
    bundle.zones = {{.name = ZoneName("n1"), .region = RegionName("north")},
        {.name = ZoneName("s1"), .region = RegionName("south")},
        {.name = ZoneName("n2"), .region = RegionName("north")}};
    bundle.defaultClientRegion = RegionName("south");
    Service service;
    service.name = ServiceName("prices");
    service.zones = {{.zone = ZoneName("n1")}, {.zone = ZoneName("s1"), .open = 0.5}};
    service.repeatable = {{.method = "GET", .pathPrefix = "/nav"}};
    bundle.services = {service};
    return bundle;
}

} // namespace saltvane::model
