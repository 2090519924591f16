/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/igateway.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace saltvane::gateway::test {

/// A gateway in virtual time with the registry, callers and targets played by the test.
class GatewayFixture : public testing::Test {
protected:
    /// Limits of the settings that tests vary.
    struct FixtureOptions {
        Duration leaveLimit = 2500ms;
        Duration planLimit = 2500ms;
    };
    GatewayFixture();
    explicit GatewayFixture(const FixtureOptions& options);

    /// Two services, "quotes" and "files"; routes of every kind at host "prices.example".
    /// `accounts`: the JSON list of client accounts, where the plan has one.
    void installPlan(uint64_t version, const std::string& extraRoutes = {}, const std::string& accounts = {});
    /// The first part of a newer plan; the others don't come.
    void startFetchingPlan(uint64_t version);
    [[nodiscard]] static model::TargetRecord target(
        const std::string& id, const std::string& service = "quotes", const std::string& zone = "north-a");
    void report(model::TargetReport report);
    void reportTargets(std::vector<model::TargetRecord> records);

    struct CallerRequest {
        std::string method = "GET";
        std::string path = "/read/1";
        std::string id = "try-1";
        std::string object = "7";
        std::string deadlineMs = "2000";
        std::string body;
        std::string host = "prices.example";
        std::vector<model::Header> more;
    };
    requests::HttpHandle request(const CallerRequest& caller);
    void abort(requests::HttpHandle handle);
    /// The caller has the whole answer.
    void deliverAnswer(requests::HttpHandle handle);
    struct TargetAnswer {
        int status = 200;
        std::string id = "try-1";
        std::string body = "answer";
        std::vector<model::Header> more;
    };
    void answer(const requests::TargetStart& start, const TargetAnswer& from);
    void fail(const requests::TargetStart& start, bool mayHaveReachedTarget);
    /// It broke off since its target ended; `isKnown`: a new connection was refused at once.
    void endTarget(const requests::TargetStart& start, bool isKnown);
    /// Nothing listens at the address.
    void refuse(const requests::TargetStart& start);
    void deliver(model::Message message);
    /// The registry answers the newest pull: the plan held is the newest, by a proof that old; Duration::max(): no
    /// proof.
    void answerPull(Duration proofAge = 10ms);
    void advance(Duration duration);
    void askToStop();

    /// What the gateway did since the last look.
    [[nodiscard]] std::vector<requests::TargetStart> takeStarts();
    /// The gateway's own questions whether a target is still there.
    [[nodiscard]] std::vector<requests::TargetStart> takeProbes();
    [[nodiscard]] std::optional<requests::HttpRespond> takeResponse();
    [[nodiscard]] size_t takeCancels();
    [[nodiscard]] bool takeStopFinished();
    /// What the registry was told last of requests that end targets.
    [[nodiscard]] std::vector<model::SuspectRequest> told() const { return told_; }
    /// Asks for credits that the registry has got.
    [[nodiscard]] std::vector<model::LimitCreditAsk> takeCreditAsks() { return std::exchange(creditAsks_, {}); }
    /// What the registry was told of limits that targets name, since the last look.
    [[nodiscard]] std::vector<model::BackpressureNotice> takeBackpressure() { return std::exchange(backpressure_, {}); }
    /// Log lines of decisions on requests.
    [[nodiscard]] std::vector<std::string> takeDecisions();
    /// Log lines of anything but requests.
    [[nodiscard]] std::vector<std::string> takeLines();
    [[nodiscard]] static std::string header(const std::vector<model::Header>& headers, const std::string& name);

    /// The registry answers pulls, without a proof, as the next one comes.
    bool areAllPullsAnswered_ = true;
    Timestamp now_ {100s};
    std::unique_ptr<host::IHostCore> gateway_;

private:
    void handle(host::Event event);
    void gather();

    uint64_t lastHandle_ = 0;
    uint64_t position_ = 0;
    std::vector<requests::TargetStart> starts_;
    std::vector<requests::TargetStart> probes_;
    std::vector<requests::HttpRespond> responses_;
    size_t cancels_ = 0;
    bool isStopFinished_ = false;
    std::vector<model::SuspectRequest> told_;
    uint64_t lastPull_ = 0; ///< Number of the gateway's newest pull of the plan.
    uint64_t pullToAnswer_ = 0;
    std::vector<model::LimitCreditAsk> creditAsks_;
    std::vector<model::BackpressureNotice> backpressure_;
    std::vector<std::string> decisions_;
    std::vector<std::string> lines_; ///< All the others.
};

} // namespace saltvane::gateway::test
