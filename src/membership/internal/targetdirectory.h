/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/internal/ownerchoice.h"
#include "membership/internal/targetentry.h"

#include <map>

namespace saltvane::membership {

/// Holds, offers and hands over leases of targets; docs/design/0001-ownership-leases.md.
class TargetDirectory final : public ITargetDirectory {
public:
    explicit TargetDirectory(const TargetDirectoryOptions& options);

    [[nodiscard]] AnnouncementAnswer announce(const Announcement& announcement, Timestamp now) override;
    void handle(const HostId& from, const model::OwnershipHandover& handover, Timestamp now) override;
    void handle(const HostId& from, const model::HandoverProgress& progress, Timestamp now) override;
    void recordUse(const TargetId& target, uint32_t inFlight, uint32_t concurrencyLimit) override;
    void startLeaving(Timestamp now) override;
    [[nodiscard]] bool hasHandedOverAll() const override;
    void tick(Timestamp now) override;
    [[nodiscard]] std::vector<TargetChange> drainChanges() override;
    [[nodiscard]] std::vector<model::OutgoingMessage> drainOutgoing() override;
    [[nodiscard]] std::vector<TargetId> ownedTargets() const override;

private:
    [[nodiscard]] bool update(TargetEntry& entry, const Announcement& announcement, Timestamp now);
    [[nodiscard]] AnnouncementAnswer answerOwnLease(TargetEntry& entry, Timestamp now);
    [[nodiscard]] AnnouncementAnswer renewLease(TargetEntry& entry, Timestamp now);
    [[nodiscard]] AnnouncementAnswer answerHandover(TargetEntry& entry, Timestamp now);
    [[nodiscard]] AnnouncementAnswer answerLeasedElsewhere(const TargetEntry& entry) const;
    [[nodiscard]] AnnouncementAnswer answerUnleased(TargetEntry& entry, Timestamp now);
    [[nodiscard]] AnnouncementAnswer offerLease(TargetEntry& entry, Timestamp now);
    [[nodiscard]] AnnouncementAnswer keepLease(Duration announceAfter) const;
    [[nodiscard]] AnnouncementAnswer redirect(const HostId& host, const model::Address& address) const;

    [[nodiscard]] bool namesThisHost(const Announcement& announcement) const;
    [[nodiscard]] bool isLeaseExpired(const Announcement& announcement) const;
    [[nodiscard]] static const LeaseGrant* confirmedGrant(TargetEntry& entry);
    void takeOwnership(TargetEntry& entry, Timestamp until, Timestamp now);
    void loseOwnership(TargetEntry& entry);
    void reportOwned(const TargetEntry& entry);
    [[nodiscard]] uint32_t ownLoad(const ServiceName& service) const;

    [[nodiscard]] std::optional<OwnerCandidate> betterOwner(const TargetEntry& entry, Timestamp now) const;
    void startHandover(TargetEntry& entry, const OwnerCandidate& candidate, Timestamp now);
    [[nodiscard]] bool isSuccessorUsable(const TargetEntry& entry, Timestamp now) const;
    void tickHandover(TargetEntry& entry, Timestamp now) const;
    void applyProgress(TargetEntry& entry, const HostId& from, uint32_t stillInFlight);
    void tickPredecessor(TargetEntry& entry, Timestamp now);
    void tickReportedUse(TargetEntry& entry, Timestamp now);
    void sendPending(TargetEntry& entry);
    void send(const HostId& to, model::Message message);
    void count(model::Counter counter) const;

    TargetDirectoryOptions options_;
    OwnerChoice ownerChoice_;
    std::map<TargetId, TargetEntry> entries_;
    bool isLeaving_ = false;
    Timestamp nextBalanceAt_ {};
    std::vector<TargetChange> changes_;
    std::vector<model::OutgoingMessage> outgoing_;
};

} // namespace saltvane::membership
