/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/internal/apitypes.h"
#include "host/internal/hostmodules.h"

#include <string>
#include <vector>

namespace saltvane::host {

/// GET /v1/entry: which entry hosts a caller should use for a service (docs/REQUESTS.md).
class LookUpApi {
public:
    /// `modules` must outlive the object.
    explicit LookUpApi(HostModules& modules);
    [[nodiscard]] ApiResponse answer(const ApiRequest& request, Timestamp now);

private:
    struct Query {
        std::string service;
        std::string client;
    };
    /// Zones that are equally good entries for a client region.
    using Tier = std::vector<ZoneIndex>;

    [[nodiscard]] std::optional<ApiResponse> readQuery(const ApiRequest& request, Query& query) const;
    [[nodiscard]] ApiResponse refuse(ApiResponse response);
    [[nodiscard]] ApiResponse answerKnown(ServiceIndex service, RegionIndex clientRegion, Timestamp now);
    [[nodiscard]] std::vector<Tier> tiers(ServiceIndex service, RegionIndex clientRegion) const;
    [[nodiscard]] nlohmann::ordered_json entryHosts(ServiceIndex service, RegionIndex clientRegion);

    HostModules& modules_;
    uint64_t rotation_ = 0;
};

} // namespace saltvane::host
