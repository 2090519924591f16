/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "fleet.h"

#include <gtest/gtest.h>

/// Seen: after a plan had grown to some thousand routes, routes of it were refused as unknown seconds after it was
/// acknowledged, targets that had said they leave got requests 2.5 to 3 s later, and registry hosts ran out of memory.
/// How it came about: gateways on links of 4 Mbit/s pulled the plan each 0.5 s while the first copy was still on its
/// way, and got the whole plan again each time, from one registry host after the other. The copies filled the links for
/// half a minute; word of targets, and callers' requests, waited behind them.
/// Cause: nothing limited what was under way to one host; whole plans were sent where little had changed; and what is
/// urgent shared one queue with what is large.
/// Proof: the bytes sent were three to eight times one copy a gateway and plan; the links stayed full long after the
/// last change; the same targets leaving on idle links were obeyed in time, here and in the deployment.
namespace saltvane::fleet::test {

namespace {

/// The users' bounds, from an order's acknowledgement.
constexpr Duration InForceLimit = 2500ms;
constexpr Duration DrainLimit = 2500ms;
constexpr size_t FewRoutes = 22;
constexpr size_t MoreRoutes = 1422;
constexpr size_t ManyRoutes = 2823;
constexpr size_t MostRoutes = 4223;

class PlanDistributionTest : public testing::Test {
protected:
    explicit PlanDistributionTest(const FleetOptions& options = {})
        : fleet_(options)
    {
        EXPECT_TRUE(fleet_.putPlan(0, largePlan(1, FewRoutes)));
        EXPECT_TRUE(fleet_.runUntil([this] { return fleet_.isPlanEverywhere(1); }, InForceLimit));
        fleet_.run(1s);
    }

    /// Puts the next plan; how long it takes, from its acknowledgement, to be in force at all gateways.
    Duration putAndSpread(size_t routes, uint32_t weight = 10)
    {
        const uint64_t base = version_++;
        const bool isTaken = fleet_.putPlan(base, largePlan(version_, routes, weight));
        EXPECT_TRUE(isTaken) << "version " << version_;
        if (!isTaken)
            return Duration::max();
        const Timestamp acknowledged = fleet_.registries().now();
        constexpr Duration GiveUp = 60s;
        const bool isThere = fleet_.runUntil([this] { return fleet_.isPlanEverywhere(version_); }, GiveUp);
        return isThere ? fleet_.registries().now() - acknowledged : Duration::max();
    }

    /// To this registry host, else to the leader.
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

