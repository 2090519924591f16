/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/finding.h"
#include "base/result.h"
#include "control/controltypes.h"
#include "model/targetmessages.h"
#include "requests/exchangetypes.h"
#include "settings/routedhostsettings.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

/// The registry's HTTP interface (docs/ROUTES.md): parses calls into typed requests and builds the responses.
namespace saltvane::registry {

struct LookUpCall {
    std::string zone;
    std::string region;
};
struct TargetHeartbeatCall {
    TargetId target;
};
struct TargetLeaveCall {
    TargetId target;
};
struct ReplacePlanCall {
    BundleVersion base;
};
struct ReadPlanCall { };
struct EvacuationCall {
    ZoneName zone;
    bool isEvacuated = false;
};
struct StartRolloutCall { };
struct RolloutStatusCall {
    ServiceName service;
};
struct StatusCall { };
struct UnknownCall { };
using Call = std::variant<LookUpCall, TargetHeartbeatCall, TargetLeaveCall, ReplacePlanCall, ReadPlanCall,
    EvacuationCall, StartRolloutCall, RolloutStatusCall, StatusCall, UnknownCall>;

/// Considers method, path and headers only; the body comes later.
[[nodiscard]] Call readCall(const requests::HttpRequestStarted& request, const settings::HeaderNames& headers);
/// The version named in a plan's text, which is not validated; 0 where there is none.
[[nodiscard]] BundleVersion uncheckedVersion(std::string_view plan);
/// The services named in a plan's text, which is not validated.
[[nodiscard]] std::set<ServiceName> uncheckedServices(std::string_view plan);

/// The body of an order to start a rollout.
[[nodiscard]] Result<control::StartRollout, Findings> readRolloutOrder(std::string_view body);

[[nodiscard]] requests::HttpRespond jsonAnswer(requests::HttpHandle handle, int status, std::string body);
[[nodiscard]] requests::HttpRespond errorAnswer(requests::HttpHandle handle, int status, std::string_view message);
[[nodiscard]] requests::HttpRespond findingsAnswer(requests::HttpHandle handle, const std::vector<Finding>& findings);
/// 503 with a Retry-After header.
[[nodiscard]] requests::HttpRespond unavailableAnswer(requests::HttpHandle handle, std::string_view message);
[[nodiscard]] requests::HttpRespond redirectAnswer(
    requests::HttpHandle handle, const model::Address& address, std::string_view path);

} // namespace saltvane::registry
