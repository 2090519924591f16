/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/planqueue.h"

#include <gtest/gtest.h>

namespace saltvane::registry::test {

namespace {

std::string planText(size_t routes)
{
    std::string text = R"({"version":1,"routes":[)";
    for (size_t number = 0; number < routes; ++number) {
        text += (number == 0 ? "" : ",") + std::string(R"({"name":"r-)") + std::to_string(number)
            + R"(","host":"a.example","path_prefix":"/)" + std::to_string(number)
            + R"(/","kind":"repeatable","timeout_ms":1000,"objective_ms":500,"rank":0,"service":"quotes","attempts":1,)"
            + R"("affinity":false,"permitted_regions":[]})";
    }
    return text + R"(],"services":[{"name":"quotes","probe_path":"/health","connections":1,"slow_start_s":1,)"
        + R"("slow_start_per_s":1}],"limits":{"header_bytes":16384,"body_bytes":1024,"header_timeout_ms":3000,)"
        + R"("idle_timeout_ms":15000}})";
}

class PlanQueueTest : public testing::Test {
protected:
    void add(uint64_t handle, size_t routes)
    {
        queue_.add({.handle = {handle}, .order = {.version = {1}, .content = planText(routes)}});
    }
    /// Steps until the oldest plan is prepared.
    size_t stepsUntilPrepared()
    {
        constexpr size_t MaxSteps = 100;
        for (size_t steps = 1; steps < MaxSteps; ++steps) {
            if (queue_.popPrepared())
                return steps;
        }
        return MaxSteps;
    }

    settings::RoutePlanReader reader_;
    PlanQueue queue_ {reader_};
};

} // namespace

TEST_F(PlanQueueTest, ASmallPlanIsPreparedInOneStep)
{
    add(1, 20);
    EXPECT_EQ(stepsUntilPrepared(), 1U);
    EXPECT_TRUE(queue_.isEmpty());
}

/// Guards against a leader that is busy for longer than its lease: splitting, parsing and checking a large plan are
/// steps of their own, even if the reader knows all of its routes.
TEST_F(PlanQueueTest, ALargePlanIsPreparedInSeparateSteps)
{
    constexpr size_t Routes = 4000;
    add(1, Routes);
    EXPECT_GE(stepsUntilPrepared(), 3 + Routes / 1000);
    ASSERT_TRUE(reader_.read(planText(Routes), "plan"));
    add(2, Routes);
    EXPECT_EQ(stepsUntilPrepared(), 3U);
}

TEST_F(PlanQueueTest, PreparationStartsAgainAfterItsPlanWasDropped)
{
    constexpr size_t Routes = 4000;
    add(1, Routes);
    EXPECT_FALSE(queue_.popPrepared());
    queue_.remove({1});
    EXPECT_FALSE(queue_.popPrepared());
    add(2, Routes);
    EXPECT_GE(stepsUntilPrepared(), 3U);
}

} // namespace saltvane::registry::test
