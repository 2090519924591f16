/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/rollouttable.h"
#include "gatewayfixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

/// Rollouts at a gateway: which targets get its requests, and how many.
namespace saltvane::gateway::test {

namespace {

const ServiceName Service("quotes");
const model::TargetVersion Former("v1");
const model::TargetVersion New("v2");

class RolloutTest : public GatewayFixture {
protected:
    explicit RolloutTest(const FixtureOptions& options = {.rolloutShare = 0.1})
        : GatewayFixture(options)
    {
        installPlan(1);
        report({.targets = {ofVersion("old-1", Former), ofVersion("old-2", Former)}});
        advance(5s);
        answerPull();
    }
    static model::TargetRecord ofVersion(const std::string& id, const model::TargetVersion& version)
    {
        model::TargetRecord record = target(id);
        record.version = version;
        record.slots = 1000;
        return record;
    }
    void order(model::RolloutPhase phase, std::vector<model::TargetVersion> excluded = {})
    {
        report({.orders = {.term = {1}, .index = {++lastOrder_}},
            .rollouts = {{.service = Service,
                .version = New,
                .phase = phase,
                .timeLimit = 20s,
                .excluded = std::move(excluded)}}});
    }
    void addNewTargets() { reportTargets({ofVersion("new-1", New), ofVersion("new-2", New)}); }
    /// Sends requests for different objects, which are answered with `status`. Returns how many went to each target.
    std::map<std::string, size_t> sendRequests(size_t count, int status = 200)
    {
        std::map<std::string, size_t> byTarget;
        for (size_t number = 0; number < count; ++number) {
            const std::string id = "try-" + std::to_string(++lastRequest_);
            request({.id = id, .object = std::to_string(lastRequest_)});
            for (const requests::TargetStart& start : takeStarts()) {
                ++byTarget[start.target.value()];
                answer(start, {.status = status, .id = id});
            }
            (void)takeResponse();
        }
        return byTarget;
    }
    static size_t toNew(std::map<std::string, size_t> byTarget) { return byTarget["new-1"] + byTarget["new-2"]; }

    uint64_t lastOrder_ = 0;
    uint64_t lastRequest_ = 0;
};

const HostId FirstSeed("10.0.0.8:7000");

/// A gateway with two seeds, of which the first sends nothing.
class RolloutReportTest : public RolloutTest {
protected:
    RolloutReportTest()
        : RolloutTest({.rolloutShare = 0.1, .isFirstSeedDown = true})
    {
    }
    /// Receivers of the reports of a trial, while the other seed responds.
    std::vector<HostId> receiversOfReports(Duration duration)
    {
        order(model::RolloutPhase::Trial);
        addNewTargets();
        (void)takeRolloutReceivers();
        for (Duration passed {}; passed < duration; passed += 1s) {
            deliver(model::Heartbeat {.record = registryRecord()});
            advance(1s);
        }
        return takeRolloutReceivers();
    }

private:
    model::HostRecord registryRecord()
    {
        return {.host = Registry,
            .incarnation = {1},
            .sequence = ++lastSequence_,
            .zone = ZoneName("north-a"),
            .region = RegionName("north"),
            .linkAddress = {.ip = "10.0.0.9", .port = 7000},
            .isControl = true,
            .state = model::HostState::Serving};
    }

