/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "fleet.h"

#include <gtest/gtest.h>

/// Guards against large plans that congest the links of gateways. With plans of some thousand routes, routes were
/// refused as unknown seconds after the plan was acknowledged, leaving targets got requests 2.5 to 3 s later, and
/// registry hosts ran out of memory. Gateways on links of 4 Mbit/s pulled the plan each 0.5 s while the first copy was
/// still in flight, and got the complete plan again each time, from one registry host after the other. The copies,
/// three to eight for each gateway and plan, filled the links for half a minute, and updates of targets and callers'
/// requests waited behind them. Three causes: the bytes in flight to a host were unlimited, complete plans were sent
/// where little had changed, and urgent messages shared a queue with large ones.
namespace saltvane::fleet::test {

namespace {

/// The users' bounds, counted from the acknowledgement of an order.
constexpr Duration InForceLimit = 2500ms;
constexpr Duration DrainLimit = 2500ms;
constexpr size_t FewRoutes = 22;
constexpr size_t MoreRoutes = 1422;
constexpr size_t ManyRoutes = 2823;
constexpr size_t MaxRoutes = 4223;

class PlanDistributionTest : public testing::Test {
protected:
    explicit PlanDistributionTest(const FleetOptions& options = {})
        : fleet_(options)
    {
        EXPECT_TRUE(fleet_.putPlan(0, makeLargePlan(1, FewRoutes)));
        EXPECT_TRUE(fleet_.runUntil([this] { return fleet_.isPlanInForceEverywhere(1); }, InForceLimit));
        fleet_.run(1s);
    }

    /// Puts the next plan; returns the time from its acknowledgement until it is in force at all gateways.
    Duration putAndAwaitPlan(size_t routes, uint32_t weight = 10)
    {
        const uint64_t base = version_++;
        const bool isAccepted = fleet_.putPlan(base, makeLargePlan(version_, routes, weight));
        EXPECT_TRUE(isAccepted) << "version " << version_;
        if (!isAccepted)
            return Duration::max();
        const Timestamp acknowledged = fleet_.registries().now();
        constexpr Duration Timeout = 60s;
        const bool isInForce = fleet_.runUntil([this] { return fleet_.isPlanInForceEverywhere(version_); }, Timeout);
        return isInForce ? fleet_.registries().now() - acknowledged : Duration::max();
    }

    /// Sends a heartbeat to the given registry host, by default to the leader.
    void heartbeat(const std::string& target, uint16_t port, const std::string& state,
        std::optional<size_t> registry = std::nullopt)
    {
        const std::string body = R"({"service":"quotes","address":"10.9.0.1:)" + std::to_string(port)
            + R"(","zone":"north-a","version":"v1","slots":3,"state":")" + state
            + R"(","slow_start_left_ms":0,"sequence":)" + std::to_string(++sequence_) + "}";
        const std::string path = "/v1/targets/" + target + "/heartbeat";
        const auto answer = registry ? fleet_.registries().call(*registry, "POST", path, body)
                                     : fleet_.registries().order("POST", path, body);
        EXPECT_TRUE(answer && answer->status == 200) << target << " " << state;
    }

    /// Whether any gateway still sends requests to this target.
    bool isUsed(const TargetId& target)
    {
        constexpr int Objects = 200;
        for (size_t gateway = 0; gateway < fleet_.gateways(); ++gateway) {
            for (int object = 0; object < Objects; ++object) {
                if (fleet_.targetFor(gateway, "object-" + std::to_string(object)) == target)
                    return true;
            }
        }
        return false;
    }

    static std::string nameOf(size_t number) { return "leaves-" + std::to_string(number); }
    void startTargets()
    {
        heartbeat("stays", FirstPort, "ready");
        for (size_t number = 0; number < LeavingTargets; ++number)
            heartbeat(nameOf(number), portOf(number), "ready");
        fleet_.run(1s);
        ASSERT_TRUE(isUsed(TargetId(nameOf(0))));
    }

    /// Targets leave one after the other; none is used once its DrainLimit is over.
    void expectLeavesObeyed()
    {
        constexpr Duration Pause = 500ms;
        constexpr auto PausesToLimit = static_cast<size_t>(DrainLimit / Pause);
        for (size_t step = 0; step < LeavingTargets + PausesToLimit; ++step) {
            fleet_.run(Pause);
            if (step >= PausesToLimit) {
                const std::string left = nameOf(step - PausesToLimit);
                EXPECT_FALSE(isUsed(TargetId(left))) << left;
            }
            if (step < LeavingTargets)
                heartbeat(nameOf(step), portOf(step), "leaving");
        }
    }

    static constexpr size_t LeavingTargets = 16;
    static constexpr uint16_t FirstPort = 9001;
    static uint16_t portOf(size_t number) { return static_cast<uint16_t>(FirstPort + 1 + number); }

    Fleet fleet_;
    uint64_t version_ = 1;
    uint64_t sequence_ = 0;
};

/// Links carry only the few messages of an idle deployment.
class IdleLinksTest : public PlanDistributionTest { };

/// Links between registry hosts carry a window of 64 KiB in each round trip of 70 ms.
class NarrowRegistryLinksTest : public PlanDistributionTest {
protected:
    NarrowRegistryLinksTest()
        : PlanDistributionTest({.registryBytesPerSecond = NarrowBytesPerSecond})
    {
    }
    static constexpr double NarrowBytesPerSecond = 936'000;
};

} // namespace

