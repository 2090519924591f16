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
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace saltvane::registry {

/// A gateway or registry host with its location.
struct HostLocation {
    HostId host;
    ZoneName zone;
    RegionName region;
    auto operator<=>(const HostLocation&) const = default;
};

/// What a target's report changed.
enum class ReportOutcome {
    Applied,
    /// Applied, and it shows that a target which states no incarnation has started again.
    Restarted,
    /// Of a target that states no incarnation, with an unexpected sequence: it is late, or the target has started
    /// again. Only the slow start that it names counts until a second report follows it.
    Deferred,
    /// Older than the last report, or of an incarnation that a newer one replaced.
    Stale
};

/// The targets that report to this host, and the updates of them to send to gateways. A report or a call of
/// drainUpdates() costs in proportion to the targets that changed, not to all known ones.
class TargetTable {
public:
    explicit TargetTable(std::map<ZoneName, RegionName> zones);

    [[nodiscard]] ReportOutcome applyReport(model::TargetRecord record, Timestamp now);
    /// This incarnation announced in its answers that it leaves: overrides what it reports.
    void markLeaving(const model::TargetIncarnation& targetIncarnation);
    /// The target told a gateway that it is in a slow start, for which `slowStartLeft` of the gateway's record is left.
    /// False where its incarnation is not known, or known to be in one that ends no earlier.
    bool startSlowStart(const model::TargetRecord& record, Timestamp now);
    /// The target refused a gateway a connection: nothing listens at its address. It has stopped, and may start again
    /// at any moment. `record`: as the gateway knows it. False if this was known, or the target left or has moved.
    bool expectStart(const model::TargetRecord& record, Timestamp now);
    /// The log retired this incarnation and all earlier ones of the target: the same for these.
    void retire(const model::TargetIncarnation& targetIncarnation);
    /// The known incarnation of a target; 0 where the target doesn't report it, no value where it is unknown.
    [[nodiscard]] std::optional<Incarnation> incarnationOf(const TargetId& target) const;
    /// The known record of the target; null where it is unknown.
    [[nodiscard]] const model::TargetRecord* find(const TargetId& target) const;
    [[nodiscard]] bool isKnown(const TargetId& target, const ServiceName& service) const;
    /// Adds targets read from the disk. They are not sent before `releaseRecalled`.
    void recall(std::span<const model::TargetRecord> records, Timestamp now);
    /// From now on recalled targets are sent, except retired ones, which are removed.
    void releaseRecalled(const membership::RetiredTargets& retired);
    /// The records to recall after a restart. Excludes targets that leave, and targets that may be in a slow start
    /// which no report names: of evacuated and of recently reopened zones, and those that may start again.
    [[nodiscard]] std::vector<model::TargetRecord> recallable(
        const std::set<ZoneName>& evacuatedZones, Timestamp now) const;
    /// Increases whenever `recallable` may have changed; reports without changes don't increase it.
    [[nodiscard]] uint64_t changes() const { return changes_; }
    /// The longest slow start of any service.
    void setLongestSlowStart(Duration duration) { longestSlowStart_ = duration; }
    /// The evacuation of the zone has ended. Its targets are sent again with each report while they may be in a slow
    /// start since then.
    void onReopened(const ZoneName& zone, Timestamp now);
    /// Time since the zone was reopened; no value once slow starts from before that have ended. Reports don't show that
    /// there is no slow start, since one that was sent before it may arrive later.
    [[nodiscard]] std::optional<Duration> recentReopeningAge(const ZoneName& zone, Timestamp now) const;
    [[nodiscard]] size_t size() const { return entries_.size(); }

    /// Records that changed since the last call or are due to be sent again. Includes unresponsive targets a last time,
    /// and removes them.
    [[nodiscard]] std::vector<model::TargetRecord> drainUpdates(std::span<const HostLocation> gateways, Timestamp now);
    /// Targets that are due to be listed again and have not changed, by incarnationHash(); after drainUpdates().
    [[nodiscard]] std::vector<uint64_t> drainUnchanged() { return std::exchange(unchanged_, {}); }
    [[nodiscard]] std::vector<model::TargetRecord> all(Timestamp now) const;

private:
    using Hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
    struct Entry {
        model::TargetRecord record;
        Timestamp receivedAt;
        Timestamp sentAt;
        Timestamp listedAt; ///< When its record was last sent, or when it was last listed as unchanged.
        Timestamp reportedAt; ///< Of its last report; a recalled target has none.
        Timestamp statedSlowUntil; ///< End of the slow start that it stated to a gateway. Its reports may be older.
        std::optional<Timestamp> startExpectedSince; ///< Until a report shows that it runs.
        /// No gateway is named for its slow start before: until it became known, all of them used the target.
        Timestamp namesGatewayFrom;
        /// The last report whose sequence does not continue that of the record, of a target that states no incarnation.
        std::optional<uint64_t> deferredSequence;
        Timestamp deferredAt;
        HostId slowStartHost; ///< The gateway that was named for it when its record was last sent.
        Hook updateHook;
        Hook receivedHook;
        Hook listedHook;
    };
    template <Hook Entry::*Member>
    using EntryList = boost::intrusive::list<Entry, boost::intrusive::member_hook<Entry, Hook, Member>,
        boost::intrusive::constant_time_size<false>>;

    [[nodiscard]] ReportOutcome addIncarnation(model::TargetRecord record, Timestamp now);
    [[nodiscard]] ReportOutcome applyUnexpected(Entry& entry, model::TargetRecord record, Timestamp now);
    /// Whether the report follows the last one.
    [[nodiscard]] static bool isExpected(const Entry& entry, const model::TargetRecord& record);
    /// Whether the report follows the deferred one.
    [[nodiscard]] static bool continuesDeferred(const Entry& entry, uint64_t sequence, Timestamp now);
    void updateEntry(Entry& entry, model::TargetRecord record, Timestamp now);
    Entry& add(model::TargetRecord record, Timestamp now);
    void erase(Entry& entry);
    void markLeaving(Entry& entry);
    void queueUpdate(Entry& entry);
    void markReceived(Entry& entry, Timestamp now);
    void markSent(Entry& entry, Timestamp now);
    void queueListings(Timestamp now);
    void markListed(Entry& entry, Timestamp now);
    [[nodiscard]] model::TargetRecord outgoingRecordOf(const Entry& entry, Timestamp now) const;
    /// A target that was in use turned out to be in a slow start.
    void onSlowStart(Entry& entry, Timestamp now) const;
    /// End of the slow start that is known from the target.
    [[nodiscard]] static Timestamp slowUntil(const Entry& entry);
    /// Whether the refusal of a target that this host does not know is new. It counts once the target reports here.
    [[nodiscard]] bool recordUnknownRefusal(const model::TargetIncarnation& targetIncarnation, Timestamp now);
    /// The target has not reported here before. Whether it refused a connection shortly before.
    [[nodiscard]] std::optional<Timestamp> takeUnknownRefusal(const model::TargetRecord& record, Timestamp now);
    [[nodiscard]] bool mayBeInSlowStart(const Entry& entry, Timestamp now) const;
    [[nodiscard]] HostId slowStartHostOf(
        const model::TargetRecord& record, std::span<const HostLocation> gateways) const;
    [[nodiscard]] Entry* atAddress(const model::Address& address) const;
    /// Whether another target with a newer incarnation is at the record's address.
    [[nodiscard]] bool isAddressOfNewerIncarnation(const model::TargetRecord& record) const;
    void displaceOthersAt(const model::TargetRecord& record, Timestamp now);
    [[nodiscard]] static bool isUnresponsive(const Entry& entry, Timestamp now);
    [[nodiscard]] bool isWithheld(const Entry& entry) const { return entry.record.isRecalled && !isRecallReleased_; }
    /// The evacuation of its zone ended recently, and it has not reported since.
    [[nodiscard]] bool isAwaitingReport(const Entry& entry, Timestamp now) const;

    std::map<ZoneName, RegionName> zones_;
    std::map<TargetId, Entry> entries_;
    std::map<model::Address, Entry*> byAddress_;
    std::map<ZoneName, Timestamp> reopenedAt_;
    Duration longestSlowStart_ {};
    std::map<model::TargetIncarnation, Timestamp> unknownRefusals_; ///< When they were last told.
    membership::DisplacedTargets displaced_;
    bool isRecallReleased_ = false;
    uint64_t changes_ = 0;
    // Declared after the entries, so that they are destroyed first.
    EntryList<&Entry::updateHook> updates_; ///< To be sent.
    EntryList<&Entry::receivedHook> byReceivedAt_; ///< Oldest report first.
    EntryList<&Entry::listedHook> byListedAt_; ///< Least recently listed first.
    std::vector<uint64_t> unchanged_;
};

} // namespace saltvane::registry
