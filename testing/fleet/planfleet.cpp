/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "planfleet.h"

#include <utility>

namespace saltvane::fleet::test {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusUnknown = 404;
constexpr Duration RequestInterval = 100ms;
constexpr Duration ReportInterval = 3s;
constexpr Duration CallTimeout = 400ms;
constexpr std::array<const char*, 3> Zones {"north-a", "south-a", "west-a"};

/// Successive plans differ in every route.
RouteServices routesOf(uint64_t version)
{
    const size_t count = FleetServices.size();
    RouteServices routes {{"/read/", FleetServices.at(version % count)},
        {"/write/", FleetServices.at((count - version % count) % count)}};
    if (version % 3 != 0)
        routes["/seldom/"] = FleetServices.at((version + 1) % count);
    return routes;
}

} // namespace

PlanFleet::PlanFleet(const FleetOptions& options)
    : fleet_(options)
{
    constexpr Duration StartTimeout = 10s;
    (void)fleet_.runUntil([this] { return registries().leader().has_value(); }, StartTimeout);
    putPlan();
    (void)fleet_.runUntil([this] { return fleet_.isPlanInForceEverywhere(1); }, StartTimeout);
    run(ReportInterval);
}

void PlanFleet::putPlan()
{
    const std::optional<size_t> leader = registries().leader();
    if (!leader)
        return;
    const uint64_t version = version_ + 1;
    ledger_.recordSent(version, registries().now(), routesOf(version));
    const auto answer = registries().call(
        *leader, "PUT", "/v1/plan", makePlan(version, routesOf(version)), std::to_string(version_), CallTimeout);
    if (!answer || answer->status != StatusOk)
        return;
    version_ = version;
    ledger_.recordAcknowledged(version, registries().now());
}

void PlanFleet::reportTargets()
{
    const std::optional<size_t> leader = registries().leader();
    if (registries().now() < nextReportAt_ || !leader)
        return;
    nextReportAt_ = registries().now() + ReportInterval;
    ++sequence_;
    uint16_t port = 9000;
    for (const char* zone : Zones) {
        for (const char* service : FleetServices) {
            const std::string body = R"({"service":")" + std::string(service) + R"(","address":"10.9.0.1:)"
                + std::to_string(++port) + R"(","zone":")" + zone
                + R"(","version":"v1","slots":9,"state":"ready","slow_start_left_ms":0,"sequence":)"
                + std::to_string(sequence_) + "}";
            const std::string path = "/v1/targets/" + std::string(service) + "-" + zone + "/heartbeat";
            (void)registries().call(*leader, "POST", path, body, {}, CallTimeout);
        }
    }
}

void PlanFleet::useAllRoutes()
{
    for (size_t gateway = 0; gateway < fleet_.gateways(); ++gateway) {
        for (const char* route : {"/read/", "/write/", "/seldom/"}) {
            const Fleet::Outcome outcome = fleet_.sendRequest(gateway, route + std::string("1"), "object");
            if (!outcome.target && outcome.status != StatusUnknown)
                continue; // Refused temporarily: the response shows nothing about the plan in use.
            const std::string target = outcome.target ? outcome.target->value() : "";
            uses_.push_back({.sentAt = registries().now(),
                .gateway = "gateway " + std::to_string(gateway),
                .route = route,
                .service = target.substr(0, target.find('-'))});
        }
    }
}

void PlanFleet::run(Duration duration)
{
    for (const Timestamp end = registries().now() + duration; registries().now() < end;) {
        reportTargets();
        fleet_.run(RequestInterval);
        useAllRoutes();
    }
}

} // namespace saltvane::fleet::test
