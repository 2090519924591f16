/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/ihostroster.h"

#include <map>
#include <set>

namespace saltvane::membership {

class HostRoster final : public IHostRoster {
public:
    explicit HostRoster(HostRosterOptions options);

    void handle(const model::Delivery& delivery, Timestamp now) override;
    void noteLinkUp(const HostId& host, Incarnation incarnation) override;
    void setSeeds(std::vector<HostId> seeds) override { options_.seeds = std::move(seeds); }
    void setState(model::HostState state) override;
    void tick(Timestamp now) override;
    [[nodiscard]] std::vector<model::Outgoing> takeOutgoing() override;
    [[nodiscard]] std::vector<HostId> controlHosts() const override;
    [[nodiscard]] std::vector<HostId> nearControlHosts() const override;
    [[nodiscard]] std::vector<const RosterEntry*> heardWithin(Duration age, Timestamp now) const override;
    [[nodiscard]] const RosterEntry* find(const HostId& host) const override;

private:
    void note(const model::HostRecord& record, Timestamp heardAt);
    void sendHeartbeat(const HostId& to);
    void sendHeartbeats(const std::vector<HostId>& hosts);
    /// The control hosts that this one knows, to all others or to those of its region.
    void sendReports(bool isToAll, Timestamp now);
    [[nodiscard]] bool isFar(const HostId& host) const;
    void forget(Timestamp now);

    HostRosterOptions options_;
    std::map<HostId, RosterEntry> entries_;
    std::vector<model::Outgoing> outgoing_;
    Timestamp nextHeartbeatAt_ {};
    Timestamp nextFarHeartbeatAt_ {};
    Timestamp nextReportAt_ {};
    Timestamp nextFarReportAt_ {};
    bool hasNews_ = true;
};

} // namespace saltvane::membership
