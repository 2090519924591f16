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
constexpr Duration ChangePeriod = 500ms;

size_t gatewaysToPlay()
{
    constexpr size_t Usual = 4;
    const char* given = std::getenv("SALTVANE_GATEWAYS");
    return given == nullptr ? Usual : std::stoul(given);
}

/// Hosts with a small part of a core, gateways on narrow links; a large plan changes, and a target leaves, each half
/// second. What every gateway does with requests is held to what was acknowledged.
class SlowProcessorTest : public testing::Test {
protected:
    SlowProcessorTest()
        : fleet_({.gateways = gatewaysToPlay(),
            .gatewayBytesPerSecond = 250'000,
            .registryBytesPerSecond = 125'000'000,
            .registryDelay = 12ms,
            .gatewayDelay = 12ms,
            .registryProcessorShare = 0.3,
            .gatewayProcessorShare = 0.1,
            .registryMemory = 64 * 1024 * 1024})
    {
        EXPECT_TRUE(fleet_.putPlan(0, largePlan(1, ManyRoutes)));
        acknowledged_[1] = now();
        startTargets();
        constexpr Duration StartLimit = 20s;
        EXPECT_TRUE(fleet_.runUntil([this] { return fleet_.isPlanEverywhere(1); }, StartLimit));
        fleet_.run(2s);
        leadersLostAtStart_ = fleet_.leadersLost();
        fleet_.onStep = [this] { look(); };
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
        constexpr Duration AnswerLimit = 3s;
        const auto leader = fleet_.registries().leader();
        if (!leader)
            return;
        const uint64_t version = acknowledged_.rbegin()->first + 1;
        const auto answer = fleet_.registries().call(*leader, "PUT", "/v1/plan",
            largePlan(version, ManyRoutes, 10 + static_cast<uint32_t>(version)), std::to_string(version - 1),
            AnswerLimit);
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

    void look()
    {
        if (now() < nextLookAt_)
            return;
        constexpr Duration LookPeriod = 100ms;
        nextLookAt_ = now() + LookPeriod;
        for (size_t gateway = 0; gateway < fleet_.gateways(); ++gateway) {
            for (size_t object = 0; object < Objects; ++object) {
                const Fleet::Outcome outcome = fleet_.ask(gateway, "/read/1", "object-" + std::to_string(object));
                if (!outcome.target)
                    continue;
                ++uses_;
                noteUse(*outcome.target, fleet_.planAt(gateway));
            }
        }
    }
    void noteUse(const TargetId& target, uint64_t plan)
    {
        if (const auto left = left_.find(target.value()); left != left_.end())
            latestUse_ = std::max(latestUse_, now() - left->second);
        const auto newer = acknowledged_.upper_bound(plan);
        if (newer != acknowledged_.end())
            oldestPlan_ = std::max(oldestPlan_, now() - newer->second);
    }

    static constexpr size_t Targets = 40;
    static constexpr size_t Objects = 12;
    static constexpr uint16_t FirstPort = 9001;

    Fleet fleet_;
    std::map<uint64_t, Timestamp> acknowledged_; ///< Plans, by version.
    std::map<std::string, Timestamp> left_; ///< Targets whose leaving was acknowledged.
    size_t uses_ = 0;
    Duration latestUse_ {}; ///< Of a target, after its leaving was acknowledged.
    Duration oldestPlan_ {}; ///< By which a request was sent: how long a newer one had been acknowledged.
    uint64_t leadersLostAtStart_ = 0; ///< As the first plan came.
    Timestamp nextLookAt_ {};
    uint64_t sequence_ = 0;
};

} // namespace

/// Guards against requests that are sent to targets that have left, or by a plan that was replaced, while hosts read a
/// large plan anew for each change of it.
TEST_F(SlowProcessorTest, TargetsThatLeftAndReplacedPlansAreNotUsedWhileALargePlanChanges)
{
    constexpr size_t Changes = 24;
    for (size_t number = 0; number < Changes; ++number) {
        const Timestamp next = now() + ChangePeriod;
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
        + text(latestUse_) + ", oldest plan in use replaced for " + text(oldestPlan_) + "; leaders lost "
        + std::to_string(fleet_.leadersLost()) + ", plans " + std::to_string(acknowledged_.size())
        + ", busy without a pause: registry host " + text(fleet_.registries().longestBusy()) + ", gateway "
        + text(fleet_.longestBusyGateway()) + "; held by a registry host " + std::to_string(fleet_.mostHeldByRegistry())
        + " bytes, ended " + std::to_string(fleet_.registriesEnded());
    std::cout << figures << "\n";
    EXPECT_GT(uses_, 1000U) << figures;
    EXPECT_LE(latestUse_, DrainLimit) << figures;
    EXPECT_LE(oldestPlan_, InForceLimit) << figures;
    EXPECT_EQ(fleet_.leadersLost(), leadersLostAtStart_) << figures;
    EXPECT_EQ(fleet_.registriesEnded(), 0U) << figures;
}

/// Guards against a leader that stands still beyond its lease while it reads a large plan of which every route is new.
TEST_F(SlowProcessorTest, ALargePlanOfWhichEveryRouteIsNewCostsNoLeader)
{
    EXPECT_EQ(leadersLostAtStart_, 0U) << "busy for " << toSeconds(fleet_.registries().longestBusy()) << " s";
}

} // namespace saltvane::fleet::test
