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

Json wholeReport()
{
    return {{"service", "quotes"}, {"address", "10.9.0.1:9000"}, {"zone", "north-a"}, {"version", "v1"}, {"slots", 3},
        {"state", "ready"}, {"slow_start_left_ms", 0}, {"sequence", 4}, {"started_ms", 1'700'000'000'000}};
}

/// A form that a report of another writer may have.
struct BadReport {
    const char* what;
    std::string body;
};

std::vector<BadReport> badReports()
{
    std::vector<BadReport> reports;
    for (const char* field : {"service", "address", "zone", "slots", "state", "sequence"}) {
        Json less = wholeReport();
        less.erase(field);
        reports.push_back({"a field is missing", less.dump()});
    }
    const Json whole = wholeReport();
    for (const auto& [field, value] : whole.items()) {
        if (field == "version")
            continue;
        for (const Json& other : {Json(nullptr), Json(true), Json::array({1}), Json::object(), Json(-1), Json("x y")}) {
            Json changed = wholeReport();
            changed[field] = other;
            reports.push_back({"a field of another type", changed.dump()});
        }
    }
    const auto with = [&](const char* what, const char* field, const Json& value) {
        Json changed = wholeReport();
        changed[field] = value;
        reports.push_back({what, changed.dump()});
    };
    with("a state that isn't known", "state", "resting");
    with("no slots", "slots", 0);
    with("too many slots", "slots", 4'294'967'296);
    with("a fraction of slots", "slots", 1.5);
    with("a number out of range", "sequence", 1e300);
    with("a start after any time", "started_ms", UINT64_MAX);
    with("a start with a fraction", "started_ms", 1.7e12 + 0.5);
    with("a slow start without an end", "slow_start_left_ms", 1e300);
    with("an address without a port", "address", "10.9.0.1");
    with("an address by name", "address", "localhost:9000");
    with("a port out of range", "address", "10.9.0.1:90000");
    with("an address of great length", "address", std::string(5000, '1') + ":9000");
    with("a service of great length", "service", std::string(5000, 's'));
    with("a service with a slash", "service", "a/b");
    reports.push_back({"a field that stands twice", R"({"slots":3,)" + wholeReport().dump().substr(1)});
    reports.push_back({"cut off", wholeReport().dump().substr(0, 40)});
    reports.push_back({"more after the end", wholeReport().dump() + "}"});
    reports.push_back({"bytes that are no text", "{\"service\":\"\xff\xfe\"}"});
    reports.push_back({"other bytes", std::string("\x00\x01\x02\x80", 4)});
    reports.push_back({"nothing", ""});
    reports.push_back({"a list", "[" + wholeReport().dump() + "]"});
    reports.push_back({"nested deeply", std::string(10'000, '[')});
    reports.push_back({"too large", wholeReport().dump() + std::string(LargestTargetReport, ' ')});
    return reports;
}

int statusOf(const std::optional<RegistryCluster::Answer>& answer) { return answer ? answer->status : 0; }

std::string heartbeatPath(const std::string& target) { return "/v1/targets/" + target + "/heartbeat"; }

} // namespace

TEST(TargetReportTest, AWholeReportIsRead)
{
    const auto record = readTargetHeartbeat(Target, wholeReport().dump());
    ASSERT_TRUE(record);
    EXPECT_EQ(record.value().incarnation.value, 1'700'000'000'000U);
    EXPECT_EQ(record.value().slots, 3U);
    Json untold = wholeReport();
    untold.erase("started_ms");
    untold.erase("slow_start_left_ms");
    ASSERT_TRUE(readTargetHeartbeat(Target, untold.dump()));
    EXPECT_EQ(readTargetHeartbeat(Target, untold.dump()).value().incarnation, Incarnation {});
}

TEST(TargetReportTest, ReportsOfOtherWritersNameNoTarget)
{
    for (const BadReport& report : badReports()) {
        const auto record = readTargetHeartbeat(Target, report.body);
        ASSERT_FALSE(record) << report.what << ": " << report.body.substr(0, 200);
        EXPECT_FALSE(record.error().isEmpty());
    }
    for (const std::string& id : {std::string(), std::string("a b"), std::string("\xff"), std::string(65, 'a')})
        EXPECT_FALSE(readTargetHeartbeat(TargetId(id), wholeReport().dump())) << id;
}

TEST(TargetReportTest, ALeaveMayTellItsStart)
{
    EXPECT_EQ(readTargetLeave(Target, "").value(), Incarnation {});
    EXPECT_EQ(readTargetLeave(Target, R"({"started_ms":5})").value(), Incarnation {5});
    EXPECT_FALSE(readTargetLeave(Target, R"({"started_ms":"5"})"));
    EXPECT_FALSE(readTargetLeave(Target, "\xff"));
    EXPECT_FALSE(readTargetLeave(TargetId(std::string(65, 'a')), ""));
}

// Each is answered with what is wrong with it and counted; the targets that are known stay as they are.
TEST(TargetReportTest, BadReportsCostNoOtherTarget)
{
    RegistryCluster cluster(3);
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1), "0")), 200);
    cluster.gatewayHeartbeat(0, "10.0.1.1:7000", "north-a", "north");
    ASSERT_EQ(statusOf(cluster.call(0, "POST", heartbeatPath("t-1"), heartbeatText(1))), 200);
    cluster.run(300ms);
    (void)cluster.takeSentTo("10.0.1.1:7000");
    for (const BadReport& report : badReports()) {
        const auto answer = cluster.call(0, "POST", heartbeatPath("t-1"), report.body);
        ASSERT_EQ(statusOf(answer), 400) << report.what;
        EXPECT_NE(answer->body.find("findings"), std::string::npos);
    }
    // An address that is a target's, from a writer whose service nobody named.
    Json stranger = Json::parse(heartbeatText(1));
    stranger["service"] = "nobody";
    EXPECT_EQ(statusOf(cluster.call(0, "POST", heartbeatPath("t-2"), stranger.dump())), 400);
    EXPECT_EQ(statusOf(cluster.call(0, "POST", heartbeatPath("%ff%00"), heartbeatText(1))), 400);
    EXPECT_EQ(statusOf(cluster.call(0, "POST", heartbeatPath(std::string(5000, 'x')), heartbeatText(1))), 400);
    EXPECT_EQ(statusOf(cluster.call(0, "PUT", "/v1/evacuations/\xff")), 404);
    cluster.run(300ms);
    for (const model::Message& message : cluster.takeSentTo("10.0.1.1:7000")) {
        const auto* report = std::get_if<model::TargetReport>(&message);
        EXPECT_TRUE(report == nullptr || report->targets.empty());
    }
    EXPECT_EQ(cluster.status(0).targetsKnown, 1U);
}

TEST(TargetReportTest, ATargetOfADroppedServiceIsHeardWhenItLeaves)
{
    RegistryCluster cluster(3);
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", planText(1), "0")), 200);
    const std::optional<size_t> leader = cluster.leader();
    ASSERT_TRUE(leader);
    ASSERT_EQ(statusOf(cluster.call(*leader, "POST", heartbeatPath("t-1"), heartbeatText(1))), 200);
    std::string withoutIt = planText(2);
    for (size_t at = withoutIt.find("quotes"); at != std::string::npos; at = withoutIt.find("quotes"))
        withoutIt.replace(at, std::string_view("quotes").size(), "files");
    ASSERT_EQ(statusOf(cluster.order("PUT", "/v1/plan", withoutIt, "1")), 200);
    EXPECT_EQ(statusOf(cluster.call(*leader, "POST", heartbeatPath("t-1"), heartbeatText(2, "leaving"))), 200);
    EXPECT_EQ(statusOf(cluster.call(*leader, "POST", heartbeatPath("t-2"), heartbeatText(1))), 400);
}

} // namespace saltvane::registry::test
