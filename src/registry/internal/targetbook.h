/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/displacedtargets.h"
#include "membership/retiredtargets.h"
#include "model/targetmessages.h"

#include <boost/intrusive/list.hpp>

#include <map>
#include <set>
#include <span>
#include <vector>

namespace saltvane::registry {

/// A gateway that reports are sent to.
struct Gateway {
    HostId host;
    ZoneName zone;
    RegionName region;
    auto operator<=>(const Gateway&) const = default;
};

/// The targets that report to this host. Gathers what the gateways are to be told. What a report or a call of takeNews
/// costs goes with the targets that changed, not with those that are known.
class TargetBook {
public:
    explicit TargetBook(std::map<ZoneName, RegionName> zones);

    /// A target's report; false for one that came after a newer one, or of a start that a later one replaced.
    bool note(model::TargetRecord record, Timestamp now);
    /// This start says in its answers that it leaves, whatever it reports.
    void noteLeaving(const model::TargetIncarnation& start);
    /// Forgets this start and all before it.
    void remove(const model::TargetIncarnation& start);
    /// The start that is known under an id; 0 where none is, or it doesn't tell.
    [[nodiscard]] Incarnation incarnationOf(const TargetId& target) const;
    [[nodiscard]] bool isKnown(const TargetId& target, const ServiceName& service) const;
    /// Targets as a disk told of them. They are told to nobody before `releaseRecalled`.
    void recall(std::span<const model::TargetRecord> records, Timestamp now);
    /// From now on recalled targets are told, but those that left meanwhile.
    void releaseRecalled(const membership::RetiredTargets& retired);
    /// What is worth recalling after a restart: no target that leaves, none whose zone is closed or of which word is
    /// wanted, since it may have turned slow.
    [[nodiscard]] std::vector<model::TargetRecord> recallable(const std::set<ZoneName>& closedZones) const;
    /// Grows whenever `recallable` may have changed: nothing has to be worked out for targets that only report.
    [[nodiscard]] uint64_t changes() const { return changes_; }
    /// The zone's targets are told again when they report next.
    void wantWordOf(const ZoneName& zone, Timestamp now);
    [[nodiscard]] size_t size() const { return entries_.size(); }

    /// Records that changed since the last call, or that gateways should hear again. Of targets that fell silent for
    /// the last time: they are forgotten then.
    [[nodiscard]] std::vector<model::TargetRecord> takeNews(std::span<const Gateway> gateways, Timestamp now);
    [[nodiscard]] std::vector<model::TargetRecord> all(std::span<const Gateway> gateways, Timestamp now) const;

private:
    using Hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
    struct Entry {
        model::TargetRecord record;
        Timestamp heardAt;
        Timestamp toldAt;
        Timestamp wordAt; ///< When its last report came; a recalled one has none.
        Hook newsHook;
        Hook heardHook;
        Hook toldHook;
    };
    template <Hook Entry::*Member>
    using EntryList = boost::intrusive::list<Entry, boost::intrusive::member_hook<Entry, Hook, Member>,
        boost::intrusive::constant_time_size<false>>;

    [[nodiscard]] bool noteStart(model::TargetRecord record, Timestamp now);
    void noteReport(Entry& entry, model::TargetRecord record, Timestamp now);
    Entry& add(model::TargetRecord record, Timestamp now);
    void erase(Entry& entry);
    void addNews(Entry& entry);
    void noteHeard(Entry& entry, Timestamp now);
    void noteTold(Entry& entry, Timestamp now);
    void repeatOld(Timestamp now);
    [[nodiscard]] model::TargetRecord toldOf(
        const Entry& entry, std::span<const Gateway> gateways, Timestamp now) const;
    [[nodiscard]] HostId slowStartHostOf(const model::TargetRecord& record, std::span<const Gateway> gateways) const;
    [[nodiscard]] Entry* atAddress(const model::Address& address) const;
    /// A start that is known to be later than this one lives at its address.
    [[nodiscard]] bool isAddressOfLater(const model::TargetRecord& record) const;
    void displaceOthersAt(const model::TargetRecord& record, Timestamp now);
    [[nodiscard]] static bool isSilent(const Entry& entry, Timestamp now);
    [[nodiscard]] bool isHeldBack(const Entry& entry) const { return entry.record.isRecalled && !isRecallReleased_; }
    /// Its zone was opened again, and it has not reported since.
    [[nodiscard]] bool isWordWanted(const Entry& entry) const;

    std::map<ZoneName, RegionName> zones_;
    std::map<TargetId, Entry> entries_;
    std::map<model::Address, Entry*> byAddress_;
    std::map<ZoneName, Timestamp> wordWantedAt_;
    membership::DisplacedTargets displaced_;
    bool isRecallReleased_ = false;
    uint64_t changes_ = 0;
    // After the entries, so that they go first.
    EntryList<&Entry::newsHook> news_; ///< To be told.
    EntryList<&Entry::heardHook> byHeard_; ///< The longest silent one first.
    EntryList<&Entry::toldHook> byTold_; ///< The one told longest ago first.
};

} // namespace saltvane::registry
