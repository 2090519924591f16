/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "fleet.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace saltvane::fleet::test {

namespace {

constexpr Duration InForceLimit = 2500ms;
constexpr Duration DrainLimit = 2500ms;
constexpr size_t ManyRoutes = 19'000;
constexpr Duration ChangeInterval = 500ms;

size_t gatewayCount()
{
    constexpr size_t DefaultGateways = 4;
    const char* setting = std::getenv("SALTVANE_GATEWAYS");
    return setting == nullptr ? DefaultGateways : std::stoul(setting);
}

/// Hosts with a fraction of a core and gateways on narrow links, while each half second a large plan changes and a
/// target leaves. What every gateway does with requests is compared with what was acknowledged.
class SlowProcessorTest : public testing::Test {
protected:
    SlowProcessorTest()
        : fleet_({.gateways = gatewayCount(),
            .gatewayBytesPerSecond = 250'000,
            .registryBytesPerSecond = 125'000'000,
            .registryDelay = 12ms,
            .gatewayDelay = 12ms,
            .registryCpuFraction = 0.3,
            .gatewayCpuFraction = 0.1,
            .registryMemoryBytes = 64 * 1024 * 1024})
    {
        EXPECT_TRUE(fleet_.putPlan(0, makeLargePlan(1, ManyRoutes)));
        acknowledged_[1] = now();
        startTargets();
        constexpr Duration StartTimeout = 20s;
        EXPECT_TRUE(fleet_.runUntil([this] { return fleet_.isPlanInForceEverywhere(1); }, StartTimeout));
        fleet_.run(2s);
        leadersLostAtStart_ = fleet_.leadersLost();
        fleet_.onStep = [this] { probeGateways(); };
    }

    [[nodiscard]] Timestamp now() { return fleet_.registries().now(); }
    static std::string nameOf(size_t number) { return "target-" + std::to_string(number); }
    [[nodiscard]] std::string reportOf(size_t number, const std::string& state)
    {
        return R"({"service":"quotes","address":"10.9.0.1:)" + std::to_string(FirstPort + number)
            + R"(","zone":"north-a","version":"v1","slots":9,"state":")" + state
            + R"(","slow_start_left_ms":0,"sequence":)" + std::to_string(++sequence_) + "}";
    }
    void startTargets()
    {
        for (size_t number = 0; number < Targets; ++number) {
            if (!left_.contains(nameOf(number)))
                fleet_.registries().post(
                    number % 6, "/v1/targets/" + nameOf(number) + "/heartbeat", reportOf(number, "ready"));
        }
    }

    void change()
    {
        constexpr Duration ResponseTimeout = 3s;
        const auto leader = fleet_.registries().leader();
        if (!leader)
            return;
        const uint64_t version = acknowledged_.rbegin()->first + 1;
        const auto answer = fleet_.registries().call(*leader, "PUT", "/v1/plan",
            makeLargePlan(version, ManyRoutes, 10 + static_cast<uint32_t>(version)), std::to_string(version - 1),
            ResponseTimeout);
        if (answer && answer->status == 200)
            acknowledged_[version] = now();
    }
    void leave(size_t number)
    {
        const auto answer = fleet_.registries().order(
            "POST", "/v1/targets/" + nameOf(number) + "/heartbeat", reportOf(number, "leaving"));
        if (answer && answer->status == 200)
            left_[nameOf(number)] = now();
    }

    void probeGateways()
    {
        if (now() < nextProbeAt_)
            return;
        constexpr Duration ProbeInterval = 100ms;
        nextProbeAt_ = now() + ProbeInterval;
        for (size_t gateway = 0; gateway < fleet_.gateways(); ++gateway) {
            for (size_t object = 0; object < Objects; ++object) {
                const Fleet::Outcome outcome
                    = fleet_.sendRequest(gateway, "/read/1", "object-" + std::to_string(object));
                if (!outcome.target)
                    continue;
                ++uses_;
                recordUse(*outcome.target, fleet_.planVersionAt(gateway));
            }
        }
    }
    void recordUse(const TargetId& target, uint64_t plan)
    {
        if (const auto left = left_.find(target.value()); left != left_.end())
            maxUseAfterLeave_ = std::max(maxUseAfterLeave_, now() - left->second);
        const auto newer = acknowledged_.upper_bound(plan);
        if (newer != acknowledged_.end())
            maxPlanStaleness_ = std::max(maxPlanStaleness_, now() - newer->second);
    }

    static constexpr size_t Targets = 40;
    static constexpr size_t Objects = 12;
    static constexpr uint16_t FirstPort = 9001;

    Fleet fleet_;
    std::map<uint64_t, Timestamp> acknowledged_; ///< Times of acknowledgement, by plan version.
    std::map<std::string, Timestamp> left_; ///< Times at which the leave of a target was acknowledged.
    size_t uses_ = 0;
    Duration maxUseAfterLeave_ {}; ///< Longest time after the acknowledged leave of a target at which it got a request.
    Duration maxPlanStaleness_ {}; ///< Longest time that a newer plan had been acknowledged when a request was sent.
    uint64_t leadersLostAtStart_ = 0; ///< Including those lost while the first plan was read.
    Timestamp nextProbeAt_ {};
    uint64_t sequence_ = 0;
};

} // namespace

