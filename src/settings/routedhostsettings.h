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

/// Names of the HTTP headers used between callers, targets, operators and saltvane (docs/ROUTES.md). A platform that
/// already has headers for these purposes sets their names in the settings.
struct HeaderNames {
    /// Id of one attempt of a caller; forwarded, and echoed by the target.
    std::string requestId = "Saltvane-Request-Id";
    std::string deadline = "Saltvane-Deadline-Ms"; ///< Remaining milliseconds; forwarded after deducting the time used.
    std::string object = "Saltvane-Object"; ///< Identifies the object of a request; targets keep objects warm.
    std::string clientKey = "Saltvane-Client-Key"; ///< From a caller: a key of its client account; never forwarded.
    /// Sent to targets: the client account of the request. If the plan has no accounts, callers may set it themselves.
    /// Requests of two accounts are never treated as the same request.
    std::string clientAccount = "Saltvane-Client-Account";
    std::string expectedTarget = "Saltvane-Expect-Target"; ///< A target with another id answers 421.
    std::string targetId = "Saltvane-Target"; ///< From a target, in its response to a health probe: its id.
    std::string load = "Saltvane-Load"; ///< From a target: running, waiting and slots, separated by commas.
    std::string notRun = "Saltvane-Not-Run"; ///< From a target: it has not run the request.
    /// From a target: requests per second that it accepts from all gateways together, for as long as its responses have
    /// this header.
    std::string limit = "Saltvane-Limit";
    std::string leaving = "Saltvane-Leaving"; ///< From a target: 1 if it is leaving and wants no new work.
    /// From a target, in its response to a health probe: milliseconds until the end of its slow start.
    std::string slowStartLeftMs = "Saltvane-Slow-Start-Left-Ms";
    std::string planBase = "Saltvane-Plan-Base"; ///< Version that a new plan is based on.
};

/// Limit on retries of a service's requests, over all hosts together.
struct RetryLimit {
    double ratio = 0.1; ///< Retries per request.
    double slack = 20; ///< Additional retries per window.
};

/// Requests that a target gets at most in any second of its slow start, from all gateways together, in terms of the
/// rate that the plan states for its service.
struct SlowStartBound {
    double overage = 1.5; ///< Factor of the rate.
    double slack = 5; ///< Additional requests.
};

/// Settings of a host that serves route plans (docs/SETTINGS.md). A gateway forwards requests; a registry host stores
/// the plan, receives the reports of targets and answers look-ups.
struct RoutedHostSettings {
    std::string deployment;
    bool isGateway = false;
    bool isRegistry = false;
    ZoneName zone;
    RegionName region;
    std::map<ZoneName, RegionName> zones; ///< All zones of the deployment.
    model::Address linkAddress; ///< Address at which other hosts reach this one; also its id.
    /// Address on which this host listens for links; differs from linkAddress if something is in between.
    model::Address linkListenAddress;
    std::vector<model::Address> seeds; ///< Link addresses of registry hosts.
    model::Address frontAddress; ///< Gateway: for callers.
    model::Address readinessAddress; ///< Gateway: for readiness checks.
    model::Address controlAddress; ///< Registry: for targets and operators.
    model::Address directoryAddress; ///< Registry: for look-ups of callers.
    model::Address metricsAddress; ///< Port 0: no metrics endpoint.
    std::string dataFolder; ///< Registry only.
    bool isFirstStart = false; ///< First start of the whole deployment, on empty disks.
    std::string linkKey;
    HeaderNames headers;
    RetryLimit retries;
    SlowStartBound slowStart;
    double shiftCap = 0.1; ///< Maximum fraction of a region's requests that may move to other regions within 2 s.
    double rolloutShare = 0.05; ///< Maximum fraction of a service's requests that a new version gets during its trial.
    Duration lookUpTtl = 2s;
    Duration leaveLimit = 2500ms; ///< From acknowledging that a target leaves until it gets no more requests.
    Duration planLimit = 2500ms; ///< From acknowledging a plan until it is in force on all hosts.
    double linkMegabitsPerSecond = 0; ///< Capacity of this host's network link, in Mbit/s; 0: unknown, no limit.
    Limits limits;

    [[nodiscard]] HostId host() const { return HostId(toString(linkAddress)); }
};

[[nodiscard]] Result<RoutedHostSettings, Findings> parseRoutedHostSettings(
    std::string_view text, std::string_view sourceName);

/// Settings of either kind, depending on the roles in the file.
using AnyHostSettings = std::variant<HostSettings, RoutedHostSettings>;
[[nodiscard]] Result<AnyHostSettings, Findings> loadAnyHostSettings(const std::string& path);

} // namespace saltvane::settings
