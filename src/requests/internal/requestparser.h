/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/deployment.h"
#include "requests/exchangetypes.h"

#include <string>

namespace saltvane::requests {

/// Properties of a caller's request, as read from its headers.
struct ParsedRequest {
    ServiceName service;
    RegionName clientRegion;
    Duration deadline {}; ///< Time after the arrival of the request.
    bool isRepeatable = false;
    std::string idempotencyKey;
    /// None if the request is valid; otherwise the reason for refusing it.
    model::Reason refusal = model::Reason::None;
    std::string field; ///< Name of the invalid header.
};

/// Reads the headers of a request. The result contains all values read before the first error.
[[nodiscard]] ParsedRequest parseRequest(const model::Deployment& deployment, const HttpRequestStarted& request);

/// Reads only the Idempotency-Key and the service name, for requests that arrive before a deployment is installed.
[[nodiscard]] ParsedRequest parseWithoutDeployment(const HttpRequestStarted& request);

} // namespace saltvane::requests