    uint64_t lastSequence_ = 0;
};

} // namespace

TEST_F(RolloutTest, TrialGetsAtMostItsShareOfTheRequests)
{
    order(model::RolloutPhase::Trial);
    addNewTargets();
    size_t sent = 0;
    size_t toNewVersion = 0;
    for (int round = 0; round < 20; ++round) {
        toNewVersion += toNew(sendRequests(50));
        sent += 50;
        EXPECT_LE(static_cast<double>(toNewVersion), 0.1 * static_cast<double>(sent));
    }
    EXPECT_GE(static_cast<double>(toNewVersion), 0.06 * static_cast<double>(sent));
}

/// Guards against requests to a version whose order is still on its way, for targets that report before it.
TEST_F(RolloutTest, TargetsOfANewVersionWaitForAnOrder)
{
    addNewTargets();
    EXPECT_EQ(toNew(sendRequests(100)), 0U);
    order(model::RolloutPhase::Trial);
    EXPECT_LE(toNew(sendRequests(100)), 10U);
}

TEST_F(RolloutTest, VersionWithoutARolloutServesAfterAWhile)
{
    addNewTargets();
    advance(4s);
    answerPull();
    EXPECT_GT(toNew(sendRequests(100)), 20U);
}

TEST_F(RolloutTest, SwitchMovesAllRequestsToTheNewVersionStepByStep)
{
    order(model::RolloutPhase::Trial);
    addNewTargets();
    order(model::RolloutPhase::Switching);
    advance(1s);
    const size_t half = toNew(sendRequests(200));
    EXPECT_GT(half, 50U);
    EXPECT_LT(half, 150U);
    advance(1200ms);
    EXPECT_EQ(toNew(sendRequests(200)), 200U);
    order(model::RolloutPhase::Completed, {Former});
    EXPECT_EQ(toNew(sendRequests(200)), 200U);
}

TEST_F(RolloutTest, RolledBackVersionGetsNothing)
{
    order(model::RolloutPhase::Trial);
    addNewTargets();
    order(model::RolloutPhase::RolledBack, {New});
    advance(10s);
    answerPull();
    EXPECT_EQ(toNew(sendRequests(200)), 0U);
}

TEST_F(RolloutTest, TrialEndsAtAGatewayThatIsCutOff)
{
    order(model::RolloutPhase::Trial);
    addNewTargets();
    areAllPullsAnswered_ = false;
    EXPECT_GT(toNew(sendRequests(100)), 0U);
    advance(4s);
    EXPECT_EQ(toNew(sendRequests(200)), 0U);
}

TEST_F(RolloutTest, NewVersionServesWhereNoOtherTargetIsLeft)
{
    order(model::RolloutPhase::Trial);
    addNewTargets();
    report({.orders = {.term = {1}, .index = {lastOrder_}},
        .retired = {{.target = TargetId("old-1")}, {.target = TargetId("old-2")}}});
    EXPECT_EQ(toNew(sendRequests(50)), 50U);
}

// Guards against reports that all go to a registry host that is down, so that a bad version is not rolled back.
TEST_F(RolloutReportTest, ReportsReachRegistryHostsThatRespondWhileTheFirstSeedIsDown)
{
    EXPECT_GE(std::ranges::count(receiversOfReports(4s), Registry), 4);
}

// Guards against reports that all go to a registry host that responds and knows no leader to forward them to.
TEST_F(RolloutReportTest, ReportsReachEachRegistryHost)
{
    EXPECT_GE(std::ranges::count(receiversOfReports(4s), FirstSeed), 2);
}

TEST_F(RolloutTest, ReportsCountTheAnswersOfBothVersions)
{
    order(model::RolloutPhase::Trial);
    addNewTargets();
    (void)sendRequests(100);
    const size_t toNewVersion = toNew(sendRequests(100, 500));
    advance(1s);
    const std::vector<model::RolloutReport> reports = takeRolloutReports();
    ASSERT_FALSE(reports.empty());
    const model::RolloutReport& report = reports.back();
    EXPECT_EQ(report.trialSlots, 2000U);
    EXPECT_EQ(report.otherSlots, 2000U);
    EXPECT_EQ(report.otherVersions, std::vector {Former});
    ASSERT_EQ(report.routes.size(), 1U);
    EXPECT_EQ(report.routes[0].others.total() + report.routes[0].trial.total(), 200U);
    EXPECT_EQ(report.routes[0].trial.failed, toNewVersion);
    EXPECT_EQ(report.routes[0].others.failed, 100 - toNewVersion);
}

/// Guards against a trial whose share is used up by requests that were withheld.
TEST(RolloutTableTest, WithheldRequestsUseNoneOfTheShare)
{
    const model::RolloutOrder order {.service = Service, .version = New, .timeLimit = 20s};
    RolloutTable table;
    table.setShare(0.5);
    table.apply({&order, 1}, Timestamp(1s));
    const auto mayUseTrial = [&] { return table.mayUseTrial(Service, 1, true, Timestamp(2s)); };
    table.recordSent(Service, VersionRole::Serving);
    table.recordSent(Service, VersionRole::Serving);
    EXPECT_TRUE(mayUseTrial());
    table.recordSent(Service, VersionRole::Trial);
    EXPECT_FALSE(mayUseTrial());
    table.recordWithheld(Service, VersionRole::Trial);
    EXPECT_TRUE(mayUseTrial());
}

/// The bound holds over any number of gateways, since each holds it for its own requests.
TEST(RolloutTableTest, TrialShareHoldsOverAnyNumberOfGateways)
{
    const model::RolloutOrder order {.service = Service, .version = New, .timeLimit = 20s};
    constexpr double Share = 0.08;
    constexpr size_t RequestsPerGateway = 60;
    for (const size_t gateways : {10U, 100U, 1000U, 2000U}) {
        size_t sent = 0;
        size_t toNewVersion = 0;
        for (size_t gateway = 0; gateway < gateways; ++gateway) {
            RolloutTable table;
            table.setShare(Share);
            table.apply({&order, 1}, Timestamp(1s));
            for (size_t number = 0; number < RequestsPerGateway; ++number) {
                const bool isTrial = table.mayUseTrial(Service, number, true, Timestamp(2s));
                table.recordSent(Service, isTrial ? VersionRole::Trial : VersionRole::Serving);
                ++sent;
                toNewVersion += isTrial ? 1 : 0;
            }
        }
        EXPECT_LE(static_cast<double>(toNewVersion), Share * static_cast<double>(sent)) << gateways;
        EXPECT_GE(static_cast<double>(toNewVersion), Share * static_cast<double>(sent) / 2) << gateways;
    }
}

TEST(RolloutTableTest, TrialEndsWithItsTimeLimitWhateverReportsSay)
{
    model::RolloutOrder order {.service = Service, .version = New, .timeLimit = 5s};
    RolloutTable table;
    table.setShare(1);
    table.apply({&order, 1}, Timestamp(1s));
    table.recordSent(Service, VersionRole::Serving);
    EXPECT_TRUE(table.mayUseTrial(Service, 1, true, Timestamp(5s)));
    order.timeLimit = 60s; // Of a control host that was restarted.
    table.apply({&order, 1}, Timestamp(5s));
    EXPECT_FALSE(table.mayUseTrial(Service, 1, true, Timestamp(7s)));
}

TEST(RolloutTableTest, AnswersOfManyRoutesAreReportedWithinABound)
{
    const model::RolloutOrder order {.service = Service, .version = New, .timeLimit = 20s};
    RolloutTable table;
    table.apply({&order, 1}, Timestamp(1s));
    constexpr size_t Routes = 19'000;
    for (size_t number = 0; number < Routes; ++number)
        table.recordAnswer({.service = Service, .route = model::RouteName("r-" + std::to_string(number))});
    const std::vector<model::RolloutReport> reports = table.drainReports(Timestamp(2s));
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_LE(reports[0].routes.size(), 65U);
    uint64_t answers = 0;
    for (const model::RolloutRouteCounts& counts : reports[0].routes)
        answers += counts.others.total();
    EXPECT_EQ(answers, Routes);
}

} // namespace saltvane::gateway::test