TEST_F(PlanDistributionTest, PlansThatGrowAreInForceInTime)
{
    for (const size_t routes : {MoreRoutes, ManyRoutes, MaxRoutes}) {
        EXPECT_LE(putAndAwaitPlan(routes), InForceLimit) << routes;
        EXPECT_LE(putAndAwaitPlan(routes, 20), InForceLimit) << routes << " and another weight";
    }
}

TEST_F(PlanDistributionTest, AChangeRightAfterAnotherIsInForceInTime)
{
    ASSERT_TRUE(fleet_.putPlan(1, makeLargePlan(2, MaxRoutes)));
    version_ = 2;
    EXPECT_LE(putAndAwaitPlan(MaxRoutes, 20), InForceLimit);
}

TEST_F(PlanDistributionTest, NoGatewayIsSentAPlanTwice)
{
    const uint64_t before = fleet_.bytesSentTo(0);
    putAndAwaitPlan(MaxRoutes);
    fleet_.run(10s);
    constexpr uint64_t OtherTrafficBytes = 50'000; // Lists of hosts, loads and answers to pulls in these 10 s.
    // A compressed plan is less than a tenth of its size.
    EXPECT_LE(fleet_.bytesSentTo(0) - before, makeLargePlan(2, MaxRoutes).size() / 10 + OtherTrafficBytes);
}

TEST_F(IdleLinksTest, TargetsThatLeaveGetNoWorkAfterTheLimit)
{
    startTargets();
    expectLeavesObeyed();
}

TEST_F(PlanDistributionTest, TargetsThatLeaveWhileAPlanSpreadsGetNoWorkAfterTheLimit)
{
    startTargets();
    ASSERT_TRUE(fleet_.putPlan(1, makeLargePlan(2, MaxRoutes)));
    ASSERT_TRUE(fleet_.putPlan(2, makeLargePlan(3, MaxRoutes, 20)));
    expectLeavesObeyed();
}

/// A restarted registry host knows the plan and the targets as of its end. A gateway that starts at the same moment
/// must use nothing older than what was acknowledged meanwhile.
TEST_F(PlanDistributionTest, ARestartedRegistryHostSendsNoStaleStateToAStartingGateway)
{
    startTargets();
    for (size_t registry = 0; registry < FleetOptions().registries; ++registry) {
        if (registry == fleet_.registries().leader())
            continue;
        const std::string left = nameOf(registry);
        heartbeat("stays", FirstPort, "ready");
        heartbeat(left, portOf(registry), "ready", registry);
        fleet_.run(1500ms); // The host stores which targets reported to it.
        ASSERT_TRUE(isUsed(TargetId(left)));
        fleet_.killRegistry(registry);
        putAndAwaitPlan(MoreRoutes + registry);
        heartbeat(left, portOf(registry), "leaving");
        fleet_.run(DrainLimit);
        fleet_.startRegistry(registry);
        for (size_t gateway = 0; gateway < fleet_.gateways(); ++gateway)
            fleet_.restartGateway(gateway);
        constexpr int Checks = 30;
        for (int check = 0; check < Checks; ++check) {
            fleet_.run(100ms);
            EXPECT_FALSE(isUsed(TargetId(left))) << registry << " at look " << check;
            for (size_t gateway = 0; gateway < fleet_.gateways(); ++gateway)
                EXPECT_TRUE(fleet_.planVersionAt(gateway) == 0 || fleet_.planVersionAt(gateway) == version_)
                    << registry;
        }
        EXPECT_TRUE(fleet_.isPlanInForceEverywhere(version_));
    }
}

TEST_F(PlanDistributionTest, BacklogOfAGatewayLinkStaysSmall)
{
    putAndAwaitPlan(MaxRoutes);
    putAndAwaitPlan(MaxRoutes, 20);
    constexpr uint64_t MaxBacklogBytes = 100'000; // A chunk of 32 KiB from each of three registry hosts.
    EXPECT_LE(fleet_.maxBacklogBytes(), MaxBacklogBytes);
}

TEST_F(NarrowRegistryLinksTest, NoLeaderIsLostWhileAPlanGrows)
{
    const uint64_t before = fleet_.leadersLost();
    for (const size_t routes : {MoreRoutes, ManyRoutes, MaxRoutes})
        putAndAwaitPlan(routes);
    EXPECT_EQ(fleet_.leadersLost(), before);
}

TEST_F(NarrowRegistryLinksTest, AHostThatMissedManyPlansIsSentThemOnce)
{
    const size_t follower = (*fleet_.registries().leader() + 1) % 6;
    fleet_.killRegistry(follower);
    constexpr uint32_t Plans = 40;
    for (uint32_t plan = 1; plan <= Plans; ++plan)
        putAndAwaitPlan(MoreRoutes, plan);
    const Duration before = fleet_.registries().sendingTimeTo(follower);
    fleet_.startRegistry(follower);
    const auto hasCaughtUp = [&] { return fleet_.registries().status(follower).inForceVersion.value >= version_; };
    constexpr Duration CatchUpLimit = 6s;
    EXPECT_TRUE(fleet_.runUntil(hasCaughtUp, CatchUpLimit));
    fleet_.run(5s);
    // A compressed plan has 23 kB; the remaining bytes are heartbeats and lists of hosts.
    const double sent = toSeconds(fleet_.registries().sendingTimeTo(follower) - before) * NarrowBytesPerSecond;
    EXPECT_LE(sent, 1.3 * Plans * 23'000 + 400'000);
}

} // namespace saltvane::fleet::test
