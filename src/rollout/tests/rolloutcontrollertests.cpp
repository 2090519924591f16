/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "rollout/irolloutcontroller.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>

namespace saltvane::rollout::test {

namespace {

class RolloutControllerTest : public testing::Test {
protected:
    RolloutControllerTest() { order(model::RolloutPhase::Trial); }

    void order(model::RolloutPhase phase)
    {
        const model::RolloutOrder order {.service = ServiceName("quotes"),
            .version = model::TargetVersion("v2"),
            .phase = phase,
            .timeLimit = TimeLimit};
        controller_->setOrders({&order, 1}, now_);
    }
    struct Counts {
        uint64_t answers = 0;
        uint64_t badAnswers = 0;
        uint64_t trialAnswers = 0;
        uint64_t badTrialAnswers = 0;
    };
    /// Answers after 100 ms, and failed ones.
    static model::AnswerCounts answersOf(uint64_t all, uint64_t failed)
    {
        model::AnswerCounts answers {.failed = failed};
        answers.byTime.resize(model::AnswerCounts::bucketOf(100ms) + 1);
        answers.byTime.back() = static_cast<uint32_t>(all - failed);
        return answers;
    }
    [[nodiscard]] static model::RolloutReport reportOf(
        const std::string& gateway, const Counts& counts, const std::string& route = "read")
    {
        return {.gateway = HostId(gateway),
            .incarnation = {1},
            .service = ServiceName("quotes"),
            .version = model::TargetVersion("v2"),
            .trialSlots = 100,
            .otherSlots = 100,
            .otherVersions = {model::TargetVersion("v1")},
            .routes = {{.route = model::RouteName(route),
                .others = answersOf(counts.answers, counts.badAnswers),
                .trial = answersOf(counts.trialAnswers, counts.badTrialAnswers)}}};
    }
    void report(const model::RolloutReport& report) { controller_->handle(report, now_); }
    void reportSwitched(const std::string& gateway, uint32_t otherInFlight)
    {
        model::RolloutReport report = reportOf(gateway, Good);
        report.isSwitched = true;
        report.otherInFlight = otherInFlight;
        controller_->handle(report, now_);
    }
    /// The phase that is due; no value: none.
    [[nodiscard]] std::optional<model::RolloutPhase> decide()
    {
        const std::vector<RolloutDecision> decisions = controller_->decide(now_);
        if (decisions.empty())
            return std::nullopt;
        EXPECT_EQ(decisions.size(), 1U);
        return decisions.front().phase;
    }

