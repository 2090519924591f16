/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "backpressurefixture.h"

#include "gateway/internal/responsetimewindow.h"

namespace saltvane::gateway::test {

namespace {

const HostId Self("10.0.0.1:7000");

/// A gateway whose target enters slow starts between two of its reports to the registry.
class StatedSlowStartTest : public BackpressureTest {
protected:
    StatedSlowStartTest()
    {
        installPlan(1);
        record_ = target("t-1");
        reportTargets({record_});
    }
    /// Sends a request, and answers it after `time`. Returns whether it was sent to a target.
    bool serveWithin(Duration time)
    {
        request({});
        const std::vector<requests::TargetStart> starts = takeStarts();
        advance(time);
        for (const requests::TargetStart& start : starts)
            answer(start, {});
        (void)takeResponse();
        return !starts.empty();
    }
    void serveAsUsual()
    {
        for (uint32_t response = 0; response < ResponseTimeWindow::MinResponses; ++response)
            EXPECT_TRUE(serveWithin(60ms));
        EXPECT_TRUE(takeProbes().empty());
    }
    /// The target responds to one request in twice the time, and to the probe with this time left of its slow start.
    void enterSlowStart(const std::string& leftMs)
    {
        EXPECT_TRUE(serveWithin(120ms));
        const std::vector<requests::TargetStart> probes = takeProbes();
        ASSERT_EQ(probes.size(), 1U);
        answer(probes[0], {.id = "", .extraHeaders = {{"Saltvane-Slow-Start-Left-Ms", leftMs}}});
    }
    model::TargetRecord record_;
};

} // namespace

// Guards against floods of targets that enter a slow start which their reports don't name yet.
TEST_F(StatedSlowStartTest, TargetIsNotUsedOnceItStatesASlowStartInAProbe)
{
    serveAsUsual();
    enterSlowStart("3000");
    EXPECT_FALSE(serveWithin(0s));
    const std::vector<model::TargetRecord> stated = takeStatedSlowStarts();
    ASSERT_EQ(stated.size(), 1U);
    EXPECT_EQ(stated[0].target, record_.target);
    EXPECT_EQ(stated[0].slowStartLeft, 3s);
    EXPECT_TRUE(isLogged("event=target_slow_start target=t-1"));
    advance(3100ms);
    EXPECT_TRUE(serveWithin(0s));
}

TEST_F(StatedSlowStartTest, GatewayThatTheRegistryNamesUsesTheTargetAtItsRate)
{
    serveAsUsual();
    enterSlowStart("3000");
    record_.slowStartLeft = 3s;
    record_.slowStartHost = Self;
    reportTargets({record_});
    size_t sent = 0;
    for (int request = 0; request < 20; ++request) {
        sent += serveWithin(0s) ? 1 : 0;
        advance(100ms);
    }
    EXPECT_GE(sent, 6U); // 4 per second (0.8 of the service's rate of 5) for two seconds.
    EXPECT_LE(sent, 10U);
}

// Guards against floods after a report that the target sent before its slow start.
TEST_F(StatedSlowStartTest, ReportWithoutTheSlowStartDoesNotEndIt)
{
    serveAsUsual();
    enterSlowStart("3000");
    ++record_.sequence;
    reportTargets({record_});
    EXPECT_FALSE(serveWithin(0s));
}

TEST_F(StatedSlowStartTest, TargetIsUsedWhereItsProbeStatesNoSlowStart)
{
    serveAsUsual();
    enterSlowStart("0");
    EXPECT_TRUE(serveWithin(60ms));
    EXPECT_TRUE(takeStatedSlowStarts().empty());
}

TEST_F(StatedSlowStartTest, TargetWithFewRequestsIsNotProbed)
{
    for (uint32_t response = 0; response < ResponseTimeWindow::MinResponses; ++response)
        EXPECT_TRUE(serveWithin(300ms));
    EXPECT_TRUE(serveWithin(600ms));
    EXPECT_TRUE(takeProbes().empty());
}

// Guards against targets that are flooded until a response takes longer than all before, although several take longer
// than most.
TEST_F(StatedSlowStartTest, TargetIsProbedOnceSeveralResponsesTakeLongerThanMost)
{
    for (uint32_t response = 0; response < ResponseTimeWindow::MinResponses; ++response)
        EXPECT_TRUE(serveWithin(response % 4 == 0 ? 150ms : 60ms));
    EXPECT_TRUE(serveWithin(90ms));
    EXPECT_TRUE(takeProbes().empty());
    request({});
    request({});
    ASSERT_EQ(takeStarts().size(), 2U);
    advance(90ms);
    const std::vector<requests::TargetStart> probes = takeProbes();
    ASSERT_EQ(probes.size(), 1U);
    answer(probes[0], {.id = "", .extraHeaders = {{"Saltvane-Slow-Start-Left-Ms", "3000"}}});
    EXPECT_EQ(takeStatedSlowStarts().size(), 1U);
}

TEST_F(StatedSlowStartTest, UnreadableSlowStartIsLoggedAndIgnored)
{
    serveAsUsual();
    enterSlowStart("soon");
    EXPECT_TRUE(serveWithin(60ms));
    EXPECT_TRUE(isLogged("event=target_slow_start_unreadable"));
}

} // namespace saltvane::gateway::test