    /// Targets leave one after the other; none is used once its limit is over.
    void expectObeyed()
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

/// Nothing but the few messages of a deployment at rest is under way.
class QuietLinksTest : public PlanDistributionTest { };

/// Registry hosts whose links carry a window of 64 KiB in each round trip of 70 ms.
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
    for (const size_t routes : {MoreRoutes, ManyRoutes, MostRoutes}) {
        EXPECT_LE(putAndSpread(routes), InForceLimit) << routes;
        EXPECT_LE(putAndSpread(routes, 20), InForceLimit) << routes << " and another weight";
    }
}

TEST_F(PlanDistributionTest, AChangeRightAfterAnotherIsInForceInTime)
{
    ASSERT_TRUE(fleet_.putPlan(1, largePlan(2, MostRoutes)));
    version_ = 2;
    EXPECT_LE(putAndSpread(MostRoutes, 20), InForceLimit);
}

TEST_F(PlanDistributionTest, NoGatewayIsSentAPlanTwice)
{
    const uint64_t before = fleet_.bytesSentTo(0);
    putAndSpread(MostRoutes);
    fleet_.run(10s);
    constexpr uint64_t OtherWord = 50'000; // Lists of hosts, loads and answers to pulls in these seconds.
    // Compressed it is less than a tenth.
    EXPECT_LE(fleet_.bytesSentTo(0) - before, largePlan(2, MostRoutes).size() / 10 + OtherWord);
}

TEST_F(QuietLinksTest, TargetsThatLeaveGetNoWorkAfterTheLimit)
{
    startTargets();
    expectObeyed();
}

TEST_F(PlanDistributionTest, TargetsThatLeaveWhileAPlanSpreadsGetNoWorkAfterTheLimit)
{
    startTargets();
    ASSERT_TRUE(fleet_.putPlan(1, largePlan(2, MostRoutes)));
    ASSERT_TRUE(fleet_.putPlan(2, largePlan(3, MostRoutes, 20)));
    expectObeyed();
}

/// A registry host that comes back knows the plan and the targets of when it ended. A gateway that starts at the same
/// moment believes nothing older than what was acknowledged meanwhile.
TEST_F(PlanDistributionTest, ARegistryHostThatWasDownTellsAGatewayThatStartsNothingOld)
{
    startTargets();
    for (size_t registry = 0; registry < FleetOptions().registries; ++registry) {
        if (registry == fleet_.registries().leader())
            continue;
        const std::string left = nameOf(registry);
        heartbeat("stays", FirstPort, "ready");
        heartbeat(left, portOf(registry), "ready", registry);
        fleet_.run(1500ms); // It writes down which targets reported to it.
        ASSERT_TRUE(isUsed(TargetId(left)));
        fleet_.killRegistry(registry);
        putAndSpread(MoreRoutes + registry);
        heartbeat(left, portOf(registry), "leaving");
        fleet_.run(DrainLimit);
        fleet_.startRegistry(registry);
        for (size_t gateway = 0; gateway < fleet_.gateways(); ++gateway)
            fleet_.restartGateway(gateway);
        constexpr int Looks = 30;
        for (int look = 0; look < Looks; ++look) {
            fleet_.run(100ms);
            EXPECT_FALSE(isUsed(TargetId(left))) << registry << " at look " << look;
            for (size_t gateway = 0; gateway < fleet_.gateways(); ++gateway)
                EXPECT_TRUE(fleet_.planAt(gateway) == 0 || fleet_.planAt(gateway) == version_) << registry;
        }
        EXPECT_TRUE(fleet_.isPlanEverywhere(version_));
    }
}

TEST_F(PlanDistributionTest, LittleWaitsForAGatewaysLink)
{
    putAndSpread(MostRoutes);
    putAndSpread(MostRoutes, 20);
    constexpr uint64_t LargestBacklog = 100'000; // A part of 32 KiB from each of three registry hosts.
    EXPECT_LE(fleet_.largestBacklog(), LargestBacklog);
}

TEST_F(NarrowRegistryLinksTest, ALeaderStandsWhileAPlanGrows)
{
    const uint64_t before = fleet_.leadersLost();
    for (const size_t routes : {MoreRoutes, ManyRoutes, MostRoutes})
        putAndSpread(routes);
    EXPECT_EQ(fleet_.leadersLost(), before);
}

TEST_F(NarrowRegistryLinksTest, AHostThatMissedManyPlansIsSentThemOnce)
{
    const size_t follower = (*fleet_.registries().leader() + 1) % 6;
    fleet_.killRegistry(follower);
    constexpr uint32_t Plans = 40;
    for (uint32_t plan = 1; plan <= Plans; ++plan)
        putAndSpread(MoreRoutes, plan);
    const Duration before = fleet_.registries().sendingTimeTo(follower);
    fleet_.startRegistry(follower);
    const auto hasCaughtUp = [&] { return fleet_.registries().status(follower).inForceVersion.value >= version_; };
    constexpr Duration CatchUpLimit = 6s;
    EXPECT_TRUE(fleet_.runUntil(hasCaughtUp, CatchUpLimit));
    fleet_.run(5s);
    // Compressed, the plans are 23 kB each; the rest is heartbeats and lists of hosts.
    const double sent = toSeconds(fleet_.registries().sendingTimeTo(follower) - before) * NarrowBytesPerSecond;
    EXPECT_LE(sent, 1.3 * Plans * 23'000 + 400'000);
}

} // namespace saltvane::fleet::test
