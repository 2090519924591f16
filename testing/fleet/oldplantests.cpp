/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "planfleet.h"

#include <gtest/gtest.h>

#include <array>

/// Seen: requests ran by a plan that was acknowledged as replaced more than two seconds before, at gateways free of
/// faults. How it came about: all links of a gateway fell silent while new ones would have worked, and were let go of
/// six seconds later. Cause and proof: LinkHubTest.ALinkThatFellSilentIsReplacedWhereANewOneWorks. Here every use of a
/// plan is held to the newest one acknowledged, with links that take as long to be replaced as those of the product.
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

TEST_F(OldPlanTest, AGatewayWhoseLinksFellSilentHasTheNewestPlanInTime)
{
    fleet_.fleet().silenceGateways();
    fleet_.noteFault();
    for (int change = 0; change < 5; ++change) {
        fleet_.putPlan();
        fleet_.run(2500ms);
    }
    expectNoOldPlan();
}

/// The ledger is able to fail, and fails for nothing else.
class PlanLedgerTest : public testing::Test {
protected:
    PlanLedgerTest()
    {
        ledger_.noteSent(1, at(0s), {{"/read/", "quotes"}, {"/gone/", "quotes"}});
        ledger_.noteAcknowledged(1, at(0s));
        ledger_.noteSent(2, at(9s), {{"/read/", "files"}, {"/new/", "files"}});
        ledger_.noteAcknowledged(2, at(10s));
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

TEST_F(PlanLedgerTest, AnOlderServiceIsFoundOnceTheNewerPlanIsDue)
{
    EXPECT_EQ(findings(11900ms, "/read/", "quotes"), 0U);
    EXPECT_EQ(findings(12100ms, "/read/", "quotes"), 1U);
    EXPECT_EQ(findings(12100ms, "/read/", "files"), 0U);
}

TEST_F(PlanLedgerTest, ARouteThatWasDroppedAndOneThatWasAddedAreFound)
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

TEST_F(PlanLedgerTest, AfterAFaultHostsHaveTimeToFindEachOther)
{
    ledger_.noteFault(at(11s));
    EXPECT_EQ(findings(13900ms, "/read/", "quotes"), 0U);
    EXPECT_EQ(findings(14100ms, "/read/", "quotes"), 1U);
}

} // namespace saltvane::fleet::test
