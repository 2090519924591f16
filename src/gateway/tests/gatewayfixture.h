/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/igateway.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace saltvane::gateway::test {

/// The registry host from which the fixture's messages come.
inline const HostId Registry("10.0.0.9:7000");

/// A gateway in virtual time; the test acts as the registry, the callers and the targets.
class GatewayFixture : public testing::Test {
protected:
    /// Limits in the settings that tests vary.
    struct FixtureOptions {
        Duration leaveLimit = 2500ms;
        Duration planLimit = 2500ms;
        double rolloutShare = 0.05;
        Duration lookUpTtl = 2s;
        uint64_t memoryBytes = 256ull * 1024 * 1024;
        bool isFirstSeedDown = false; ///< Adds a seed before `Registry` that sends nothing.
    };
    GatewayFixture();
    explicit GatewayFixture(const FixtureOptions& options);

    /// Installs a plan with two services, "quotes" and "files", and routes of every kind at host "prices.example".
    /// `accounts`: JSON list of client accounts, or empty.
    void installPlan(uint64_t version, const std::string& extraRoutes = {}, const std::string& accounts = {});
    /// Delivers only the first part of a newer plan.
    void startFetchingPlan(uint64_t version);
    [[nodiscard]] static model::TargetRecord target(
        const std::string& id, const std::string& service = "quotes", const std::string& zone = "north-a");
    /// Unless the report says otherwise, this is the only gateway.
    void report(model::TargetReport report);
    void reportTargets(std::vector<model::TargetRecord> records);

    struct CallerRequest {
        std::string method = "GET";
        std::string path = "/read/1";
        std::string id = "try-1";
        std::string object = "7";
        std::string deadlineMs = "2000";
        std::string body;
        std::optional<uint64_t> bodyLength; ///< As stated in the head, if it isn't that of `body`.
        bool isChunked = false;
        std::string host = "prices.example";
        std::vector<model::Header> extraHeaders;
    };
    requests::HttpHandle request(const CallerRequest& caller);
    /// The same without its body, which sendRequestBody() sends.
    requests::HttpHandle sendRequestHead(const CallerRequest& caller);
    void sendRequestBody(requests::HttpHandle handle, const std::string& body);
    void sendRequestBodyPart(requests::HttpHandle handle, const std::string& bytes, bool isLast = false);
    void abort(requests::HttpHandle handle);
    /// The caller has received the whole response.
    void deliverResponse(requests::HttpHandle handle);
    struct TargetResponse {
        int status = 200;
        std::string id = "try-1";
        std::string body = "answer";
        std::vector<model::Header> extraHeaders;
        bool isNewConnection = false;
        bool hasSurplus = false; ///< Bytes that no request waited for came before.
    };
    void answer(const requests::TargetStart& start, const TargetResponse& from);
    /// The first parts of a response.
    void sendHead(const requests::TargetStart& start, const std::string& id, std::optional<uint64_t> bodyLength = {});
    void sendBody(const requests::TargetStart& start, size_t bytes);
    void endResponse(const requests::TargetStart& start);
    /// The caller has read some bytes of its response.
    void readResponse(requests::HttpHandle handle, size_t bytes);
    void fail(const requests::TargetStart& start, bool mayHaveReachedTarget);
    /// The request was withheld right before its first byte.
    void withhold(const requests::TargetStart& start, model::Reason reason);
    /// The connection is lost because the target stopped; `isKnown`: a new connection was refused at once.
    void stopTarget(const requests::TargetStart& start, bool isKnown);
    /// The connection is refused because nothing listens at the address.
    void refuse(const requests::TargetStart& start);
    void deliver(model::Message message);
    /// The registry confirms in an answer to the latest pull that the current plan is the newest. `proofAge`: age of
    /// the proof; Duration::max() for none.
    void answerPull(Duration proofAge = 10ms, const LogPosition& orders = {});
    /// Pulls since the last call that asked for the full report of targets and orders.
    [[nodiscard]] size_t takeFullReportRequests() { return std::exchange(fullReportRequests_, 0); }
    void advance(Duration duration);
    void requestStop();

    /// Requests that were sent to targets since the last call.
    [[nodiscard]] std::vector<requests::TargetStart> takeStarts();
    /// Probes that were sent to targets since the last call.
    [[nodiscard]] std::vector<requests::TargetStart> takeProbes();
    [[nodiscard]] std::optional<requests::HttpRespond> takeResponse();
    /// Bytes by which the window of the request's body was widened since the last call.
    [[nodiscard]] uint64_t takeWindow(requests::HttpHandle handle) { return std::exchange(windows_[handle], 0); }
    /// Bodies that were sent to targets since the last call.
    [[nodiscard]] std::vector<requests::TargetRequestBody> takeRequestBodies()
    {
        return std::exchange(requestBodies_, {});
    }
    [[nodiscard]] size_t takeCancels();
    [[nodiscard]] bool takeStopFinished();
    /// Suspect requests in the latest report to the registry.
    [[nodiscard]] std::vector<model::SuspectRequest> reportedSuspects() const { return reportedSuspects_; }
    /// Credit requests to the registry since the last call.
    [[nodiscard]] std::vector<model::LimitCreditAsk> takeCreditRequests() { return std::exchange(creditRequests_, {}); }
    /// Limits of targets named in these requests since the last call.
    [[nodiscard]] std::vector<model::BackpressureNotice> takeTargetLimits() { return std::exchange(targetLimits_, {}); }
    /// Limits of accounts named in these requests since the last call.
    [[nodiscard]] std::vector<model::AccountLimitNotice> takeAccountLimits()
    {
        return std::exchange(accountLimits_, {});
    }
    /// Limits reported to the registry since the last call.
    [[nodiscard]] std::vector<model::BackpressureNotice> takeBackpressure() { return std::exchange(backpressure_, {}); }
    /// Targets that the registry was told are leaving since the last call.
    [[nodiscard]] std::vector<model::TargetIncarnation> takeLeavingNotices()
    {
        return std::exchange(leavingNotices_, {});
    }
    /// Records of targets in their slow start that were sent to the registry since the last call.
    [[nodiscard]] std::vector<model::TargetRecord> takeStatedSlowStarts()
    {
        return std::exchange(statedSlowStarts_, {});
    }
    /// Receivers of reports about rollouts since the last call.
    [[nodiscard]] std::vector<HostId> takeRolloutReceivers() { return std::exchange(rolloutReceivers_, {}); }
    /// Reports about rollouts since the last call.
    [[nodiscard]] std::vector<model::RolloutReport> takeRolloutReports() { return std::exchange(rolloutReports_, {}); }
    /// Log lines of request outcomes.
    [[nodiscard]] std::vector<std::string> takeDecisions();
    /// All other log lines.
    [[nodiscard]] std::vector<std::string> drainLogLines();
    [[nodiscard]] static std::string header(const std::vector<model::Header>& headers, const std::string& name);

    /// Whether the registry answers each pull when the next one arrives, with a proof of this age. The answers don't
    /// confirm the plan.
    bool areAllPullsAnswered_ = true;
    Duration pullProofAge_ = 10ms;
    Timestamp now_ {100s};
    std::unique_ptr<host::IHostCore> gateway_;

private:
    void handle(host::Event event);
    void collectActions();
    void collectMessage(const model::OutgoingMessage& outgoing);

    uint64_t lastHandle_ = 0;
    uint64_t position_ = 0;
    std::vector<requests::TargetStart> starts_;
    std::vector<requests::TargetStart> probes_;
    std::vector<requests::HttpRespond> responses_;
    std::map<requests::HttpHandle, uint64_t> windows_;
    std::vector<requests::TargetRequestBody> requestBodies_;
    size_t cancels_ = 0;
    bool isStopFinished_ = false;
    std::vector<model::SuspectRequest> reportedSuspects_;
    uint64_t lastPull_ = 0; ///< Number of the gateway's latest pull of the plan.
    uint64_t pullToAnswer_ = 0;
    size_t fullReportRequests_ = 0;
    std::vector<HostId> rolloutReceivers_;
    std::vector<model::LimitCreditAsk> creditRequests_;
    std::vector<model::AccountLimitNotice> accountLimits_;
    std::vector<model::BackpressureNotice> targetLimits_;
    std::vector<model::BackpressureNotice> backpressure_;
    std::vector<model::TargetIncarnation> leavingNotices_;
    std::vector<model::TargetRecord> statedSlowStarts_;
    std::vector<model::RolloutReport> rolloutReports_;
    std::vector<std::string> decisions_;
    std::vector<std::string> lines_; ///< All other log lines.
};

} // namespace saltvane::gateway::test
