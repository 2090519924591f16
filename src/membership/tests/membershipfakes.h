/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/itargetdirectory.h"

#include <map>

namespace saltvane::membership {

inline constexpr Timestamp Start {1000s};

inline HostIdentity makeIdentity(const std::string& host, const std::string& zone, const std::string& region)
{
    return {.host = HostId {host},
        .incarnation = {1},
        .zone = ZoneName {zone},
        .region = RegionName {region},
        .linkAddress = {host, 1},
        .entryAddress = {host, 2}};
}

/// A host table whose hosts the test sets.
class FakeHostTable final : public IHostTable {
public:
    void set(const HostIdentity& identity, uint32_t targets, HostHealth health = HostHealth::Alive)
    {
        HostView& view = views_[identity.host];
        view.health = health;
        view.record.host = identity.host;
        view.record.incarnation = identity.incarnation;
        view.record.zone = identity.zone;
        view.record.region = identity.region;
        view.record.entryAddress = identity.entryAddress;
        view.record.state = model::HostState::Serving;
        view.record.services = {{.service = ServiceName {"valuator"}, .targets = targets}};
    }
    HostView& view(const HostId& host) { return views_.at(host); }

    void setOwnRecord(model::HostRecord) override { }
    bool handle(const HostId&, const model::Heartbeat&, Timestamp) override { return false; }
    bool handle(const HostId&, const model::ZoneReport&, Timestamp) override { return false; }
    void onLinkDown(const HostId&, Timestamp) override { }
    void tick(Timestamp) override { }
    std::vector<model::OutgoingMessage> drainOutgoing() override { return {}; }
    const HostView* find(const HostId& host) const override
    {
        const auto found = views_.find(host);
        return found == views_.end() ? nullptr : &found->second;
    }
    std::vector<const HostView*> hosts() const override
    {
        std::vector<const HostView*> all;
        for (const auto& [host, view] : views_)
            all.push_back(&view);
        return all;
    }
    std::vector<model::HostRecord> servingHosts(const ZoneName& zone) const override
    {
        std::vector<model::HostRecord> serving;
        for (const auto& [host, view] : views_) {
            const bool isServing = view.health == HostHealth::Alive && view.record.state == model::HostState::Serving;
            if (isServing && view.record.zone == zone)
                serving.push_back(view.record);
        }
        return serving;
    }
    HostId relayOf(const ZoneName&) const override { return {}; }
    bool isRelay() const override { return false; }
    std::vector<Peer> wantedPeers() const override { return {}; }

private:
    std::map<HostId, HostView> views_;
};

/// A target that keeps its lease as docs/design/0001-ownership-leases.md requires, with its own clock.
class FakeTarget {
public:
    explicit FakeTarget(const std::string& id, uint64_t incarnation = 1)
    {
        announcement_.target = TargetId {id};
        announcement_.incarnation = {incarnation};
        announcement_.service = ServiceName {"valuator"};
        announcement_.zone = ZoneName {"z1"};
        announcement_.slots = 9;
    }

    Announcement& announcement() { return announcement_; }
    const Announcement& announcement() const { return announcement_; }
    Announcement next(Timestamp now)
    {
        ++announcement_.sequence;
        announcement_.leaseAge = announcement_.leaseOwner.isEmpty() ? Duration {} : now - leasedAt_;
        return announcement_;
    }
    /// Answers to any but the newest announcement are ignored.
    void applyAnswer(uint64_t sequence, const AnnouncementAnswer& answer, Timestamp now)
    {
        if (sequence != announcement_.sequence || answer.owner.isEmpty())
            return;
        announcement_.leaseOwner = answer.owner;
        announcement_.leaseOwnerIncarnation = answer.ownerIncarnation;
        announcement_.leaseSequence = sequence;
        leasedAt_ = now;
    }
    AnnouncementAnswer announceTo(ITargetDirectory& directory, Timestamp now)
    {
        const Announcement sent = next(now);
        const AnnouncementAnswer answer = directory.announce(sent, now);
        applyAnswer(sent.sequence, answer, now);
        return answer;
    }

private:
    Announcement announcement_;
    Timestamp leasedAt_ {};
};

} // namespace saltvane::membership
