/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "rolloutfleet.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

/// Rollouts over gateways and registry hosts: how many requests a bad version gets, how soon it is rolled back, and
/// that a good one is completed in time.
namespace saltvane::fleet::test {

namespace {

/// The operators' limits: the share of requests that a bad version may get, the requests that it may get in addition,
/// and the time from its 50th bad answer until it gets nothing more.
constexpr double MaxShare = 0.1;
constexpr double Slack = 50;
constexpr Duration RollBackLimit = 5s;

std::string text(const RolloutFleet::Figures& figures)
{
    return "requests " + std::to_string(figures.requests) + ", to the new version "
        + std::to_string(figures.toNewVersion) + ", bad answers " + std::to_string(figures.badAnswers)
        + ", latest after the 50th " + std::to_string(toSeconds(figures.latestAfterBad)) + " s, "
        + (figures.endState.empty() ? "not ended" : figures.endState) + " after "
        + std::to_string(toSeconds(figures.endedAfter)) + " s, lost at the stop " + std::to_string(figures.lostAtStop);
}

void expectRolledBackInTime(const RolloutFleet::Figures& figures)
{
    EXPECT_EQ(figures.endState, "rolled-back") << text(figures);
    EXPECT_LE(static_cast<double>(figures.toNewVersion), MaxShare * static_cast<double>(figures.requests) + Slack)
        << text(figures);
    EXPECT_LE(figures.latestAfterBad, RollBackLimit) << text(figures);
}

struct BadVersion {
    std::string name;
    NewVersion version;
};

void PrintTo(const BadVersion& version, std::ostream* stream) { *stream << version.name; }

class BadRolloutTest : public testing::TestWithParam<BadVersion> { };

} // namespace

TEST_P(BadRolloutTest, IsRolledBackWithinItsShare)
{
    RolloutFleet rollout(1, {.newVersion = GetParam().version});
    ASSERT_TRUE(rollout.start());
    rollout.run(17s);
    std::cout << GetParam().name << ": " << text(rollout.figures()) << "\n";
    expectRolledBackInTime(rollout.figures());
    EXPECT_EQ(rollout.state(), "rolled_back");
}

INSTANTIATE_TEST_SUITE_P(Kinds, BadRolloutTest,
    testing::Values(BadVersion {"fails", {.failedFraction = 0.3}}, BadVersion {"always-fails", {.failedFraction = 1}},
        BadVersion {"fails-later", {.failedFraction = 0.4, .badAfter = 4s}},
        BadVersion {"fails-under-load", {.failedFraction = 0.5, .badFromLoad = 2}},
        BadVersion {"fails-on-one-route", {.failedFraction = 0.5, .isOnOneRouteOnly = true}},
        BadVersion {"is-slow", {.slowdown = 5}}, BadVersion {"is-slow-later", {.slowdown = 5, .badAfter = 3s}}));

TEST(RolloutFleetTest, GoodVersionIsCompletedInTimeAndNothingIsLost)
{
    RolloutFleet rollout(2, {});
    ASSERT_TRUE(rollout.start());
    EXPECT_EQ(rollout.state(), "running");
    rollout.run(17s);
    const RolloutFleet::Figures figures = rollout.figures();
    std::cout << text(figures) << "\n";
    EXPECT_EQ(figures.endState, "completed") << text(figures);
    EXPECT_LT(figures.endedAfter, 15s) << text(figures);
    EXPECT_EQ(figures.lostAtStop, 0U) << text(figures);
    EXPECT_EQ(rollout.state(), "completed");
}

/// Guards against requests to a new version whose targets report before the order.
TEST(RolloutFleetTest, TargetsThatStartBeforeTheOrderAreHeldToTheShare)
{
    RolloutFleet rollout(3, {.newVersion = {.failedFraction = 0.5}, .targetsLead = 1500ms});
    ASSERT_TRUE(rollout.start());
    rollout.run(17s);
    expectRolledBackInTime(rollout.figures());
}

TEST(RolloutFleetTest, SurvivesTheLossOfItsLeaderAndOfAllControlHosts)
{
    RolloutFleet rollout(4, {.timeLimit = 20s});
    ASSERT_TRUE(rollout.start());
    rollout.run(2s);
    const size_t leader = rollout.fleet().registries().leader().value_or(0);
    rollout.fleet().killRegistry(leader);
    rollout.run(1s);
    rollout.fleet().startRegistry(leader);
    rollout.run(2s);
    for (size_t registry = 0; registry < 6; ++registry)
        rollout.fleet().killRegistry(registry);
    rollout.run(500ms);
    for (size_t registry = 0; registry < 6; ++registry)
        rollout.fleet().startRegistry(registry);
    rollout.run(25s);
    const RolloutFleet::Figures figures = rollout.figures();
    EXPECT_TRUE(rollout.isEnded()) << text(figures);
    EXPECT_EQ(rollout.state(), figures.endState == "completed" ? "completed" : "rolled_back") << text(figures);
}

/// Drawn kinds of new versions, with drawn faults of gateways and control hosts.
TEST(DrawnRolloutTest, NoBadVersionGetsMoreThanItsShare)
{
    const char* setting = std::getenv("SALTVANE_SEEDS");
    const unsigned int seeds = setting == nullptr ? 6 : static_cast<unsigned int>(std::stoul(setting));
    size_t good = 0;
    size_t completed = 0;
    size_t ended = 0;
    for (unsigned int seed = 1; seed <= seeds; ++seed) {
        std::mt19937 random(seed);
        const auto draw
            = [&](double from, double to) { return std::uniform_real_distribution<double>(from, to)(random); };
        const auto isDrawn = [&](double probability) { return std::bernoulli_distribution(probability)(random); };
        NewVersion version;
        if (isDrawn(0.7)) {
            if (isDrawn(0.5))
                version.failedFraction = draw(0.3, 1);
            else
                version.slowdown = draw(4, 8);
            version.badAfter = isDrawn(0.4) ? fromSeconds(draw(0, 5)) : Duration::zero();
            version.isOnOneRouteOnly = isDrawn(0.3);
        }
        RolloutFleet rollout(seed, {.newVersion = version, .timeLimit = 20s, .targetsLead = fromSeconds(draw(0, 2))});
        ASSERT_TRUE(rollout.start()) << seed;
        for (int fault = 0; fault < 3; ++fault) {
            rollout.run(fromSeconds(draw(0.5, 4)));
            const size_t gateway = std::uniform_int_distribution<size_t>(0, 7)(random);
            const size_t registry = std::uniform_int_distribution<size_t>(0, 5)(random);
            switch (std::uniform_int_distribution<int>(0, 4)(random)) {
            case 0:
                rollout.fleet().cutOffGateway(gateway, fromSeconds(draw(1, 5)));
                break;
            case 1:
                rollout.fleet().suspendGateway(gateway, fromSeconds(draw(0.5, 3)));
                break;
            case 2:
                rollout.fleet().restartGateway(gateway);
                break;
            case 3:
                rollout.fleet().killRegistry(registry);
                rollout.run(fromSeconds(draw(0.2, 1.5)));
                rollout.fleet().startRegistry(registry);
                break;
            default:
                break;
            }
        }
        rollout.run(26s);
        const RolloutFleet::Figures figures = rollout.figures();
        ended += rollout.isEnded() ? 1 : 0;
        const std::string description = "seed " + std::to_string(seed) + ", failed "
            + std::to_string(version.failedFraction) + ", slowdown " + std::to_string(version.slowdown) + ", after "
            + std::to_string(toSeconds(version.badAfter)) + " s" + (version.isOnOneRouteOnly ? ", on one route" : "")
            + ": " + text(figures);
        EXPECT_TRUE(rollout.isEnded()) << description;
        if (version.isBad()) {
            EXPECT_LE(
                static_cast<double>(figures.toNewVersion), MaxShare * static_cast<double>(figures.requests) + Slack)
                << description;
            EXPECT_EQ(figures.endState, "rolled-back") << description;
        } else {
            ++good;
            completed += figures.endState == "completed" ? 1 : 0;
        }
    }
    std::cout << "seeds " << seeds << ", ended " << ended << ", good versions completed " << completed << " of " << good
              << "\n";
}

} // namespace saltvane::fleet::test