    static constexpr Duration TimeLimit = 20s;
    static constexpr Counts Good {.answers = 5000, .badAnswers = 50, .trialAnswers = 400, .badTrialAnswers = 4};
    Timestamp now_ {100s};
    std::unique_ptr<IRolloutController> controller_ = makeRolloutController();
};

} // namespace

TEST_F(RolloutControllerTest, GoodVersionIsCompletedOnceAllGatewaysHaveSwitched)
{
    controller_->setGateways({HostId("g-1"), HostId("g-2")});
    report(reportOf("g-1", Good));
    EXPECT_EQ(decide(), std::nullopt); // It may turn bad later.
    now_ += TimeLimit / 2;
    EXPECT_EQ(decide(), model::RolloutPhase::Switching);
    order(model::RolloutPhase::Switching);
    EXPECT_EQ(decide(), std::nullopt);
    reportSwitched("g-1", 0);
    reportSwitched("g-2", 1);
    EXPECT_EQ(decide(), std::nullopt); // A request at a target of the other version.
    reportSwitched("g-2", 0);
    EXPECT_EQ(decide(), model::RolloutPhase::Completed);
    const std::vector<RolloutDecision> decisions = controller_->decide(now_);
    EXPECT_EQ(decisions.at(0).otherVersions, std::vector {model::TargetVersion("v1")});
    order(model::RolloutPhase::Completed);
    EXPECT_EQ(decide(), std::nullopt);
}

TEST_F(RolloutControllerTest, VersionThatFailsIsRolledBackAtOnce)
{
    // Spread over many gateways, each with a few requests.
    for (int gateway = 0; gateway < 30; ++gateway)
        report(reportOf("g-" + std::to_string(gateway), {.answers = 20, .trialAnswers = 1, .badTrialAnswers = 1}));
    EXPECT_EQ(decide(), model::RolloutPhase::RolledBack);
}

TEST_F(RolloutControllerTest, VersionThatFailsOnOneRouteOnlyIsRolledBack)
{
    report(reportOf("g-1", {.answers = 50'000, .trialAnswers = 4000}));
    report(reportOf("g-2", {.answers = 300, .trialAnswers = 40, .badTrialAnswers = 20}, "write"));
    EXPECT_EQ(decide(), model::RolloutPhase::RolledBack);
}

TEST_F(RolloutControllerTest, VersionThatTurnsBadWhileTrafficSwitchesIsRolledBack)
{
    report(reportOf("g-1", Good));
    now_ += TimeLimit / 2;
    EXPECT_EQ(decide(), model::RolloutPhase::Switching);
    order(model::RolloutPhase::Switching);
    report(reportOf("g-1", {.answers = 5100, .badAnswers = 51, .trialAnswers = 500, .badTrialAnswers = 60}));
    EXPECT_EQ(decide(), model::RolloutPhase::RolledBack);
}

TEST_F(RolloutControllerTest, VersionThatIsSeveralTimesSlowerIsRolledBack)
{
    for (const auto& [time, phase] : {std::pair {120ms, std::optional<model::RolloutPhase>()},
             std::pair {500ms, std::optional(model::RolloutPhase::RolledBack)}}) {
        controller_ = makeRolloutController();
        order(model::RolloutPhase::Trial);
        model::RolloutReport slow = reportOf("g-1", {.answers = 2000});
        for (int answer = 0; answer < 40; ++answer)
            slow.routes.at(0).trial.add(time);
        report(slow);
        EXPECT_EQ(decide(), phase);
    }
}

/// An object that a target has not warm takes up to three times as long, also where the other versions have all objects
/// warm.
TEST_F(RolloutControllerTest, ColdTargetsAreNotTakenForSlowOnes)
{
    model::RolloutReport cold = reportOf("g-1", {.answers = 2000});
    for (int answer = 0; answer < 200; ++answer)
        cold.routes.at(0).trial.add(answer % 2 == 0 ? 110ms : 270ms);
    report(cold);
    now_ += TimeLimit / 2;
    EXPECT_EQ(decide(), model::RolloutPhase::Switching);
}

/// Guards against blaming the new version for trouble that both versions have, such as a zone that is slow.
TEST_F(RolloutControllerTest, TroubleOfBothVersionsIsNotBlamedOnTheNewOne)
{
    report(reportOf("g-1", {.answers = 3000, .badAnswers = 900, .trialAnswers = 240, .badTrialAnswers = 75}));
    EXPECT_EQ(decide(), std::nullopt);
    now_ += TimeLimit / 2;
    EXPECT_EQ(decide(), model::RolloutPhase::Switching);
}

TEST_F(RolloutControllerTest, WithoutEvidenceItIsRolledBackBeforeItsTimeLimit)
{
    report(reportOf("g-1", {.answers = 3000, .trialAnswers = 5}));
    now_ += TimeLimit / 2;
    EXPECT_EQ(decide(), std::nullopt);
    now_ += TimeLimit * 9 / 20;
    EXPECT_EQ(decide(), model::RolloutPhase::RolledBack);
}

TEST_F(RolloutControllerTest, VersionWithTooFewSlotsDoesNotTakeOver)
{
    model::RolloutReport few = reportOf("g-1", Good);
    few.trialSlots = 60;
    report(few);
    now_ += TimeLimit / 2;
    EXPECT_EQ(decide(), std::nullopt);
    report(reportOf("g-1", Good));
    EXPECT_EQ(decide(), model::RolloutPhase::Switching);
}

/// Guards against a gateway without contact that keeps a rollout from its end.
TEST_F(RolloutControllerTest, GatewaysThatDoNotSwitchInTimeEndTheRollout)
{
    controller_->setGateways({HostId("g-1"), HostId("g-2")});
    report(reportOf("g-1", Good));
    now_ += TimeLimit / 2;
    order(model::RolloutPhase::Switching);
    reportSwitched("g-1", 0);
    EXPECT_EQ(decide(), std::nullopt);
    controller_->setGateways({HostId("g-1")}); // The other one is not in touch any more.
    EXPECT_EQ(decide(), model::RolloutPhase::Completed);
    controller_->setGateways({HostId("g-1"), HostId("g-2")});
    now_ += TimeLimit / 2;
    EXPECT_EQ(decide(), model::RolloutPhase::RolledBack);
}

TEST_F(RolloutControllerTest, RestartedGatewayIsCountedOnce)
{
    report(reportOf("g-1", Good));
    model::RolloutReport restarted = reportOf("g-1", {.answers = 10, .trialAnswers = 4, .badTrialAnswers = 4});
    restarted.incarnation = {2};
    report(restarted);
    report(restarted);
    report(reportOf("g-1", Good)); // Of the incarnation before.
    EXPECT_EQ(decide(), std::nullopt);
    restarted.routes.at(0).trial = answersOf(12, 12);
    report(restarted);
    EXPECT_EQ(decide(), model::RolloutPhase::RolledBack);
}

TEST_F(RolloutControllerTest, ReportsOfAnotherVersionAreIgnored)
{
    model::RolloutReport other = reportOf("g-1", {.answers = 10, .trialAnswers = 100, .badTrialAnswers = 100});
    other.version = model::TargetVersion("v3");
    report(other);
    EXPECT_EQ(decide(), std::nullopt);
}

} // namespace saltvane::rollout::test
