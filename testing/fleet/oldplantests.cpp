/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "fleet.h"
#include "planledger.h"

#include <gtest/gtest.h>

#include <array>
#include <random>

/// Seen: requests ran by a plan that was acknowledged as replaced more than two seconds before, at gateways free of
/// faults. How it came about: all links of a gateway fell silent while new ones would have worked, and were let go of
/// six seconds later. Cause and proof: LinkHubTest.ALinkThatFellSilentIsReplacedWhereANewOneWorks. Here every use of a
/// plan is held to the newest one acknowledged, with links that take as long to be replaced as those of the product.
namespace saltvane::fleet::test {

namespace {

/// Routes that move between the services, come and go with the version: plans near each other differ in every route.
RouteServices routesOf(uint64_t version)
{
    const size_t count = FleetServices.size();
    RouteServices routes {{"/read/", FleetServices.at(version % count)},
        {"/write/", FleetServices.at((count - version % count) % count)}};
    if (version % 3 != 0)
        routes["/seldom/"] = FleetServices.at((version + 1) % count);
    return routes;
}

class OldPlanTest : public testing::Test {
protected:
    OldPlanTest()
    {
        putPlan();
        EXPECT_TRUE(fleet_.runUntil([this] { return fleet_.isPlanEverywhere(1); }, 3s));
        reportTargets();
        run(3s);
    }

    void putPlan()
    {
        const uint64_t version = version_ + 1;
        ledger_.noteSent(version, fleet_.registries().now(), routesOf(version));
        if (!fleet_.putPlan(version_, planOf(version, routesOf(version))))
            return;
        version_ = version;
        ledger_.noteAcknowledged(version, fleet_.registries().now());
    }

    /// One of each service in every zone.
    void reportTargets()
    {
        ++sequence_;
        for (const char* zone : {"north-a", "south-a", "west-a"}) {
            for (const char* service : FleetServices) {
                const std::string id = std::string(service) + "-" + zone;
                const std::string body = R"({"service":")" + std::string(service) + R"(","address":"10.9.0.1:)"
                    + std::to_string(portOf(id)) + R"(","zone":")" + zone
                    + R"(","version":"v1","slots":9,"state":"ready","slow_start_left_ms":0,"sequence":)"
                    + std::to_string(sequence_) + "}";
                (void)fleet_.registries().order("POST", "/v1/targets/" + id + "/heartbeat", body);
            }
        }
    }
    uint16_t portOf(const std::string& id)
    {
        constexpr uint16_t FirstPort = 9000;
        return ports_.try_emplace(id, static_cast<uint16_t>(FirstPort + ports_.size())).first->second;
    }

    /// Lets time pass; each gateway gets a request on every route each 100 ms.
    void run(Duration duration)
    {
        constexpr Duration Pause = 100ms;
        constexpr int StatusUnknown = 404;
        for (Duration passed {}; passed < duration; passed += Pause) {
            fleet_.run(Pause);
            for (size_t gateway = 0; gateway < fleet_.gateways(); ++gateway) {
                for (const char* route : {"/read/", "/write/", "/seldom/"}) {
                    const Fleet::Outcome outcome = fleet_.ask(gateway, route + std::string("1"), "object");
                    const bool isUnknown = outcome.status == StatusUnknown;
                    if (!outcome.target && !isUnknown)
                        continue; // Refused for the moment: nothing was used.
                    uses_.push_back({.sentAt = fleet_.registries().now(),
                        .gateway = "gateway " + std::to_string(gateway),
                        .route = route,
                        .service
                        = isUnknown ? "" : outcome.target->value().substr(0, outcome.target->value().find('-'))});
                }
            }
        }
    }

    void expectNoOldPlan() const
    {
        const std::vector<std::string> findings = ledger_.findings(uses_);
        EXPECT_TRUE(findings.empty()) << findings.size() << " of " << uses_.size() << "; first: " << findings.front();
    }

    Fleet fleet_;
    PlanLedger ledger_;
    std::vector<PlanUse> uses_;
    uint64_t version_ = 0;
    uint64_t sequence_ = 0;
    std::map<std::string, uint16_t> ports_;
};

TEST_F(OldPlanTest, PlansThatChangeAreObeyed)
{
    for (int change = 0; change < 6; ++change) {
        putPlan();
        run(700ms);
    }
    run(3s);
    expectNoOldPlan();
    EXPECT_GT(uses_.size(), 1000U);
}

TEST_F(OldPlanTest, AGatewayWhoseLinksFellSilentHasTheNewestPlanInTime)
{
    fleet_.silenceGateways();
    ledger_.noteFault(fleet_.registries().now());
    for (int change = 0; change < 5; ++change) {
        putPlan();
        run(2500ms);
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
