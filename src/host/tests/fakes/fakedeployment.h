/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/tests/fakes/deploymentplan.h"
#include "host/tests/fakes/fakehost.h"
#include "host/tests/fakes/fakehttp.h"
#include "host/tests/fakes/fakenetwork.h"
#include "host/tests/fakes/faketarget.h"
#include "host/tests/fakes/virtualtime.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace saltvane::host::fakes {

struct FakeDeploymentOptions {
    DeploymentPlan plan;
    uint64_t seed = 1;
    Duration sameZoneDelay = 200us; ///< One-way delay between machines of one zone.
    Duration linkTimeout = 1500ms;
};

/// A complete deployment in virtual time: the hosts and targets of a plan and the network between them.
class FakeDeployment {
public:
    explicit FakeDeployment(FakeDeploymentOptions options);
    FakeDeployment(const FakeDeployment&) = delete;
    FakeDeployment& operator=(const FakeDeployment&) = delete;

    void startHosts();
    void startTargets();
    /// Starts all hosts and targets, puts the plan's first bundle in force and waits until every host serves and every
    /// target is owned.
    [[nodiscard]] bool bringUp(Duration limit = 20s);

    /// Proposes and approves a bundle; true once the leader has answered both requests with 200.
    [[nodiscard]] bool putInForce(const std::string& content, BundleVersion version, Duration limit = 10s);
    /// The newest version in force at any host.
    [[nodiscard]] BundleVersion newestVersion();
    /// Proposes and approves without waiting, and retries until both requests are answered with 200.
    void submit(std::string content, BundleVersion version, std::function<void()> accepted);
    /// The reply to the last propose or approve request.
    [[nodiscard]] const HttpReply& lastOperatorReply() const { return lastOperatorReply_; }
    [[nodiscard]] bool isInForceEverywhere(BundleVersion version);
    [[nodiscard]] bool areAllServing();
    [[nodiscard]] bool areAllTargetsOwned();
    /// The proven control leader; empty while there is none.
    [[nodiscard]] HostId controlLeader();

    /// The state of all hosts and the last refusal of an operator's request, for messages of failed tests.
    [[nodiscard]] std::string describe();

    /// Sends a call and runs virtual time until its reply arrives.
    [[nodiscard]] HttpReply callAndWait(HttpCall call, Duration limit = 30s);
    /// One-way delay from a client region to a host.
    [[nodiscard]] Duration clientDelay(const RegionName& region, const HostId& host) const;
    [[nodiscard]] HttpReply post(const HostId& host, const std::string& path, const std::string& json);
    [[nodiscard]] HttpReply get(const HostId& host, const std::string& path);

    using ZoneCut = std::function<bool(const ZoneName&, const ZoneName&)>;
    using HostCut = std::function<bool(const HostId&, const HostId&)>;
    /// Cuts zones off from each other, for hosts and targets alike; an empty function heals the cuts.
    void cutZones(ZoneCut cut);
    /// Cuts a zone off from all others.
    void cutOff(const ZoneName& zone);
    /// Cuts a host off from all other hosts; it still reaches targets and callers.
    void cutOff(const HostId& host);
    void heal();
    /// True if a cut separates the host from any other host.
    [[nodiscard]] bool isCutOff(const HostId& host) const;

    [[nodiscard]] VirtualTime& time() { return time_; }
    [[nodiscard]] FakeNetwork& network() { return *network_; }
    [[nodiscard]] FakeHttp& http() { return *http_; }
    [[nodiscard]] FakeHost& host(const HostId& id) { return *hosts_.at(id); }
    [[nodiscard]] FakeTarget& target(const TargetId& id) { return *targets_.at(id); }
    [[nodiscard]] std::vector<FakeHost*> hosts();
    [[nodiscard]] std::vector<FakeTarget*> targets();
    [[nodiscard]] std::vector<FakeTarget*> targetsOf(const ServiceName& service);
    [[nodiscard]] const DeploymentPlan& plan() const { return options_.plan; }
    [[nodiscard]] const std::vector<requests::AccessRecord>& accessRecords() const { return access_; }

    /// True if the host has chosen a zone for a request of the service since it started.
    [[nodiscard]] bool hasServed(const HostId& host, const ServiceName& service) const;

    // Checks of invariants.
    [[nodiscard]] uint32_t overfilledTargets(); ///< Targets that ever ran more requests than they have slots.
    [[nodiscard]] uint32_t duplicateRuns(); ///< Idempotency keys that ran more than once, over all targets.
    [[nodiscard]] uint64_t runsOf(const std::string& idempotencyKey);
    [[nodiscard]] uint64_t runsOfCall(const std::string& call); ///< By X-Call.

private:
    void makeHosts();
    void makeTargets();
    [[nodiscard]] Duration zoneDelay(const ZoneName& from, const ZoneName& to) const;
    [[nodiscard]] const ZoneName& zoneOf(const HostId& host) const;
    [[nodiscard]] bool areZonesCut(const ZoneName& first, const ZoneName& second) const;
    void applyCuts();
    void recordAccess(const HostId& id, const requests::AccessRecord& record);
    [[nodiscard]] uint64_t sumOver(std::map<std::string, uint32_t> TargetRecord::*runs, const std::string& name) const;
    void execute(const HostId& host, Incarnation incarnation, requests::Action action);
    [[nodiscard]] bool proposeAndApprove(const std::string& content, BundleVersion version);
    void sendOperatorRequest(HttpCall call, std::function<void()> refused, std::function<void()> accepted);
    [[nodiscard]] std::string proposalJson(const std::string& content, BundleVersion version) const;
    [[nodiscard]] std::string approvalJson(const std::string& content, BundleVersion version) const;

    FakeDeploymentOptions options_;
    VirtualTime time_;
    std::unique_ptr<FakeNetwork> network_;
    std::unique_ptr<FakeHttp> http_;
    std::map<HostId, ZoneName> zones_;
    std::map<HostId, std::unique_ptr<FakeHost>> hosts_;
    std::map<TargetId, std::unique_ptr<FakeTarget>> targets_;
    std::map<model::Address, FakeTarget*> targetsByAddress_;
    std::map<std::pair<HostId, uint64_t>, FakeTarget*> dispatches_;
    ZoneCut zoneCut_;
    HostCut hostCut_;
    std::vector<requests::AccessRecord> access_;
    std::map<std::pair<HostId, ServiceName>, Incarnation> served_; ///< Last incarnation that served.
    HttpReply lastOperatorReply_;
};

} // namespace saltvane::host::fakes
