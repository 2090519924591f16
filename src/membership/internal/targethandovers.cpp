/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/internal/targetdirectory.h"

#include <algorithm>
#include <utility>

/// Hand-overs of targets between running hosts.
namespace saltvane::membership {

namespace {

/// Delay between the start of a hand-over and the announcement that completes it.
constexpr Duration HandoverDelay = 10ms;
/// The target announces to the successor at once, since the lease names it already.
constexpr Duration NamedDelay = 1ms;
/// Between two hand-overs for balance, so that heartbeats can reflect the first.
constexpr Duration BalanceInterval = 100ms;

} // namespace

std::optional<OwnerCandidate> TargetDirectory::betterOwner(const TargetEntry& entry, Timestamp now) const
{
    const Announcement& announcement = entry.announcement;
    // The predecessor's requests must complete first, so that never more than two hosts share the slots of a target.
    if (entry.foreignInFlight() > 0 || announcement.state == TargetState::Leaving)
        return std::nullopt;
    const std::optional<OwnerCandidate> least = ownerChoice_.leastLoaded(announcement, now);
    if (!least || isLeaving_ || !ownerChoice_.isSuitable(announcement))
        return least;
    const uint32_t allowed = std::max(options_.allowedImbalance, 2u);
    if (now < nextBalanceAt_ || ownLoad(announcement.service) < least->load + allowed)
        return std::nullopt;
    return least;
}

void TargetDirectory::startHandover(TargetEntry& entry, const OwnerCandidate& candidate, Timestamp now)
{
    loseOwnership(entry);
    const Announcement& announcement = entry.announcement;
    entry.successor = Successor {.host = candidate.host,
        .incarnation = candidate.incarnation,
        .entryAddress = candidate.entryAddress,
        .startedAt = now,
        .nextSendAt = now + options_.progressInterval};
    entry.predecessor.reset();
    nextBalanceAt_ = now + BalanceInterval;
    ownerChoice_.recordAssignment(announcement.target, announcement.service, candidate.host, now);
    count(model::Counter::OwnershipHandovers);
}

bool TargetDirectory::isSuccessorUsable(const TargetEntry& entry, Timestamp now) const
{
    const Successor& successor = *entry.successor;
    const HostView* view = options_.hosts->find(successor.host);
    const bool isUp = view && view->health == HostHealth::Alive && view->record.incarnation == successor.incarnation
        && view->record.state == model::HostState::Serving;
    return isUp && (successor.isAcknowledged || now - successor.startedAt < options_.handoverTimeout);
}

AnnouncementAnswer TargetDirectory::answerHandover(TargetEntry& entry, Timestamp now)
{
    if (!isSuccessorUsable(entry, now)) {
        ownerChoice_.markUnresponsive(entry.successor->host, now);
        entry.successor.reset();
        return answerOwnLease(entry, now);
    }
    Successor& successor = *entry.successor;
    if (!successor.isAcknowledged)
        return keepLease(HandoverDelay);
    // From here on no earlier grant may make this host the owner again, whatever messages arrive late.
    entry.grants.clear();
    successor.isNamed = true;
    AnnouncementAnswer answer = redirect(successor.host, successor.entryAddress);
    answer.owner = successor.host;
    answer.ownerIncarnation = successor.incarnation;
    answer.lease = options_.lease;
    answer.announceAfter = NamedDelay;
    return answer;
}

void TargetDirectory::handle(const HostId& from, const model::OwnershipHandover& handover, Timestamp now)
{
    TargetEntry& entry = entries_[handover.target];
    if (isLeaving_ || handover.targetIncarnation < entry.announcement.incarnation) {
        count(model::Counter::StaleMessages);
        return;
    }
    if (handover.targetIncarnation > entry.announcement.incarnation || entry.announcement.target.isEmpty()) {
        loseOwnership(entry);
        entry = {};
        entry.announcement = {.target = handover.target,
            .incarnation = handover.targetIncarnation,
            .service = handover.service,
            .zone = handover.zone,
            .address = handover.address,
            .slots = handover.slots,
            .connections = handover.connections};
        entry.lastAnnouncedAt = now;
    }
    if (entry.successor && entry.successor->host == from)
        entry.successor.reset();
    const HostView* sender = options_.hosts->find(from);
    entry.predecessor = Predecessor {.host = from,
        .incarnation = sender ? sender->record.incarnation : Incarnation {},
        .stillInFlight = handover.stillInFlight,
        .concurrencyLimit = handover.concurrencyLimit,
        .nextQueryAt = now + options_.progressInterval};
    entry.reportedUse = 0;
    if (entry.isOwned)
        reportOwned(entry);
    send(from, model::HandoverProgress {handover.target, handover.targetIncarnation, handover.stillInFlight});
}

void TargetDirectory::handle(const HostId& from, const model::HandoverProgress& progress, Timestamp now)
{
    const auto found = entries_.find(progress.target);
    if (found == entries_.end() || found->second.announcement.incarnation != progress.targetIncarnation) {
        // A restarted host does not know which requests of its former process still run, so it does not answer.
        count(model::Counter::StaleMessages);
        return;
    }
    TargetEntry& entry = found->second;
    // Only owners send queries. So the message is an answer if this host owns the target, and else a query.
    if (entry.isOwned) {
        applyProgress(entry, from, progress.stillInFlight);
        return;
    }
    if (entry.successor && entry.successor->host == from && !entry.successor->isNamed) {
        entry.successor->isAcknowledged = true;
        return;
    }
    if (progress.stillInFlight == 0 || now < entry.nextReplyAt)
        return;
    entry.nextReplyAt = now + options_.progressInterval / 2;
    entry.queriedBy = from;
}

void TargetDirectory::applyProgress(TargetEntry& entry, const HostId& from, uint32_t stillInFlight)
{
    if (!entry.predecessor || entry.predecessor->host != from || stillInFlight >= entry.predecessor->stillInFlight)
        return;
    entry.predecessor->stillInFlight = stillInFlight;
    reportOwned(entry);
}

void TargetDirectory::startLeaving(Timestamp) { isLeaving_ = true; }

bool TargetDirectory::hasHandedOverAll() const
{
    if (!isLeaving_)
        return false;
    return std::ranges::none_of(entries_, [this](const auto& item) {
        const TargetEntry& entry = item.second;
        if (entry.successor)
            return !entry.successor->isNamed;
        const bool isReady = entry.announcement.state == TargetState::Ready;
        return entry.isOwned && isReady && !ownerChoice_.others(entry.announcement, entry.lastAnnouncedAt).empty();
    });
}

void TargetDirectory::tickHandover(TargetEntry& entry, Timestamp now) const
{
    if (!entry.successor || entry.successor->isAcknowledged || now < entry.successor->nextSendAt)
        return;
    entry.successor->nextSendAt = now + options_.progressInterval;
    entry.successor->isSendPending = true;
}

void TargetDirectory::tickPredecessor(TargetEntry& entry, Timestamp now)
{
    if (!entry.isOwned || !entry.predecessor || entry.predecessor->stillInFlight == 0)
        return;
    Predecessor& predecessor = *entry.predecessor;
    const HostView* view = options_.hosts->find(predecessor.host);
    const bool isPredecessorLost
        = !view || view->health == HostHealth::Dead || view->record.incarnation != predecessor.incarnation;
    if (isPredecessorLost) {
        // The predecessor can no longer be queried. Reports of the target may lower the count, and it expires after the
        // limit.
        entry.reportedUse = predecessor.stillInFlight;
        entry.reportedUseUntil = now + options_.reportedUseTimeout;
        entry.predecessor.reset();
        return;
    }
    if (now < predecessor.nextQueryAt)
        return;
    predecessor.nextQueryAt = now + options_.progressInterval;
    predecessor.isQueryPending = true;
}

void TargetDirectory::tickReportedUse(TargetEntry& entry, Timestamp now)
{
    if (entry.reportedUse == 0 || now < entry.reportedUseUntil)
        return;
    entry.reportedUse = 0;
    if (entry.isOwned)
        reportOwned(entry);
}

std::vector<model::OutgoingMessage> TargetDirectory::drainOutgoing()
{
    for (auto& [target, entry] : entries_)
        sendPending(entry);
    return std::exchange(outgoing_, {});
}

void TargetDirectory::sendPending(TargetEntry& entry)
{
    const Announcement& announcement = entry.announcement;
    if (entry.successor && std::exchange(entry.successor->isSendPending, false)) {
        send(entry.successor->host,
            model::OwnershipHandover {.target = announcement.target,
                .targetIncarnation = announcement.incarnation,
                .service = announcement.service,
                .zone = announcement.zone,
                .address = announcement.address,
                .slots = announcement.slots,
                .connections = announcement.connections,
                .concurrencyLimit = entry.concurrencyLimit,
                .stillInFlight = entry.inFlight});
    }
    if (entry.predecessor && std::exchange(entry.predecessor->isQueryPending, false)) {
        const uint32_t knownInFlight = entry.predecessor->stillInFlight;
        send(entry.predecessor->host,
            model::HandoverProgress {announcement.target, announcement.incarnation, knownInFlight});
    }
    if (entry.queriedBy.isEmpty())
        return;
    send(entry.queriedBy, model::HandoverProgress {announcement.target, announcement.incarnation, entry.inFlight});
    entry.queriedBy = {};
}

void TargetDirectory::send(const HostId& to, model::Message message) { outgoing_.push_back({to, std::move(message)}); }

} // namespace saltvane::membership
