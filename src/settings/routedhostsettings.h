/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/finding.h"
#include "base/ids.h"
#include "base/result.h"
#include "base/timetypes.h"
#include "model/hostmessages.h"
#include "settings/hostsettings.h"

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace saltvane::settings {

/// Names of the headers that carry what a deployment's callers, targets and operators tell each other. The defaults
/// are saltvane's own (docs/ROUTES.md); a platform that has others names them here.
struct HeaderNames {
    std::string requestId = "Saltvane-Request-Id"; ///< Of one try of a caller; handed on and echoed by the target.
    std::string deadline = "Saltvane-Deadline-Ms"; ///< Milliseconds left; handed on less what is used up.
    std::string object = "Saltvane-Object"; ///< Equal for requests about one object; targets keep objects warm.
    std::string clientKey = "Saltvane-Client-Key"; ///< Of a caller: a key of its client account; never handed on.
    /// Told to targets: whose request it is. Where the plan names no accounts, callers may say so themselves; requests
    /// of two accounts are never taken for the same.
    std::string clientAccount = "Saltvane-Client-Account";
    std::string expectedTarget = "Saltvane-Expect-Target"; ///< Any other target answers 421.
    std::string targetId = "Saltvane-Target"; ///< Of a target's answer to a probe: its id.
    std::string load = "Saltvane-Load"; ///< Of a target: running, waiting and slots, joined by commas.
    std::string notRun = "Saltvane-Not-Run"; ///< Of a target: it has not run the request.
    /// Of a target: requests a second that it takes of all gateways together, as long as its answers say so.
    std::string limit = "Saltvane-Limit";
    std::string leaving = "Saltvane-Leaving"; ///< Of a target: 1, it leaves and wants no new work.
    std::string planBase = "Saltvane-Plan-Base"; ///< Version that a new plan builds on.
};

/// What all hosts together may spend on repeats of a service's requests.
struct RetryLimit {
    double ratio = 0.1; ///< Repeats per request.
    double slack = 20; ///< Repeats in a window beyond that.
};

/// Settings of a host that serves route plans: a gateway carries requests, a registry host holds the plan, hears the
/// targets and answers look-ups. docs/SETTINGS.md
struct RoutedHostSettings {
    std::string deployment;
    bool isGateway = false;
    bool isRegistry = false;
    ZoneName zone;
    RegionName region;
    std::map<ZoneName, RegionName> zones; ///< Of the whole deployment.
    model::Address linkAddress; ///< By which other hosts reach this one; also its id.
    model::Address linkListenAddress; ///< Where this host listens for them; differs where something stands in between.
    std::vector<model::Address> seeds; ///< Link addresses of registry hosts.
    model::Address frontAddress; ///< Gateway: callers.
    model::Address readinessAddress; ///< Gateway: readiness checks.
    model::Address controlAddress; ///< Registry: targets and operators.
    model::Address directoryAddress; ///< Registry: callers' look-ups.
    model::Address metricsAddress; ///< Port 0: none.
    std::string dataFolder; ///< Registry.
    bool isFirstStart = false; ///< Of the whole deployment, on empty disks.
    std::string linkKey;
    HeaderNames headers;
    RetryLimit retries;
    double shiftCap = 0.1; ///< Most of a region's requests that may change region within two seconds.
    Duration lookUpTtl = 2s;
    Duration leaveLimit = 2500ms; ///< From the acknowledgement that a target leaves until it gets nothing more.
    Duration planLimit = 2500ms; ///< From a plan's acknowledgement until it is in force everywhere.
    double linkMegabits = 0; ///< Of this host's network link, a second; 0: unknown, and no limit.
    Limits limits;

    [[nodiscard]] HostId host() const { return HostId(toString(linkAddress)); }
};

[[nodiscard]] Result<RoutedHostSettings, Findings> parseRoutedHostSettings(
    std::string_view text, std::string_view sourceName);

/// Of either kind, by the roles that the file names.
using AnyHostSettings = std::variant<HostSettings, RoutedHostSettings>;
[[nodiscard]] Result<AnyHostSettings, Findings> loadAnyHostSettings(const std::string& path);

} // namespace saltvane::settings