/// Guards against requests to targets that have left, or by a replaced plan, while hosts parse a large plan again for
/// each change of it.
TEST_F(SlowProcessorTest, TargetsThatLeftAndReplacedPlansAreNotUsedWhileALargePlanChanges)
{
    constexpr size_t Changes = 24;
    for (size_t number = 0; number < Changes; ++number) {
        const Timestamp next = now() + ChangeInterval;
        leave(number);
        change();
        if (number % 10 == 0)
            startTargets();
        if (now() < next)
            fleet_.run(next - now());
    }
    fleet_.run(3s);
    const auto text = [](Duration time) { return std::to_string(toSeconds(time)) + " s"; };
    const std::string figures = std::to_string(uses_) + " uses; latest use of a target after it left "
        + text(maxUseAfterLeave_) + ", oldest plan in use replaced for " + text(maxPlanStaleness_) + "; leaders lost "
        + std::to_string(fleet_.leadersLost()) + ", plans " + std::to_string(acknowledged_.size())
        + ", busy without a pause: registry host " + text(fleet_.registries().longestBusy()) + ", gateway "
        + text(fleet_.longestGatewayBusyTime()) + "; held by a registry host "
        + std::to_string(fleet_.maxRegistryBacklogBytes()) + " bytes, ended "
        + std::to_string(fleet_.registriesOutOfMemory());
    std::cout << figures << "\n";
    EXPECT_GT(uses_, 1000U) << figures;
    EXPECT_LE(maxUseAfterLeave_, DrainLimit) << figures;
    EXPECT_LE(maxPlanStaleness_, InForceLimit) << figures;
    EXPECT_EQ(fleet_.leadersLost(), leadersLostAtStart_) << figures;
    EXPECT_EQ(fleet_.registriesOutOfMemory(), 0U) << figures;
}

/// Guards against callers that wait, and give up, while their gateway parses a large plan in which every route is new.
TEST_F(SlowProcessorTest, GatewaysHandleRequestsWhileALargePlanIsInstalled)
{
    // Callers give up a request that is not read within a second.
    constexpr Duration MaxBusyTime = 500ms;
    EXPECT_LE(fleet_.longestGatewayBusyTime(), MaxBusyTime) << toSeconds(fleet_.longestGatewayBusyTime()) << " s";
}

/// Guards against a leader that stalls beyond its lease while it parses a large plan in which every route is new.
TEST_F(SlowProcessorTest, ALargePlanOfWhichEveryRouteIsNewCostsNoLeader)
{
    EXPECT_EQ(leadersLostAtStart_, 0U) << "busy for " << toSeconds(fleet_.registries().longestBusy()) << " s";
}

} // namespace saltvane::fleet::test
