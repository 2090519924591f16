/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/statusapi.h"

#include "host/internal/milliseconds.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace saltvane::host {

namespace {

using Json = nlohmann::ordered_json;

std::string_view nameOf(model::HostState state)
{
    switch (state) {
    case model::HostState::Joining:
        return "joining";
    case model::HostState::Serving:
        return "serving";
    case model::HostState::Leaving:
        return "leaving";
    }
    return "unknown";
}

Json toJson(const LogPosition& position) { return {{"term", position.term.value}, {"index", position.index.value}}; }

Json toJson(const ZoneStatus& zone)
{
    return {{"zone", zone.zone.value()}, {"service", zone.service.value()}, {"open_share", zone.openShare},
        {"room", zone.room}, {"in_flight", zone.inFlight}, {"queued", zone.queued}};
}

Json toJson(const model::HostRecord& record)
{
    return {{"host", record.host.value()}, {"incarnation", record.incarnation.value}, {"zone", record.zone.value()},
        {"region", record.region.value()}, {"state", nameOf(record.state)},
        {"address", model::toString(record.entryAddress)}, {"is_control", record.isControl},
        {"is_control_leader", record.isControlLeader}, {"bundle_version", record.inForceVersion.value},
        {"in_force", toJson(record.inForce)}};
}

Json toJson(const model::RouteRow& row)
{
    Json zones = Json::array();
    for (size_t i = 0; i < row.zones.size() && i < row.shares.size(); ++i)
        zones.push_back({{"zone", row.zones[i].value()}, {"share", row.shares[i]}});
    return {{"service", row.service.value()}, {"region", row.region.value()}, {"zones", zones}};
}

template <typename Row> Json toJsonList(const std::vector<Row>& rows)
{
    Json list = Json::array();
    for (const Row& row : rows)
        list.push_back(toJson(row));
    return list;
}

template <size_t Size> Json countsByReason(const std::array<uint64_t, Size>& counts)
{
    Json byReason = Json::object();
    for (size_t i = 0; i < Size; ++i) {
        if (counts[i] > 0)
            byReason[std::string(model::toString(static_cast<model::Reason>(i)))] = counts[i];
    }
    return byReason;
}

} // namespace

ApiResponse answerHealth(const HostStatus& status)
{
    if (status.state == model::HostState::Serving)
        return makeResponse(200, {{"state", "serving"}, {"is_cut_off", status.isCutOff}});
    return makeResponse(503, {{"error", "not-serving"}, {"state", nameOf(status.state)}});
}

ApiResponse answerStatus(const HostStatus& status, const model::Counters& counters)
{
    Json body;
    body["host"] = status.host.value();
    body["incarnation"] = status.incarnation.value;
    body["state"] = nameOf(status.state);
    body["is_cut_off"] = status.isCutOff;
    body["state_age_ms"] = toMilliseconds(status.stateAge);
    body["control"] = {{"leader", status.controlLeader.value()}, {"is_leader", status.isControlLeader},
        {"is_current", status.isControlCurrent}};
    body["bundle_version"] = status.inForceVersion.value;
    body["in_force"] = toJson(status.inForce);
    Json progress = Json::object();
    for (size_t i = 0; i < status.services.size() && i < status.shiftProgress.size(); ++i)
        progress[status.services[i].value()] = status.shiftProgress[i];
    body["shift_progress"] = progress;
    body["requests_in_flight"] = status.requestsInFlight;
    body["dispatches_in_flight"] = status.dispatchesInFlight;
    body["zones"] = toJsonList(status.zones);
    body["hosts"] = toJsonList(status.hosts);
    body["rows"] = toJsonList(status.rows);
    body["refusals"] = countsByReason(counters.refusals);
    body["retries"] = countsByReason(counters.retries);
    body["unknowns"] = countsByReason(counters.unknowns);
    return makeResponse(200, body);
}

} // namespace saltvane::host
