/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/itokenissuer.h"

#include <gtest/gtest.h>

namespace saltvane::requests {
namespace {

const ServiceName Service("advance-desk");
constexpr Timestamp Now {1h};

TokenIssuerOptions options()
{
    return {.host = HostId("atl-1"), .incarnation = {9}, .macKey = "0123456789abcdef0123456789abcdef"};
}

TEST(TokenIssuerTest, AnotherHostReadsAnIssuedToken)
{
    const auto issuer = makeTokenIssuer(options());
    TokenIssuerOptions others = options();
    others.host = HostId("dfw-1");
    const auto other = makeTokenIssuer(others);
    const std::string first = issuer->issue(Service, Now) + ".a";
    const std::string second = issuer->issue(Service, Now) + ".a";
    EXPECT_NE(first, second);
    EXPECT_LE(first.size(), 191U); // Leaves room for the longest suffix within the key limit.
    const auto claims = other->read(second, Service, Now + 1h); // Only the issuer checks the expiry.
    ASSERT_TRUE(claims);
    EXPECT_EQ(claims.value().issuer, HostId("atl-1"));
    EXPECT_EQ(claims.value().incarnation, Incarnation {9});
    EXPECT_EQ(claims.value().sequence, 2U);
    EXPECT_EQ(claims.value().expiry, Now + 10min);
}

TEST(TokenIssuerTest, ExpiresOnlyAtItsIssuer)
{
    const auto issuer = makeTokenIssuer(options());
    const std::string key = issuer->issue(Service, Now) + ".a";
    EXPECT_TRUE(issuer->read(key, Service, Now + 10min - 1ns));
    const auto expired = issuer->read(key, Service, Now + 10min);
    ASSERT_FALSE(expired);
    EXPECT_EQ(expired.error(), TokenError::Expired);
    TokenIssuerOptions restarted = options();
    restarted.incarnation = {10};
    EXPECT_TRUE(makeTokenIssuer(restarted)->read(key, Service, Now + 10min));
}

TEST(TokenIssuerTest, EveryChangedByteIsRefused)
{
    const auto issuer = makeTokenIssuer(options());
    const std::string token = issuer->issue(Service, Now);
    for (size_t index = 2; index < token.size(); ++index) {
        std::string forged = token;
        forged[index] = forged[index] == 'A' ? 'B' : 'A';
        EXPECT_FALSE(issuer->read(forged + ".a", Service, Now)) << index;
    }
    TokenIssuerOptions otherKey = options();
    otherKey.macKey.back() = 'X';
    EXPECT_EQ(makeTokenIssuer(otherKey)->read(token + ".a", Service, Now).error(), TokenError::BadMac);
}

TEST(TokenIssuerTest, IsBoundToItsService)
{
    const auto issuer = makeTokenIssuer(options());
    const std::string key = issuer->issue(Service, Now) + ".a";
    EXPECT_EQ(issuer->read(key, ServiceName("ledger-vault"), Now).error(), TokenError::OtherService);
}

TEST(TokenIssuerTest, OtherFormsAreCallerMadeKeys)
{
    const auto issuer = makeTokenIssuer(options());
    const std::string token = issuer->issue(Service, Now);
    for (const std::string& key : {std::string("order-17"), std::string("s1.a"), std::string("s1???.a"), token,
             token + ".", token + "." + std::string(65, 'x'), "x" + token + ".a", std::string(".a"), std::string()}) {
        const auto result = issuer->read(key, Service, Now);
        ASSERT_FALSE(result) << key;
        EXPECT_EQ(result.error(), TokenError::NotAToken) << key;
    }
    EXPECT_TRUE(issuer->read(token + "." + std::string(64, 'x'), Service, Now));
}

} // namespace
} // namespace saltvane::requests
