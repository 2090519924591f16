/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/timetypes.h"
#include "model/reasons.h"

#include <memory>
#include <string>
#include <string_view>

namespace saltvane::requests {

/// Content of a token.
struct TokenClaims {
    HostId issuer;
    Incarnation incarnation;
    uint64_t sequence = 0;
    ServiceName service;
    Timestamp expiry; ///< On the clock of the issuer.
};

/// Why an idempotency key isn't a valid token of this deployment.
enum class TokenError {
    NotAToken, ///< The caller made the key itself.
    BadMac,
    Expired,
    OtherService
};

/// Issues idempotency tokens without storing state. All hosts of the deployment share the MAC key, so each of them can
/// read which host issued a token; only the issuer dispatches requests with it. docs/REQUESTS.md
class ITokenIssuer {
public:
    virtual ~ITokenIssuer() = default;
    [[nodiscard]] virtual std::string issue(const ServiceName& service, Timestamp now) = 0;
    /// Reads the token from an Idempotency-Key of the form TOKEN.SUFFIX. Expiry is checked only by the issuer.
    [[nodiscard]] virtual Result<TokenClaims, TokenError> read(
        std::string_view idempotencyKey, const ServiceName& service, Timestamp now) const = 0;
};

struct TokenIssuerOptions {
    HostId host;
    Incarnation incarnation;
    std::string macKey; ///< Key material of the deployment for crypto_auth.
    Duration validFor = 10min;
};

[[nodiscard]] std::unique_ptr<ITokenIssuer> makeTokenIssuer(const TokenIssuerOptions& options);

} // namespace saltvane::requests
