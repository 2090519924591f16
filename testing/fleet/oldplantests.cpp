/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "planfleet.h"

#include <gtest/gtest.h>

#include <array>

/// Guards against gateways without faults that route by a plan whose replacement was acknowledged more than two seconds
/// before. This happened when all links of a gateway stopped passing data while new ones would have worked: the gateway
/// closed them six seconds later only. LinkHubTest.DeadLinkIsReplacedIfANewConnectionWorks covers the cause.
/// Here every use of a plan is compared with the newest plan acknowledged; links take as long to be replaced as in
/// production.
namespace saltvane::fleet::test {

namespace {

class OldPlanTest : public testing::Test {
protected:
    void expectNoOldPlan() const
    {
        const std::vector<std::string> findings = fleet_.findings();
        EXPECT_TRUE(findings.empty()) << findings.size() << " of " << fleet_.uses() << "; first: " << findings.front();
    }

    PlanFleet fleet_;
};

TEST_F(OldPlanTest, PlansThatChangeAreObeyed)
{
    for (int change = 0; change < 6; ++change) {
        fleet_.putPlan();
        fleet_.run(700ms);
    }
    fleet_.run(3s);
    expectNoOldPlan();
    EXPECT_EQ(fleet_.version(), 7U);
    EXPECT_GT(fleet_.uses(), 1000U);
}

TEST_F(OldPlanTest, AGatewayWhoseLinksStalledHasTheNewestPlanInTime)
{
    fleet_.fleet().stallGatewayLinks();
    fleet_.recordFault();
    for (int change = 0; change < 5; ++change) {
        fleet_.putPlan();
        fleet_.run(2500ms);
    }
    expectNoOldPlan();
}

/// Checks that PlanLedger reports outdated plans and nothing else.
class PlanLedgerTest : public testing::Test {
protected:
    PlanLedgerTest()
    {
        ledger_.recordSent(1, at(0s), {{"/read/", "quotes"}, {"/gone/", "quotes"}});
        ledger_.recordAcknowledged(1, at(0s));
        ledger_.recordSent(2, at(9s), {{"/read/", "files"}, {"/new/", "files"}});
        ledger_.recordAcknowledged(2, at(10s));
    }
    static Timestamp at(Duration time) { return Timestamp(100s + time); }
    [[nodiscard]] size_t findings(Duration sentAt, const std::string& route, const std::string& service) const
    {
        const std::array<PlanUse, 1> uses {
            PlanUse {.sentAt = at(sentAt), .gateway = "g", .route = route, .service = service}};
        return ledger_.findings(uses).size();
    }
    PlanLedger ledger_;
};

} // namespace

TEST_F(PlanLedgerTest, AnOlderServiceIsReportedOnceTheNewerPlanIsRequired)
{
    EXPECT_EQ(findings(11900ms, "/read/", "quotes"), 0U);
    EXPECT_EQ(findings(12100ms, "/read/", "quotes"), 1U);
    EXPECT_EQ(findings(12100ms, "/read/", "files"), 0U);
}

TEST_F(PlanLedgerTest, ARemovedRouteAndAnAddedOneAreReported)
{
    EXPECT_EQ(findings(12100ms, "/gone/", "quotes"), 1U);
    EXPECT_EQ(findings(12100ms, "/gone/", ""), 0U);
    EXPECT_EQ(findings(12100ms, "/new/", ""), 1U);
}

TEST_F(PlanLedgerTest, ANewerPlanMayBeInForceBeforeItIsAcknowledged)
{
    EXPECT_EQ(findings(8900ms, "/read/", "files"), 1U);
    EXPECT_EQ(findings(9s, "/read/", "files"), 0U);
    EXPECT_EQ(findings(9s, "/read/", "others"), 1U);
}

TEST_F(PlanLedgerTest, HostsHaveTimeToReconnectAfterAFault)
{
    ledger_.recordFault(at(11s));
    EXPECT_EQ(findings(13900ms, "/read/", "quotes"), 0U);
    EXPECT_EQ(findings(14100ms, "/read/", "quotes"), 1U);
}

} // namespace saltvane::fleet::test
