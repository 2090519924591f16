/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/displacedtargets.h"
#include "model/targetmessages.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace saltvane::registry {

/// A gateway that reports are sent to.
struct Gateway {
    HostId host;
    ZoneName zone;
    RegionName region;
};

/// The targets that report to this host. Gathers what the gateways are to be told.
class TargetBook {
public:
    explicit TargetBook(std::map<ZoneName, RegionName> zones);

    /// A target's report; false for one that came after a newer one.
    bool note(model::TargetRecord record, Timestamp now);
    void remove(const TargetId& target);
    /// Targets as a disk told of them. They are told to nobody before `releaseRecalled`.
    void recall(std::span<const model::TargetRecord> records, Timestamp now);
    /// From now on recalled targets are told, but those that left meanwhile.
    void releaseRecalled(const std::set<TargetId>& retired);
    /// What is worth recalling after a restart: no target that leaves, none whose zone is closed or of which word is
    /// wanted, since it may have turned slow.
    [[nodiscard]] std::vector<model::TargetRecord> recallable(const std::set<ZoneName>& closedZones) const;
    /// The zone's targets are told again when they report next.
    void wantWordOf(const ZoneName& zone);
    [[nodiscard]] size_t size() const { return entries_.size(); }

    /// Records that changed since the last call, or that gateways should hear again. Of targets that fell silent for
    /// the last time: they are forgotten then.
    [[nodiscard]] std::vector<model::TargetRecord> takeNews(std::span<const Gateway> gateways, Timestamp now);
    [[nodiscard]] std::vector<model::TargetRecord> all(std::span<const Gateway> gateways, Timestamp now) const;

private:
    struct Entry {
        model::TargetRecord record;
        Timestamp heardAt;
        Timestamp toldAt;
        bool isNews = true;
        bool isWanted = false; ///< Its next report is news, whatever it says.
    };

    [[nodiscard]] model::TargetRecord toldOf(
        const Entry& entry, std::span<const Gateway> gateways, Timestamp now) const;
    [[nodiscard]] HostId slowStartHostOf(const model::TargetRecord& record, std::span<const Gateway> gateways) const;
    void removeOthersAt(const model::Address& address, const TargetId& target, Timestamp now);
    [[nodiscard]] static bool isSilent(const Entry& entry, Timestamp now);
    [[nodiscard]] bool isHeldBack(const Entry& entry) const { return entry.record.isRecalled && !isRecallReleased_; }

    std::map<ZoneName, RegionName> zones_;
    std::map<TargetId, Entry> entries_;
    membership::DisplacedTargets displaced_;
    bool isRecallReleased_ = false;
};

} // namespace saltvane::registry
