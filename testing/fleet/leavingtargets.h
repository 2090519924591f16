/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "registry/tests/registrycluster.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace saltvane::fleet::test {

/// Targets that report to random registry hosts, and announce their leaves until one is acknowledged.
class LeavingTargets {
public:
    /// How a target announces its leave, and what it sends afterwards.
    enum class LeaveKind {
        Report, ///< Reports that it leaves, and goes on reporting so.
        SingleReport, ///< Reports that it leaves, and is silent once that is acknowledged.
        Call, ///< Calls /leave, and is silent from then on.
        CallBetweenReports ///< Calls /leave, and goes on reporting that it is ready.
    };
    /// Where a target states when it started, which is its incarnation.
    enum class StartStatement {
        None,
        Reports, ///< In its reports, not in calls of /leave.
        Everywhere
    };

    LeavingTargets(registry::test::RegistryCluster& registries, size_t count, unsigned int seed);

    /// To be called after each step of virtual time.
    void step();
    void startLeave(size_t target, LeaveKind kind);
    /// A report from before its leave arrives `delay` from now.
    void sendLateReport(size_t target, Duration delay);
    /// Starts a target again, under its id, at another address; it reports to a random registry host from then on.
    void restart(size_t target);
    [[nodiscard]] size_t size() const { return targets_.size(); }
    [[nodiscard]] StartStatement startStatementOf(size_t target) const { return targets_.at(target).startStatement; }
    [[nodiscard]] model::Address addressOf(size_t target) const
    {
        return {.ip = TargetIp, .port = targets_.at(target).port};
    }
    /// Its leave was acknowledged.
    [[nodiscard]] bool hasLeft(size_t target) const { return targets_.at(target).acknowledgedAt.has_value(); }
    /// When the leave of the target's start at this address was acknowledged.
    [[nodiscard]] std::optional<Timestamp> acknowledgedAt(const TargetId& target, const model::Address& address) const;

    /// Called with the registry host that acknowledged a leave.
    std::function<void(size_t registry)> onAcknowledged;

private:
    static constexpr const char* TargetIp = "10.9.0.1";
    struct Call {
        requests::HttpHandle handle;
        size_t registry = 0;
        Timestamp sentAt;
    };
    struct Target {
        std::string id;
        StartStatement startStatement = StartStatement::None;
        uint64_t startedMs = 0;
        uint16_t port = 0;
        size_t registry = 0; ///< The host that it reports to.
        uint64_t sequence = 0;
        Timestamp nextReportAt;
        std::optional<LeaveKind> leave;
        std::optional<Call> leaveCall;
        std::optional<Timestamp> acknowledgedAt;
        std::map<uint16_t, Timestamp> acknowledgedLeaves; ///< Of each start, by its port.
    };
    struct LateReport {
        Timestamp at;
        std::string path;
        std::string body;
    };

    void report(Target& target);
    void advanceLeave(Target& target);
    void callLeave(Target& target, size_t registry);
    [[nodiscard]] static bool leavesByCall(const Target& target);
    [[nodiscard]] static std::string pathOf(const Target& target, const std::string& call);
    [[nodiscard]] std::string reportOf(const Target& target, const std::string& state) const;
    [[nodiscard]] size_t indexOf(const Target& target) const { return static_cast<size_t>(&target - targets_.data()); }
    [[nodiscard]] size_t randomRegistry();
    [[nodiscard]] const Target& find(const TargetId& target) const;

    registry::test::RegistryCluster& registries_;
    std::mt19937 random_;
    std::vector<Target> targets_;
    std::vector<LateReport> lateReports_;
};

} // namespace saltvane::fleet::test
