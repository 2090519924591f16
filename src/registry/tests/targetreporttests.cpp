/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/targetreports.h"
#include "registrycluster.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace saltvane::registry::test {

namespace {

using Json = nlohmann::json;

const TargetId Target("t-1");

Json completeReport()
{
    return {{"service", "quotes"}, {"address", "10.9.0.1:9000"}, {"zone", "north-a"}, {"version", "v1"}, {"slots", 3},
        {"state", "ready"}, {"slow_start_left_ms", 0}, {"sequence", 4}, {"started_ms", 1'700'000'000'000}};
}

/// A malformed report.
struct MalformedReport {
    const char* description;
    std::string body;
};

std::vector<MalformedReport> malformedReports()
{
    std::vector<MalformedReport> reports;
    for (const char* field : {"service", "address", "zone", "slots", "state", "sequence"}) {
        Json incomplete = completeReport();
        incomplete.erase(field);
        reports.push_back({"a field is missing", incomplete.dump()});
    }
    const Json complete = completeReport();
    for (const auto& [field, value] : complete.items()) {
        if (field == "version")
            continue;
        for (const Json& other : {Json(nullptr), Json(true), Json::array({1}), Json::object(), Json(-1), Json("x y")}) {
            Json changed = completeReport();
            changed[field] = other;
            reports.push_back({"a field of a wrong type", changed.dump()});
        }
    }
    const auto with = [&](const char* description, const char* field, const Json& value) {
        Json changed = completeReport();
        changed[field] = value;
        reports.push_back({description, changed.dump()});
    };
    with("an unknown state", "state", "resting");
    with("no slots", "slots", 0);
    with("too many slots", "slots", 4'294'967'296);
    with("a fractional number of slots", "slots", 1.5);
    with("a number out of range", "sequence", 1e300);
    with("a start time out of range", "started_ms", UINT64_MAX);
    with("a fractional start time", "started_ms", 1.7e12 + 0.5);
    with("a slow start of excessive length", "slow_start_left_ms", 1e300);
    with("an address without a port", "address", "10.9.0.1");
    with("a host name as address", "address", "localhost:9000");
    with("a port out of range", "address", "10.9.0.1:90000");
    with("a very long address", "address", std::string(5000, '1') + ":9000");
    with("a very long service", "service", std::string(5000, 's'));
    with("a service with a slash", "service", "a/b");
    reports.push_back({"a duplicate field", R"({"slots":3,)" + completeReport().dump().substr(1)});
    reports.push_back({"truncated", completeReport().dump().substr(0, 40)});
    reports.push_back({"trailing characters", completeReport().dump() + "}"});
    reports.push_back({"invalid UTF-8", "{\"service\":\"\xff\xfe\"}"});
    reports.push_back({"binary data", std::string("\x00\x01\x02\x80", 4)});
    reports.push_back({"an empty body", ""});
    reports.push_back({"a list", "[" + completeReport().dump() + "]"});
    reports.push_back({"deep nesting", std::string(10'000, '[')});
    reports.push_back({"too large", completeReport().dump() + std::string(MaxTargetReportBytes, ' ')});
    return reports;
}

int statusOf(const std::optional<RegistryCluster::Answer>& answer) { return answer ? answer->status : 0; }

std::string heartbeatPath(const std::string& target) { return "/v1/targets/" + target + "/heartbeat"; }

} // namespace

TEST(TargetReportTest, CompleteReportIsParsed)
{
    const auto record = readTargetHeartbeat(Target, completeReport().dump());
    ASSERT_TRUE(record);
    EXPECT_EQ(record.value().incarnation.value, 1'700'000'000'000U);
    EXPECT_EQ(record.value().slots, 3U);
    Json withoutOptionalFields = completeReport();
    withoutOptionalFields.erase("started_ms");
    withoutOptionalFields.erase("slow_start_left_ms");
    ASSERT_TRUE(readTargetHeartbeat(Target, withoutOptionalFields.dump()));
    EXPECT_EQ(readTargetHeartbeat(Target, withoutOptionalFields.dump()).value().incarnation, Incarnation {});
}

TEST(TargetReportTest, MalformedReportsAreRejected)
{
    for (const MalformedReport& report : malformedReports()) {
        const auto record = readTargetHeartbeat(Target, report.body);
        ASSERT_FALSE(record) << report.description << ": " << report.body.substr(0, 200);
        EXPECT_FALSE(record.error().isEmpty());
    }
    for (const std::string& id : {std::string(), std::string("a b"), std::string("\xff"), std::string(65, 'a')})
        EXPECT_FALSE(readTargetHeartbeat(TargetId(id), completeReport().dump())) << id;
}

TEST(TargetReportTest, LeaveMayNameItsIncarnation)
{
    EXPECT_EQ(readTargetLeave(Target, "").value(), Incarnation {});
    EXPECT_EQ(readTargetLeave(Target, R"({"started_ms":5})").value(), Incarnation {5});
    EXPECT_FALSE(readTargetLeave(Target, R"({"started_ms":"5"})"));
    EXPECT_FALSE(readTargetLeave(Target, "\xff"));
    EXPECT_FALSE(readTargetLeave(TargetId(std::string(65, 'a')), ""));
}

// Each malformed report is refused with its findings and counted, and leaves the known targets unchanged.
TEST(TargetReportTest, MalformedReportsDoNotAffectKnownTargets)
{
    RegistryCluster cluster(3);
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1), "0")), 200);
    cluster.gatewayHeartbeat(0, "10.0.1.1:7000", "north-a", "north");
    ASSERT_EQ(statusOf(cluster.call(0, "POST", heartbeatPath("t-1"), heartbeatText(1))), 200);
    cluster.run(300ms);
    (void)cluster.drainSentTo("10.0.1.1:7000");
    for (const MalformedReport& report : malformedReports()) {
        const auto answer = cluster.call(0, "POST", heartbeatPath("t-1"), report.body);
        ASSERT_EQ(statusOf(answer), 400) << report.description;
        EXPECT_NE(answer->body.find("findings"), std::string::npos);
    }
    // A report with the address of a known target and a service that isn't in the plan.
    Json unknownService = Json::parse(heartbeatText(1));
    unknownService["service"] = "nobody";
    EXPECT_EQ(statusOf(cluster.call(0, "POST", heartbeatPath("t-2"), unknownService.dump())), 400);
    EXPECT_EQ(statusOf(cluster.call(0, "POST", heartbeatPath("%ff%00"), heartbeatText(1))), 400);
    EXPECT_EQ(statusOf(cluster.call(0, "POST", heartbeatPath(std::string(5000, 'x')), heartbeatText(1))), 400);
    EXPECT_EQ(statusOf(cluster.call(0, "PUT", "/v1/evacuations/\xff")), 404);
    cluster.run(300ms);
    for (const model::Message& message : cluster.drainSentTo("10.0.1.1:7000")) {
        const auto* report = std::get_if<model::TargetReport>(&message);
        EXPECT_TRUE(report == nullptr || report->targets.empty());
    }
    EXPECT_EQ(cluster.status(0).targetsKnown, 1U);
}

TEST(TargetReportTest, TargetOfRemovedServiceMayStillLeave)
{
    RegistryCluster cluster(3);
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1), "0")), 200);
    const std::optional<size_t> leader = cluster.leader();
    ASSERT_TRUE(leader);
    ASSERT_EQ(statusOf(cluster.call(*leader, "POST", heartbeatPath("t-1"), heartbeatText(1))), 200);
    std::string otherPlan = planText(2);
    for (size_t at = otherPlan.find("quotes"); at != std::string::npos; at = otherPlan.find("quotes"))
        otherPlan.replace(at, std::string_view("quotes").size(), "files");
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", otherPlan, "1")), 200);
    EXPECT_EQ(statusOf(cluster.call(*leader, "POST", heartbeatPath("t-1"), heartbeatText(2, "leaving"))), 200);
    EXPECT_EQ(statusOf(cluster.call(*leader, "POST", heartbeatPath("t-2"), heartbeatText(1))), 400);
}

} // namespace saltvane::registry::test
