/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/internal/apitypes.h"
#include "host/internal/hostmodules.h"
#include "host/internal/targetsync.h"

namespace saltvane::host {

/// POST /v1/announce: registers a target or renews its lease (docs/TARGETS.md).
class AnnounceApi {
public:
    /// Both must outlive the object.
    AnnounceApi(HostModules& modules, TargetSync& targets);
    [[nodiscard]] ApiResponse answer(const ApiRequest& request, Timestamp now);

private:
    [[nodiscard]] std::optional<ApiResponse> checkKey(const ApiRequest& request, const ServiceName& service) const;
    [[nodiscard]] std::optional<ApiResponse> checkNames(const membership::Announcement& announcement) const;
    [[nodiscard]] ApiResponse refuse(ApiResponse response);

    HostModules& modules_;
    TargetSync& targets_;
};

} // namespace saltvane::host
