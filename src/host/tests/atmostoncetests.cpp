/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/servingdeployment.h"

#include <nlohmann/json.hpp>

namespace saltvane::host {

using namespace fakes;

namespace {

/// A correction by a client of Guayaquil, with a key that the given host issued in a look-up.
class Correction {
public:
    Correction(FakeDeployment& deployment, const HostId& issuer)
        : deployment_(deployment)
    {
        const HttpReply reply = deployment.callAndWait({.host = issuer,
            .path = "/v1/entry?service=valuator",
            .remoteAddress = Client,
            .oneWayDelay = deployment.clientDelay(RegionName("guayaquil"), issuer)});
        key = nlohmann::json::parse(reply.body)["token"].get<std::string>() + ".correction";
    }

    [[nodiscard]] HttpCall callAt(const HostId& host) const
    {
        return {.host = host,
            .method = "POST",
            .path = "/nav/fund-7/corrections",
            .headers = {{"Saltvane-Service", "valuator"}, {"Idempotency-Key", key}},
            .body = "12.50",
            .remoteAddress = Client,
            .oneWayDelay = deployment_.clientDelay(RegionName("guayaquil"), host)};
    }

    [[nodiscard]] HttpReply sendAt(const HostId& host) { return deployment_.callAndWait(callAt(host)); }
    [[nodiscard]] uint64_t runs() { return deployment_.runsOf(key); }

    std::string key;

private:
    static inline const std::string Client = "10.20.0.9";
    FakeDeployment& deployment_;
};

const HostId Issuer("gye-urdesa-1");
const HostId Other("uio-cumbaya-1");

void setServiceTime(FakeDeployment& deployment, Duration serviceTime)
{
    for (FakeTarget* target : deployment.targets())
        target->setServiceTime(serviceTime);
}

} // namespace

TEST(AtMostOnceTests, ResendAtAnotherHostWaitsForTheFirstResponse)
{
    ServingDeployment serving({.requestsPerSecond = 20});
    setServiceTime(serving.deployment, 400ms);
    Correction correction(serving.deployment, Issuer);
    HttpReply first;
    serving.deployment.http().send(correction.callAt(Issuer), [&](const HttpReply& reply) { first = reply; });
    serving.run(150ms);
    const HttpReply second = correction.sendAt(Other);
    serving.run(1s);
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(second.status, 200) << second.body;
    EXPECT_EQ(second.body, first.body);
    EXPECT_EQ(correction.runs(), 1U);
    serving.finish();
}

TEST(AtMostOnceTests, RestartedIssuerNeverRunsAKeyOfItsEarlierIncarnation)
{
    ServingDeployment serving({.requestsPerSecond = 20});
    setServiceTime(serving.deployment, 300ms);
    Correction correction(serving.deployment, Issuer);
    serving.deployment.http().send(correction.callAt(Issuer), [](const HttpReply&) {});
    serving.run(200ms);
    serving.deployment.host(Issuer).kill();
    serving.run(100ms);
    const HttpReply whileDown = correction.sendAt(Other);
    EXPECT_EQ(whileDown.header("Saltvane-Outcome"), "unknown") << whileDown.body;
    serving.deployment.host(Issuer).start();
    ASSERT_TRUE(serving.deployment.time().runUntil([&] { return serving.deployment.areAllServing(); }, 5s));
    for (const HostId& host : {Issuer, Other}) {
        const HttpReply reply = correction.sendAt(host);
        EXPECT_EQ(reply.header("Saltvane-Outcome"), "unknown") << reply.body;
        EXPECT_EQ(reply.header("Saltvane-Reason"), "minter-gone") << reply.body;
    }
    EXPECT_EQ(correction.runs(), 1U);
    serving.finish();
}

TEST(AtMostOnceTests, RunWhoseOwnerDiedIsNotRunAgain)
{
    ServingDeployment serving({.requestsPerSecond = 20});
    setServiceTime(serving.deployment, 500ms);
    Correction correction(serving.deployment, Other);
    HttpReply first;
    serving.deployment.http().send(correction.callAt(Other), [&](const HttpReply& reply) { first = reply; });
    ASSERT_TRUE(serving.deployment.time().runUntil([&] { return correction.runs() == 1; }, 2s, 1ms));
    for (FakeTarget* target : serving.deployment.targets()) {
        if (target->record().runsByKey.contains(correction.key))
            serving.deployment.host(target->leaseOwner()).kill(true);
    }
    serving.run(4s);
    EXPECT_EQ(first.header("Saltvane-Outcome"), "unknown") << first.status << first.body;
    EXPECT_EQ(correction.sendAt(Other).header("Saltvane-Outcome"), "unknown");
    EXPECT_EQ(correction.runs(), 1U);
    serving.finish();
}

TEST(AtMostOnceTests, CallerMadeKeysRunOnceWhileControlHostsFail)
{
    ServingDeployment serving({.requestsPerSecond = 20});
    FakeDeployment& deployment = serving.deployment;
    CallerLoad claims({.deployment = &deployment,
        .requestsPerSecond = 60,
        .tokenKeyPercent = 0,
        .ownKeyPercent = 100,
        .name = "claims"});
    claims.start();
    serving.run(1s);
    const HostId leader = deployment.controlLeader();
    deployment.host(leader).kill();
    serving.run(3s);
    deployment.host(leader).start();
    serving.run(2s);
    const HostId next = deployment.controlLeader();
    ASSERT_FALSE(next.isEmpty());
    deployment.cutOff(next);
    serving.run(3s);
    deployment.heal();
    serving.run(2s);
    claims.finish();
    EXPECT_EQ(claims.violations(), "");
    EXPECT_GT(claims.record().answered, 200U) << claims.summary();
    serving.finish();
}

TEST(AtMostOnceTests, ResentRequestsRunOnceWhileEveryHostRestartsInTurn)
{
    ServingDeployment serving({.folder = MagnoliaFolder, .requestsPerSecond = 50});
    FakeDeployment& deployment = serving.deployment;
    setServiceTime(deployment, 60ms);
    CallerLoad changes({.deployment = &deployment,
        .requestsPerSecond = 150,
        .tokenKeyPercent = 95,
        .ownKeyPercent = 5,
        .name = "changes"});
    changes.start();
    for (FakeHost* host : deployment.hosts()) {
        host->kill();
        serving.run(400ms);
        host->start();
        serving.run(800ms);
    }
    changes.finish();
    EXPECT_EQ(changes.violations(), "");
    EXPECT_GT(changes.record().resends, 0U);
    serving.finish();
}

} // namespace saltvane::host
