/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "peernetwork.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

/// Gateways that hand requests to each other while their plans differ.
namespace saltvane::fleet::test {

namespace {

using Json = nlohmann::json;

constexpr Duration StartTimeout = 20s;
constexpr Duration ReportInterval = 1s;
constexpr Duration ProcessingTime = 20ms;
constexpr Duration RequestInterval = 20ms;
constexpr Duration CallTimeout = 400ms;
/// From a plan's acknowledgement until gateways in touch have to act by it.
constexpr Duration PlanLimit = 2500ms;
/// Requests in flight when a version's effect is first seen may still be handled by the one before.
constexpr Duration InFlightTime = 250ms;
constexpr size_t TargetsPerService = 8;
constexpr std::array<const char*, 4> Zones {"north-a", "south-a", "west-a", "north-b"};
constexpr int StatusOk = 200;

Json accountOf(const std::string& name, const std::vector<std::string>& keys)
{
    return {{"name", name}, {"keys", keys}};
}

struct PlanContent {
    std::string service = "old";
    Json accounts = Json::array({accountOf("broker", {"key-a", "key-b"}), accountOf("other", {"key-o"})});
    bool isPublic = false;
};

std::string planText(uint64_t version, const PlanContent& content)
{
    Json plan {{"version", version}, {"client_accounts", content.accounts}};
    for (const char* service : {"old", "new"})
        plan["services"].push_back({{"name", service}, {"probe_path", "/health"}, {"connections", 300},
            {"slow_start_s", 3}, {"slow_start_per_s", 14}});
    Json route {{"name", "read"}, {"host", "prices.example"}, {"path_prefix", "/read/"}, {"kind", "repeatable"},
        {"timeout_ms", 2500}, {"objective_ms", 400}, {"attempts", 2}, {"service", content.service}};
    if (content.isPublic)
        route["public"] = true;
    plan["routes"].push_back(route);
    return plan.dump();
}

/// A run of a request at a target.
struct TargetRun {
    size_t gateway = 0; ///< From which the target got it.
    std::string service;
    std::string account;
};

/// Callers at the first gateway, targets of two services, and a plan that changes while gateways are cut off.
class ForwardedPlanTest : public testing::Test {
protected:
    ForwardedPlanTest()
    {
        fleet_.onAction = [this](size_t gateway, requests::Action& action) { handleAction(gateway, action); };
        (void)fleet_.runUntil([this] { return fleet_.registries().leader().has_value(); }, StartTimeout);
        putPlan({});
        (void)fleet_.runUntil([this] { return fleet_.isPlanInForceEverywhere(1); }, StartTimeout);
        fleet_.onStep = [this] { step(); };
        fleet_.run(8s); // Until the targets are used in full, and gateways know their peers.
    }

    void putPlan(const PlanContent& content)
    {
        ASSERT_TRUE(fleet_.putPlan(version_, planText(version_ + 1, content)));
        ++version_;
        acknowledgedAt_ = now();
    }
    [[nodiscard]] Timestamp now() { return fleet_.registries().now(); }
    /// Callers with these keys send requests to the first gateway.
    void sendWith(std::vector<std::string> keys) { keys_ = std::move(keys); }

    /// Then no request is in flight any more.
    void sendUntilCutEnds()
    {
        fleet_.run(7s);
        sendWith({});
        fleet_.run(700ms);
    }

    struct Request {
        std::string key;
        Timestamp sentAt;
        int status = 0;
        std::vector<TargetRun> runs;
    };
    /// Requests with this key that were sent later than the acknowledgement of the last plan and its limit.
    [[nodiscard]] std::vector<Request> sentAfterLimit(const std::string& key) const
    {
        std::vector<Request> found;
        for (const auto& [id, request] : requests_) {
            if (request.key == key && request.sentAt > acknowledgedAt_ + PlanLimit)
                found.push_back(request);
        }
        return found;
    }
    /// Runs of these requests for other gateways than the first, which are in touch with the registry.
    [[nodiscard]] static std::vector<TargetRun> runsInTouch(const std::vector<Request>& requests)
    {
        std::vector<TargetRun> runs;
        for (const Request& request : requests)
            std::ranges::copy_if(
                request.runs, std::back_inserter(runs), [](const TargetRun& run) { return run.gateway != 0; });
        return runs;
    }
    [[nodiscard]] static double served(const std::vector<Request>& requests)
    {
        const auto count = std::ranges::count(requests, StatusOk, &Request::status);
        return requests.empty() ? 0 : static_cast<double>(count) / static_cast<double>(requests.size());
    }
    /// Requests that the old service ran although they were sent after the new one had run an earlier one.
    [[nodiscard]] size_t runsThatWentBack() const
    {
        if (!newServiceSeenAt_)
            return 0;
        return static_cast<size_t>(std::ranges::count_if(requests_, [&](const auto& item) {
            const Request& request = item.second;
            return request.sentAt > *newServiceSeenAt_ + InFlightTime
                && std::ranges::any_of(request.runs, [](const TargetRun& run) { return run.service == "old"; });
        }));
    }

