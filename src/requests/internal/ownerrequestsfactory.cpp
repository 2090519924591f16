/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/ownerrequests.h"

namespace saltvane::requests {

std::unique_ptr<IOwnerRequests> makeOwnerRequests(const OwnerRequestsOptions& options)
{
    return std::make_unique<OwnerRequests>(options);
}

} // namespace saltvane::requests
