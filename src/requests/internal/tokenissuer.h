/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/itokenissuer.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace saltvane::requests {

/// A token is the base64url encoding of incarnation, sequence, expiry, service hash, host and a truncated MAC over all
/// of these and the service name. docs/REQUESTS.md
class TokenIssuer final : public ITokenIssuer {
public:
    explicit TokenIssuer(const TokenIssuerOptions& options);

    [[nodiscard]] std::string issue(const ServiceName& service, Timestamp now) override;
    [[nodiscard]] Result<TokenClaims, TokenError> read(
        std::string_view idempotencyKey, const ServiceName& service, Timestamp now) const override;

private:
    [[nodiscard]] std::string mac(std::string_view payload, const ServiceName& service) const;

    HostId host_;
    Incarnation incarnation_;
    Duration validFor_;
    std::array<unsigned char, 32> key_ {};
    uint64_t sequence_ = 0;
};

} // namespace saltvane::requests