    Fleet fleet_;
    PeerNetwork peers_ {fleet_};
    std::map<std::string, Request> requests_; ///< By id.
    std::optional<Timestamp> newServiceSeenAt_;

private:
    void step()
    {
        peers_.step();
        reportTargets();
        deliverDue();
        if (keys_.empty() || now() < nextRequestAt_)
            return;
        nextRequestAt_ = now() + RequestInterval;
        for (const std::string& key : keys_)
            sendRequest(key);
    }
    void reportTargets()
    {
        const std::optional<size_t> leader = fleet_.registries().leader();
        if (now() < nextReportAt_ || !leader)
            return;
        nextReportAt_ = now() + ReportInterval;
        ++sequence_;
        for (size_t number = 0; number < 2 * TargetsPerService; ++number) {
            const std::string service = number < TargetsPerService ? "old" : "new";
            const Json report {{"service", service}, {"address", "10.9.0.1:" + std::to_string(9000 + number)},
                {"zone", Zones.at(number % Zones.size())}, {"version", "v1"}, {"slots", 60}, {"state", "ready"},
                {"slow_start_left_ms", 0}, {"sequence", sequence_}};
            const std::string path = "/v1/targets/" + service + "-" + std::to_string(number) + "/heartbeat";
            (void)fleet_.registries().call(*leader, "POST", path, report.dump(), {}, CallTimeout);
        }
    }
    void sendRequest(const std::string& key)
    {
        const std::string id = "try-" + std::to_string(++lastRequest_);
        const requests::HttpHandle handle {lastRequest_};
        requests_[id] = {.key = key, .sentAt = now()};
        callers_[handle] = id;
        fleet_.handle(0,
            requests::HttpEvent(requests::HttpRequestStarted {.handle = handle,
                .method = "GET",
                .path = "/read/" + id,
                .headers = {{.name = "Host", .value = "prices.example"}, {.name = "Saltvane-Request-Id", .value = id},
                    {.name = "Saltvane-Deadline-Ms", .value = "2500"}, {.name = "Saltvane-Client-Key", .value = key}},
                .bodyLength = 0}));
    }
    [[nodiscard]] static std::string headerOf(const std::vector<model::Header>& headers, std::string_view name)
    {
        const auto found = std::ranges::find(headers, name, &model::Header::name);
        return found == headers.end() ? "" : found->value;
    }
    void handleAction(size_t gateway, requests::Action& action)
    {
        if (peers_.handleAction(gateway, action))
            return;
        if (const auto* start = std::get_if<requests::TargetStart>(&action))
            return runAtTarget(gateway, *start);
        if (const auto* response = std::get_if<requests::HttpRespond>(&action)) {
            const auto caller = callers_.find(response->handle);
            if (gateway == 0 && caller != callers_.end())
                requests_[caller->second].status = response->status;
        }
    }
    void runAtTarget(size_t gateway, const requests::TargetStart& start)
    {
        const std::string id = headerOf(start.headers, "Saltvane-Request-Id");
        const std::string target = start.target.value();
        const std::string service = target.substr(0, target.find('-'));
        if (const auto request = requests_.find(id); request != requests_.end()) {
            request->second.runs.push_back({.gateway = gateway,
                .service = service,
                .account = headerOf(start.headers, "Saltvane-Client-Account")});
            if (service == "new" && !newServiceSeenAt_)
                newServiceSeenAt_ = now();
        }
        due_.push_back({.at = now() + ProcessingTime, .gateway = gateway, .dispatch = start.dispatch, .id = id});
    }
    void deliverDue()
    {
        std::vector<Response> ready;
        std::erase_if(due_, [&](const Response& response) {
            if (response.at <= now())
                ready.push_back(response);
            return response.at <= now();
        });
        for (const Response& response : ready) {
            fleet_.handle(response.gateway,
                requests::TargetEvent(requests::TargetResponseHead {.dispatch = response.dispatch,
                    .status = StatusOk,
                    .headers = {{.name = "Saltvane-Request-Id", .value = response.id}},
                    .bodyLength = 0}));
            fleet_.handle(
                response.gateway, requests::TargetEvent(requests::TargetResponseDone {.dispatch = response.dispatch}));
        }
    }

