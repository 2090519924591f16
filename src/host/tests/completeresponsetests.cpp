/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/servingdeployment.h"

namespace saltvane::host {

using namespace fakes;

namespace {

constexpr size_t LargeResponseBytes = 3 * 1024 * 1024;

HttpCall fileOf(FakeDeployment& deployment, const HostId& host)
{
    return {.host = host,
        .path = "/files/end-of-day",
        .headers = {{"Saltvane-Service", "valuator"}},
        .remoteAddress = "10.20.0.9",
        .oneWayDelay = deployment.clientDelay(RegionName("guayaquil"), host)};
}

std::string largeText()
{
    std::string text;
    while (text.size() < LargeResponseBytes)
        text += "line " + std::to_string(text.size()) + "\n";
    return text;
}

void answerWith(FakeDeployment& deployment, const std::string& text)
{
    for (FakeTarget* target : deployment.targets())
        target->setResponder(
            [text](const requests::TargetStart&, const std::string&) { return TargetResponse {.body = text}; });
}

} // namespace

TEST(CompleteResponseTests, LargeResponseCrossesRegionsComplete)
{
    FakeDeployment deployment({.plan = loadDeploymentPlan(ValoriaFolder)});
    ASSERT_TRUE(deployment.bringUp()) << deployment.describe();
    const std::string text = largeText();
    answerWith(deployment, text);
    const HttpReply reply = deployment.callAndWait(fileOf(deployment, HostId("cue-ricaurte-1")), 60s);
    EXPECT_TRUE(reply.isComplete);
    EXPECT_TRUE(reply.body == text);
}

TEST(CompleteResponseTests, TruncatedResponseNeverLooksComplete)
{
    ServingDeployment serving({});
    for (FakeTarget* target : serving.deployment.targets())
        target->setBehaviour(TargetBehaviour::Truncating);
    serving.run(2s);
    serving.finish();
    EXPECT_GT(serving.load.record().unknown + serving.load.record().broken, 0U) << serving.load.summary();
}

TEST(CompleteResponseTests, LargeResponseOfAKilledTargetIsVisiblyIncomplete)
{
    FakeDeployment deployment({.plan = loadDeploymentPlan(ValoriaFolder)});
    ASSERT_TRUE(deployment.bringUp()) << deployment.describe();
    const std::string text = largeText();
    answerWith(deployment, text);
    HttpReply reply;
    bool isDone = false;
    deployment.http().send(fileOf(deployment, HostId("cue-ricaurte-1")), [&](const HttpReply& received) {
        reply = received;
        isDone = true;
    });
    deployment.time().runFor(200ms);
    ASSERT_FALSE(isDone);
    for (FakeTarget* target : deployment.targets())
        target->kill();
    ASSERT_TRUE(deployment.time().runUntil([&] { return isDone; }, 10s));
    EXPECT_FALSE(reply.isComplete);
    EXPECT_LT(reply.body.size(), text.size());
    EXPECT_TRUE(text.starts_with(reply.body));
}

TEST(CompleteResponseTests, LargeResponseOverACutLinkIsVisiblyIncomplete)
{
    FakeDeployment deployment({.plan = loadDeploymentPlan(ValoriaFolder)});
    ASSERT_TRUE(deployment.bringUp()) << deployment.describe();
    const std::string text = largeText();
    answerWith(deployment, text);
    HttpReply reply;
    bool isDone = false;
    deployment.http().send(fileOf(deployment, HostId("cue-ricaurte-1")), [&](const HttpReply& received) {
        reply = received;
        isDone = true;
    });
    deployment.time().runFor(200ms);
    ASSERT_FALSE(isDone);
    deployment.cutOff(ZoneName("cue-ricaurte"));
    ASSERT_TRUE(deployment.time().runUntil([&] { return isDone; }, 10s));
    EXPECT_FALSE(reply.isComplete);
    EXPECT_TRUE(text.starts_with(reply.body));
}

} // namespace saltvane::host
