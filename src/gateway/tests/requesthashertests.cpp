/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/requesthasher.h"

#include <gtest/gtest.h>
#include <string>

namespace saltvane::gateway::test {

namespace {

const DigestKey Key = deriveDigestKey(std::string(32, 'k'));

model::RequestDigest digestOf(const RequestHasher::Head& head, std::string_view body = {}, const DigestKey& key = Key)
{
    RequestHasher hasher(key, head);
    hasher.addBody(body);
    return hasher.finish();
}

const RequestHasher::Head Head {
    .clientAccount = "growers", .method = "POST", .host = "prices.example", .path = "/read/1?day=2"};

} // namespace

TEST(RequestHasherTest, DigestIsIndependentOfBodyChunks)
{
    RequestHasher inParts(Key, Head);
    inParts.addBody("whole ");
    inParts.addBody("");
    inParts.addBody("body");
    EXPECT_EQ(inParts.finish(), digestOf(Head, "whole body"));
    EXPECT_EQ(digestOf(Head), digestOf(Head));
}

TEST(RequestHasherTest, DigestDependsOnAllFields)
{
    RequestHasher::Head other = Head;
    other.clientAccount = "brokers";
    EXPECT_NE(digestOf(other, "body"), digestOf(Head, "body"));
    other = Head;
    other.method = "PUT";
    EXPECT_NE(digestOf(other, "body"), digestOf(Head, "body"));
    other = Head;
    other.host = "prices.exampl";
    EXPECT_NE(digestOf(other, "body"), digestOf(Head, "body"));
    other = Head;
    other.path = "/read/1?day=3";
    EXPECT_NE(digestOf(other, "body"), digestOf(Head, "body"));
    EXPECT_NE(digestOf(Head, "body "), digestOf(Head, "body"));
}

TEST(RequestHasherTest, DigestDependsOnFieldBoundaries)
{
    RequestHasher::Head moved = Head;
    moved.host = "prices.example/read";
    moved.path = "/1?day=2";
    EXPECT_NE(digestOf(moved), digestOf(Head));
}

TEST(RequestHasherTest, DigestDependsOnKey)
{
    EXPECT_NE(digestOf(Head, "body", deriveDigestKey(std::string(32, 'l'))), digestOf(Head, "body"));
}

} // namespace saltvane::gateway::test
