/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/bodyextents.h"

#include <gtest/gtest.h>

namespace saltvane::gateway::test {

namespace {

const model::RouteName Read("read");
const model::RouteName Export("export");

} // namespace

TEST(BodyExtentsTest, KnowsNothingBeforeTheFirstResponse)
{
    BodyExtents extents;
    extents.record(Read, {.bytes = 10, .duration = 1ms});
    EXPECT_FALSE(extents.largest(Export));
}

// Guards against downloads that look overlong beside the small responses of other routes.
TEST(BodyExtentsTest, RoutesAreToldApart)
{
    BodyExtents extents;
    extents.record(Export, {.bytes = 1'000'000, .duration = 2s});
    extents.record(Read, {.bytes = 10, .duration = 1ms});
    EXPECT_EQ(extents.largest(Export)->bytes, 1'000'000U);
    EXPECT_EQ(extents.largest(Export)->duration, 2s);
    EXPECT_EQ(extents.largest(Read)->bytes, 10U);
}

// Guards against one exceptional response after which none counts as overlong any more.
TEST(BodyExtentsTest, ExceptionalResponseIsForgottenGradually)
{
    constexpr int Responses = 350;
    BodyExtents extents;
    extents.record(Read, {.bytes = 1'000'000, .duration = 10s});
    for (int response = 0; response < Responses; ++response)
        extents.record(Read, {.bytes = 10, .duration = 1ms});
    EXPECT_NEAR(static_cast<double>(extents.largest(Read)->bytes), 500'000, 10'000);
    EXPECT_NEAR(toSeconds(extents.largest(Read)->duration), 5, 0.1);
}

TEST(BodyExtentsTest, RoutesBeyondTheBoundAreUnknown)
{
    constexpr int Routes = 2'000;
    BodyExtents extents;
    for (int route = 0; route < Routes; ++route)
        extents.record(model::RouteName("r-" + std::to_string(route)), {.bytes = 10, .duration = 1ms});
    EXPECT_TRUE(extents.largest(model::RouteName("r-0")));
    EXPECT_FALSE(extents.largest(model::RouteName("r-1999")));
}

} // namespace saltvane::gateway::test
