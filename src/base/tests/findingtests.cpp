/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/finding.h"

#include <gtest/gtest.h>

namespace saltvane {
namespace {

TEST(FindingTest, TextContainsLocationAndField)
{
    const Finding finding {
        .location = {.source = "host.yaml", .line = 3, .column = 7}, .field = "zone", .message = "is missing"};
    EXPECT_EQ(toString(finding), "host.yaml:3:7: zone: is missing");
}

TEST(FindingTest, SortsByLocation)
{
    Findings findings;
    findings.add({.location = {.source = "a", .line = 9, .column = 1}, .field = "late", .message = ""});
    findings.add({.location = {.source = "a", .line = 2, .column = 5}, .field = "early", .message = ""});
    findings.sortByLocation();
    EXPECT_EQ(findings.items().front().field, "early");
}

} // namespace
} // namespace saltvane
