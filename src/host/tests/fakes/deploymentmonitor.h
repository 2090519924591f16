/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/tests/fakes/fakedeployment.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace saltvane::host::fakes {

struct DeploymentMonitorOptions {
    FakeDeployment* deployment = nullptr; ///< Must outlive the monitor.
    Duration checkInterval = 50ms;
    Duration rowsCheckInterval = 500ms; ///< Between two checks of the rows.
    /// Share of a service's traffic that may move in a cap's window in addition to the cap.
    double shiftTolerance = 0.01;
    /// Time for which a leaving target may still receive new work.
    Duration leavingGracePeriod = 3s;
};

/// Periodically checks the invariants of a running deployment: of bundles, shifts, restarts and targets.
class DeploymentMonitor {
public:
    explicit DeploymentMonitor(DeploymentMonitorOptions options);
    DeploymentMonitor(const DeploymentMonitor&) = delete;
    DeploymentMonitor& operator=(const DeploymentMonitor&) = delete;

    /// Starts the checks; the first bundle must be in force.
    void start();
    /// Runs the last check.
    void finish();
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    [[nodiscard]] std::string text() const;
    /// Largest movement of a service's rows in a window of its cap, over all hosts.
    [[nodiscard]] double maxMovement() const { return maxMovement_; }

private:
    /// What was observed of one host, over all its incarnations.
    struct ObservedHost {
        LogPosition position;
        Incarnation incarnation;
        LogPosition newestAtStart; ///< Newest bundle in force at any host when this incarnation started.
        bool wasCutOffAtStart = false;
        bool isKnown = false;
    };
    struct RowsSample {
        Timestamp when;
        std::vector<model::RouteRow> rows;
    };
    using HostService = std::pair<HostId, ServiceName>;

    void check();
    void checkBundle(FakeHost& host, const HostStatus& status);
    void checkRows(const FakeHost& host, const HostStatus& status);
    void checkRows(const HostId& host, const model::Service& service, const std::vector<model::RouteRow>& rows);
    void checkTargets();
    void addViolation(const std::string& text);
    [[nodiscard]] double movement(const std::vector<model::RouteRow>& before, const std::vector<model::RouteRow>& after,
        const ServiceName& service) const;
    [[nodiscard]] LogPosition newestInForce() const;

    DeploymentMonitorOptions options_;
    FakeDeployment& deployment_;
    std::map<HostId, ObservedHost> observedHosts_;
    std::map<HostService, std::deque<RowsSample>> rows_;
    std::map<TargetId, Timestamp> leavingSince_;
    std::set<std::string> reportedKinds_; ///< Violations up to their colon; each is reported once.
    std::vector<std::string> violations_;
    double maxMovement_ = 0;
    bool isFinished_ = false;
};

} // namespace saltvane::host::fakes