    struct Response {
        Timestamp at;
        size_t gateway = 0;
        requests::DispatchId dispatch;
        std::string id;
    };
    std::vector<Response> due_;
    std::map<requests::HttpHandle, std::string> callers_;
    std::vector<std::string> keys_;
    Timestamp nextRequestAt_ {};
    Timestamp nextReportAt_ {};
    Timestamp acknowledgedAt_ {};
    uint64_t version_ = 0;
    uint64_t sequence_ = 0;
    uint64_t lastRequest_ = 0;
};

} // namespace

// Guards against gateways in touch that run requests whose key was taken away, which a gateway that is cut off hands to
// them; and against callers there whose keys hold and who lose by it.
TEST_F(ForwardedPlanTest, KeyThatWasTakenAwayOpensNoGatewayInTouch)
{
    sendWith({"key-a", "key-b"});
    fleet_.run(1500ms);
    fleet_.cutOffGateway(0, 8s);
    fleet_.run(200ms);
    putPlan({.accounts = Json::array({accountOf("broker", {"key-b"}), accountOf("other", {"key-o"})})});
    sendUntilCutEnds();
    const std::vector<Request> revoked = sentAfterLimit("key-a");
    ASSERT_GT(revoked.size(), 100U);
    EXPECT_EQ(runsInTouch(revoked).size(), 0U) << "of " << revoked.size() << " requests";
    EXPECT_EQ(std::ranges::count(revoked, 503, &Request::status), 0) << "callers are told to come back";
    const std::vector<Request> valid = sentAfterLimit("key-b");
    EXPECT_EQ(served(valid), 1.0);
    EXPECT_GT(runsInTouch(valid).size(), valid.size() / 2);
}

// Guards against requests that run as the account which held their key before.
TEST_F(ForwardedPlanTest, KeyThatMovedRunsAsTheAccountThatHoldsIt)
{
    sendWith({"key-a"});
    fleet_.run(1500ms);
    fleet_.cutOffGateway(0, 8s);
    fleet_.run(200ms);
    putPlan({.accounts = Json::array({accountOf("broker", {"key-b"}), accountOf("other", {"key-o", "key-a"})})});
    sendUntilCutEnds();
    const std::vector<Request> moved = sentAfterLimit("key-a");
    const std::vector<TargetRun> runs = runsInTouch(moved);
    EXPECT_GT(runs.size(), moved.size() / 2);
    EXPECT_EQ(std::ranges::count(runs, "broker", &TargetRun::account), 0);
    EXPECT_EQ(served(moved), 1.0);
}

// Guards against requests that run without a key since their route was public for the gateway that forwards them.
TEST_F(ForwardedPlanTest, RouteThatIsNoLongerPublicNeedsAKey)
{
    putPlan({.isPublic = true});
    fleet_.run(2s);
    sendWith({"key-a", "key-none"});
    fleet_.run(1500ms);
    fleet_.cutOffGateway(0, 8s);
    fleet_.run(200ms);
    putPlan({});
    sendUntilCutEnds();
    EXPECT_EQ(runsInTouch(sentAfterLimit("key-none")).size(), 0U);
    EXPECT_EQ(served(sentAfterLimit("key-a")), 1.0);
}

// Guards against a gateway that has shown a plan's effect and hands requests to a peer with the plan before, which runs
// them at the old service.
TEST_F(ForwardedPlanTest, RequestsDoNotGoBackByPeersWithAnOlderPlan)
{
    sendWith({"key-a"});
    fleet_.run(1500ms);
    constexpr size_t NearestPeer = 3; // Of the same zone.
    fleet_.cutOffGateway(NearestPeer, 9s);
    putPlan({.service = "new"});
    fleet_.run(300ms);
    fleet_.cutOffGateway(0, 8s);
    sendUntilCutEnds();
    ASSERT_TRUE(newServiceSeenAt_);
    EXPECT_EQ(runsThatWentBack(), 0U) << "of " << requests_.size() << " requests";
    EXPECT_EQ(served(sentAfterLimit("key-a")), 1.0);
}

// Guards against a gateway that is cut off and runs requests by its older plan after a peer has answered earlier ones
// by the newer plan.
TEST_F(ForwardedPlanTest, RequestsDoNotGoBackAfterAPeerHasShownTheNewerPlan)
{
    sendWith({"key-a", "key-b"});
    fleet_.run(1500ms);
    fleet_.cutOffGateway(0, 8s);
    fleet_.run(200ms);
    putPlan({.service = "new"});
    sendUntilCutEnds();
    ASSERT_TRUE(newServiceSeenAt_);
    EXPECT_EQ(runsThatWentBack(), 0U) << "of " << requests_.size() << " requests";
    for (const char* key : {"key-a", "key-b"})
        EXPECT_EQ(served(sentAfterLimit(key)), 1.0) << key;
}

} // namespace saltvane::fleet::test
