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
    void onLinkUp(const HostId& host, Incarnation incarnation) override;
    void setSeeds(std::vector<HostId> seeds) override { options_.seeds = std::move(seeds); }
    void setState(model::HostState state) override;
    void setIsolated(bool isIsolated) override;
    void tick(Timestamp now) override;
    [[nodiscard]] std::vector<model::OutgoingMessage> drainOutgoing() override;
    [[nodiscard]] std::vector<HostId> controlHosts() const override;
    [[nodiscard]] std::vector<HostId> sameRegionControlHosts() const override;
    [[nodiscard]] std::vector<const RosterEntry*> receivedWithin(Duration age, Timestamp now) const override;
    [[nodiscard]] const RosterEntry* find(const HostId& host) const override;

private:
    void updateEntry(const model::HostRecord& record, Timestamp lastReceivedAt);
    void sendHeartbeat(const HostId& to);
    void sendHeartbeats(const std::vector<HostId>& hosts);
    /// Sends the known control hosts to all other hosts or to those of its own region.
    void sendReports(bool isToAllRegions, Timestamp now);
    [[nodiscard]] bool isInOtherRegion(const HostId& host) const;
    void eraseExpired(Timestamp now);

    HostRosterOptions options_;
    std::map<HostId, RosterEntry> entries_;
    std::vector<model::OutgoingMessage> outgoing_;
    Timestamp nextHeartbeatAt_ {};
    Timestamp nextOtherRegionHeartbeatAt_ {};
    Timestamp nextReportAt_ {};
    Timestamp nextOtherRegionReportAt_ {};
    bool hasNewControlHost_ = true;
};

} // namespace saltvane::membership
