/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/entryrequests.h"
#include "requests/internal/tokenissuer.h"

namespace saltvane::requests {

std::unique_ptr<IEntryRequests> makeEntryRequests(const EntryRequestsOptions& options)
{
    return std::make_unique<EntryRequests>(options);
}

std::unique_ptr<ITokenIssuer> makeTokenIssuer(const TokenIssuerOptions& options)
{
    return std::make_unique<TokenIssuer>(options);
}

} // namespace saltvane::requests
