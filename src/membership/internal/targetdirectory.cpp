/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/internal/targetdirectory.h"

#include <algorithm>
#include <utility>

namespace saltvane::membership {

namespace {

/// An offered lease is in force once it is echoed, so the target is to announce again at once.
constexpr Duration ConfirmDelay = 5ms;
/// Delay of the next announcement after a redirect; limits their rate while the hosts' views differ.
constexpr Duration RedirectDelay = 20ms;
constexpr Duration EntryTimeout = 60s;

} // namespace

TargetDirectory::TargetDirectory(const TargetDirectoryOptions& options)
    : options_(options)
    , ownerChoice_(options)
{
}

AnnouncementAnswer TargetDirectory::announce(const Announcement& announcement, Timestamp now)
{
    count(model::Counter::Announcements);
    TargetEntry& entry = entries_[announcement.target];
    if (!update(entry, announcement, now)) {
        count(model::Counter::AnnouncementsRefused);
        count(model::Counter::StaleMessages);
        return keepLease(options_.announceInterval);
    }
    if (entry.isOwned && now >= entry.ownedUntil)
        loseOwnership(entry);
    if (namesThisHost(announcement))
        return answerOwnLease(entry, now);
    // The target has another lease or none: no lease granted here can be in force any more.
    loseOwnership(entry);
    entry.grants.clear();
    entry.successor.reset();
    if (!isLeaseExpired(announcement))
        return answerLeasedElsewhere(entry);
    return answerUnleased(entry, now);
}

bool TargetDirectory::update(TargetEntry& entry, const Announcement& announcement, Timestamp now)
{
    const Announcement& known = entry.announcement;
    if (announcement.incarnation < known.incarnation)
        return false;
    if (announcement.incarnation == known.incarnation && announcement.sequence <= known.sequence)
        return false;
    if (announcement.incarnation > known.incarnation) {
        loseOwnership(entry);
        entry = {};
    }
    entry.announcement = announcement;
    entry.lastAnnouncedAt = now;
    if (entry.reportedUse > announcement.busySlots)
        entry.reportedUse = announcement.busySlots;
    return true;
}

bool TargetDirectory::namesThisHost(const Announcement& announcement) const
{
    return announcement.leaseOwner == options_.self.host
        && announcement.leaseOwnerIncarnation == options_.self.incarnation;
}

bool TargetDirectory::isLeaseExpired(const Announcement& announcement) const
{
    return announcement.leaseOwner.isEmpty() || announcement.leaseAge > options_.lease + options_.leaseGuard;
}

const LeaseGrant* TargetDirectory::confirmedGrant(TargetEntry& entry)
{
    const uint64_t sequence = entry.announcement.leaseSequence;
    std::erase_if(entry.grants, [sequence](const LeaseGrant& grant) { return grant.sequence < sequence; });
    if (entry.grants.empty() || entry.grants.front().sequence != sequence)
        return nullptr;
    return &entry.grants.front();
}

AnnouncementAnswer TargetDirectory::answerOwnLease(TargetEntry& entry, Timestamp now)
{
    if (entry.successor)
        return answerHandover(entry, now);
    const LeaseGrant* grant = confirmedGrant(entry);
    const std::optional<OwnerCandidate> better = betterOwner(entry, now);
    if (better) {
        startHandover(entry, *better, now);
        return answerHandover(entry, now);
    }
    if (grant && now < grant->at + options_.lease) {
        takeOwnership(entry, grant->at + options_.lease, now);
        return renewLease(entry, now);
    }
    if (isLeaving_ || entry.announcement.state == TargetState::Leaving)
        return keepLease(options_.announceInterval);
    return offerLease(entry, now);
}

AnnouncementAnswer TargetDirectory::renewLease(TargetEntry& entry, Timestamp now)
{
    reportOwned(entry);
    AnnouncementAnswer answer = offerLease(entry, now);
    answer.isOwner = true;
    answer.announceAfter = options_.announceInterval;
    return answer;
}

AnnouncementAnswer TargetDirectory::answerLeasedElsewhere(const TargetEntry& entry) const
{
    const Announcement& announcement = entry.announcement;
    const HostView* owner = options_.hosts->find(announcement.leaseOwner);
    const bool isLiveOwner = owner && owner->health == HostHealth::Alive
        && owner->record.incarnation == announcement.leaseOwnerIncarnation;
    if (isLiveOwner)
        return redirect(owner->record.host, owner->record.entryAddress);
    const Duration left = options_.lease + options_.leaseGuard - announcement.leaseAge;
    return keepLease(std::clamp(left, ConfirmDelay, options_.announceInterval));
}

AnnouncementAnswer TargetDirectory::answerUnleased(TargetEntry& entry, Timestamp now)
{
    const Announcement& announcement = entry.announcement;
    if (announcement.state == TargetState::Leaving)
        return keepLease(options_.announceInterval);
    // May be a new process at the address of an old one: the owner of the old one must learn of it before another host
    // may own it.
    const HostView* claimant = announcement.leaseOwner.isEmpty() ? ownerChoice_.claimant(announcement) : nullptr;
    if (claimant && claimant->health == HostHealth::Alive)
        return redirect(claimant->record.host, claimant->record.entryAddress);
    if (claimant)
        return keepLease(options_.announceInterval);
    const std::optional<OwnerCandidate> other = isLeaving_
        ? ownerChoice_.leastLoaded(announcement, now)
        : ownerChoice_.chooseOther(announcement, ownLoad(announcement.service), now);
    if (other) {
        ownerChoice_.recordAssignment(announcement.target, announcement.service, other->host, now);
        return redirect(other->host, other->entryAddress);
    }
    if (isLeaving_)
        return keepLease(options_.announceInterval);
    entry.isTakenOver = !announcement.leaseOwner.isEmpty();
    entry.predecessor.reset();
    return offerLease(entry, now);
}

AnnouncementAnswer TargetDirectory::offerLease(TargetEntry& entry, Timestamp now)
{
    entry.grants.push_back({entry.announcement.sequence, now});
    AnnouncementAnswer answer = keepLease(ConfirmDelay);
    answer.owner = options_.self.host;
    answer.ownerIncarnation = options_.self.incarnation;
    answer.lease = options_.lease;
    return answer;
}

AnnouncementAnswer TargetDirectory::keepLease(Duration announceAfter) const { return {.announceAfter = announceAfter}; }

AnnouncementAnswer TargetDirectory::redirect(const HostId& host, const model::Address& address) const
{
    AnnouncementAnswer answer = keepLease(RedirectDelay);
    answer.announceTo = host;
    answer.announceToAddress = address;
    return answer;
}

void TargetDirectory::takeOwnership(TargetEntry& entry, Timestamp until, Timestamp now)
{
    entry.ownedUntil = until;
    if (entry.isOwned)
        return;
    entry.isOwned = true;
    count(model::Counter::OwnershipsTaken);
    if (std::exchange(entry.isTakenOver, false) && !entry.predecessor) {
        entry.reportedUse = std::min(entry.announcement.busySlots, entry.announcement.slots);
        entry.reportedUseUntil = now + options_.reportedUseTimeout;
    }
}

void TargetDirectory::loseOwnership(TargetEntry& entry)
{
    if (!entry.isOwned)
        return;
    entry.isOwned = false;
    count(model::Counter::OwnershipsLost);
    changes_.push_back({.kind = TargetChange::Kind::Lost, .announcement = entry.announcement});
}

void TargetDirectory::reportOwned(const TargetEntry& entry)
{
    const uint32_t limit = entry.predecessor ? entry.predecessor->concurrencyLimit : 0;
    changes_.push_back({.kind = TargetChange::Kind::Owned,
        .announcement = entry.announcement,
        .foreignInFlight = entry.foreignInFlight(),
        .concurrencyLimit = limit});
}

uint32_t TargetDirectory::ownLoad(const ServiceName& service) const
{
    const auto isOwn = [&](const auto& item) {
        const TargetEntry& entry = item.second;
        return entry.announcement.service == service && (entry.isOwned || !entry.grants.empty());
    };
    return static_cast<uint32_t>(std::ranges::count_if(entries_, isOwn));
}

void TargetDirectory::recordUse(const TargetId& target, uint32_t inFlight, uint32_t concurrencyLimit)
{
    const auto found = entries_.find(target);
    if (found == entries_.end())
        return;
    found->second.inFlight = inFlight;
    found->second.concurrencyLimit = concurrencyLimit;
}

void TargetDirectory::tick(Timestamp now)
{
    ownerChoice_.tick(now);
    for (auto& [target, entry] : entries_) {
        if (entry.isOwned && now >= entry.ownedUntil)
            loseOwnership(entry);
        const Timestamp oldest = now - options_.lease;
        std::erase_if(entry.grants, [oldest](const LeaseGrant& grant) { return grant.at <= oldest; });
        tickHandover(entry, now);
        tickPredecessor(entry, now);
        tickReportedUse(entry, now);
    }
    std::erase_if(entries_, [now](const auto& item) {
        const TargetEntry& entry = item.second;
        return !entry.isOwned && entry.inFlight == 0 && now - entry.lastAnnouncedAt > EntryTimeout;
    });
}

std::vector<TargetChange> TargetDirectory::drainChanges() { return std::exchange(changes_, {}); }

std::vector<TargetId> TargetDirectory::ownedTargets() const
{
    std::vector<TargetId> owned;
    for (const auto& [target, entry] : entries_) {
        if (entry.isOwned)
            owned.push_back(target);
    }
    return owned;
}

void TargetDirectory::count(model::Counter counter) const
{
    if (options_.counters)
        options_.counters->add(counter);
}

} // namespace saltvane::membership
