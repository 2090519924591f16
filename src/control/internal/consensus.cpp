/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/consensus.h"

#include "control/internal/commandcodec.h"
#include "control/internal/logindexes.h"

#include <algorithm>
#include <utility>

namespace saltvane::control {

namespace {
constexpr size_t BytesPerSnapshot = 16 * 1024 * 1024;
/// Entries covered by the snapshot that stay in memory for followers that lag slightly behind.
constexpr size_t RetainedLogBytes = 4 * 1024 * 1024;
/// A follower's proof is up to three messages older than the leader's.
constexpr int FollowerLeaseFactor = 2;
constexpr LogTerm FirstTerm {1};

/// The process stopped during the write that bootstraps a deployment: its vote was written, the entry was not.
bool isIncompleteBootstrap(const RecoveredState& recovered)
{
    return recovered.entries.empty() && recovered.snapshot.empty() && recovered.hardState.term == FirstTerm
        && recovered.hardState.votedFor == recovered.replica;
}
} // namespace

Consensus::Consensus(const ControlReplicaOptions& options, IStateMachine& machine)
    : context_(options, machine)
    , election_(context_)
    , receiver_(context_)
    , snapshotReceiver_(context_)
    , replicator_(context_)
    , isStartable_(options.recovered.isNewDisk || isIncompleteBootstrap(options.recovered))
    , applied_(context_.commit)
{
}

void Consensus::begin(Timestamp now)
{
    context_.now = hasStarted_ ? std::max(context_.now, now) : now;
    if (hasStarted_)
        return;
    hasStarted_ = true;
    context_.leaderContactAt = now;
    election_.start();
}

void Consensus::handle(const HostId& from, const model::VoteRequest& request)
{
    election_.handle(from, request);
    updateAfterEvent();
}

void Consensus::handle(const HostId& /*from*/, const model::VoteReply& reply)
{
    election_.handle(reply);
    updateAfterEvent();
}

void Consensus::handle(const HostId& from, const model::StartNotice& notice)
{
    election_.handle(from, notice);
    updateAfterEvent();
}

bool Consensus::acceptLeader(const HostId& from, LogTerm term, const model::ReplicaId& leader)
{
    if (term < context_.hardState.term || (term == context_.hardState.term && isLeader()))
        return false;
    if (term > context_.hardState.term || context_.role != Role::Follower)
        context_.follow(term);
    if (context_.leader != leader) {
        context_.leader = leader;
        receiver_.startTerm();
    }
    context_.leaderHost = from;
    context_.leaderContactAt = context_.now;
    election_.onLeaderContact();
    return true;
}

void Consensus::handle(const HostId& from, const model::AppendRequest& request)
{
    if (!acceptLeader(from, request.term, request.leader)) {
        context_.count(model::Counter::StaleMessages);
        context_.send(from,
            model::AppendReply {
                .term = context_.hardState.term, .replica = context_.self, .match = {}, .round = request.round});
        return updateAfterEvent();
    }
    const bool mayAppend = !snapshotReceiver_.isInstalling() && !context_.storage.isFailing();
    receiver_.handle(request, mayAppend);
    updateAfterEvent();
    context_.proof.recordRequest(request, context_.commit);
}

void Consensus::handle(const HostId& /*from*/, const model::AppendReply& reply)
{
    if (!context_.configurations.latest().find(reply.replica))
        return context_.count(model::Counter::StaleMessages);
    if (reply.term > context_.hardState.term)
        context_.follow(reply.term);
    else if (isLeader() && reply.term == context_.hardState.term)
        replicator_.handle(reply);
    updateAfterEvent();
}

void Consensus::handle(const HostId& from, const model::SnapshotChunk& chunk)
{
    if (!acceptLeader(from, chunk.term, chunk.leader))
        return context_.count(model::Counter::StaleMessages);
    if (!context_.storage.isFailing())
        snapshotReceiver_.handle(chunk);
    updateAfterEvent();
}

void Consensus::handle(const HostId& /*from*/, const model::SnapshotReply& reply)
{
    if (isLeader() && reply.term == context_.hardState.term)
        replicator_.handle(reply);
    updateAfterEvent();
}

void Consensus::complete(const StorageDone& done)
{
    if (!context_.storage.complete(done.sequence))
        return;
    context_.releaseDurable();
    onSnapshotDurable();
    installSnapshot();
    election_.onDurable();
    receiver_.onDurable();
    updateAfterEvent();
}

void Consensus::fail(const StorageFailed& failed)
{
    context_.storage.fail(failed.sequence, context_.now);
    // Steps down, so that a replica whose disk accepts writes can become the leader.
    if (isLeader())
        context_.follow(context_.hardState.term);
    updateAfterEvent();
}

void Consensus::tick()
{
    stopWithoutQuorum();
    election_.tick();
    updateAfterEvent();
}

void Consensus::stopWithoutQuorum()
{
    if (!isLeader())
        return;
    const Timestamp lastContactAt = std::max(replicator_.quorumContactAt().value_or(leadingSince_), leadingSince_);
    if (context_.now - lastContactAt > context_.options.electionTimeout)
        context_.follow(context_.hardState.term);
}

void Consensus::updateAfterEvent()
{
    if (isLeader() && !isLeading_)
        startLeading();
    if (!isLeader() && isLeading_)
        isLeading_ = false;
    advanceCommit();
    applyCommitted();
    if (isEstablished())
        replicator_.setProof(replicator_.quorumContactAt());
    if (const std::optional<Timestamp> proven = provenAt(context_.now); isLeader() && proven)
        context_.proof.adopt(*proven);
    context_.proof.recordCommit(context_.commit);
}

void Consensus::startLeading()
{
    isLeading_ = true;
    leadingSince_ = context_.now;
    context_.leader = context_.self;
    context_.leaderHost = context_.options.self;
    replicator_.startTerm();
    termStart_ = propose(encodeCommand(NoOperation {})).index;
}

LogPosition Consensus::propose(std::string payload)
{
    const LogPosition position {.term = context_.hardState.term, .index = indexAfter(context_.log.lastIndex())};
    context_.append({.index = position.index, .term = position.term, .payload = std::move(payload)});
    return position;
}

void Consensus::bootstrap(std::string payload)
{
    context_.setHardState({.term = FirstTerm, .votedFor = context_.self});
    propose(std::move(payload));
    election_.campaignAtNextTick();
}

void Consensus::advanceCommit()
{
    LogIndex commit = receiver_.committable();
    if (isLeader()) {
        const LogIndex match = replicator_.quorumMatch();
        // Entries of earlier terms are committed only through a later entry of the leader's own term.
        commit = match >= termStart_ ? match : context_.commit;
    }
    context_.commit = std::max(context_.commit, commit);
}

void Consensus::applyCommitted()
{
    while (applied_ < context_.commit) {
        applied_ = indexAfter(applied_);
        const model::LogEntry& entry = context_.log.at(applied_);
        bytesSinceSnapshot_ += entry.payload.size();
        context_.machine.apply(entry);
        context_.count(model::Counter::Commits);
    }
    takeSnapshot();
}

void Consensus::takeSnapshot()
{
    const LogIndex latest = context_.snapshot ? context_.snapshot->index : LogIndex {};
    const bool isDue = applied_.value - latest.value >= context_.options.entriesPerSnapshot
        || bytesSinceSnapshot_ >= BytesPerSnapshot;
    if (!isDue || snapshotInWriting_ || snapshotReceiver_.isInstalling() || context_.storage.isFailing())
        return;
    std::string bytes = context_.machine.encodeSnapshot();
    const LogTerm term = context_.log.termAt(applied_).value_or(LogTerm {});
    const uint64_t checksum = checksumOf(bytes);
    snapshotSequence_ = context_.storage.putSnapshot(bytes, applied_, term);
    snapshotInWriting_ = std::make_shared<Snapshot>(
        Snapshot {.index = applied_, .term = term, .checksum = checksum, .bytes = std::move(bytes)});
    bytesSinceSnapshot_ = 0;
}

void Consensus::onSnapshotDurable()
{
    if (!snapshotInWriting_ || snapshotSequence_ > context_.storage.completed())
        return;
    context_.snapshot = std::exchange(snapshotInWriting_, nullptr);
    context_.log.compactTo(context_.snapshot->index, context_.options.entriesPerSnapshot, RetainedLogBytes);
    context_.configurations.compactTo(context_.snapshot->index);
    context_.count(model::Counter::SnapshotsTaken);
}

void Consensus::installSnapshot()
{
    const std::shared_ptr<const Snapshot> installed = snapshotReceiver_.popInstalled();
    if (!installed)
        return;
    context_.count(model::Counter::SnapshotsReceived);
    context_.snapshot = installed;
    if (installed->index <= context_.commit)
        return;
    if (context_.log.termAt(installed->index) == installed->term) {
        context_.log.compactTo(installed->index, 0, 0);
        context_.configurations.compactTo(installed->index);
    } else {
        context_.log.reset(installed->index, installed->term);
        if (std::optional<Configuration> configuration = context_.machine.configurationIn(installed->bytes))
            context_.configurations.reset(*std::move(configuration));
    }
    context_.machine.install(installed->bytes);
    context_.commit = installed->index;
    applied_ = installed->index;
    bytesSinceSnapshot_ = 0;
    receiver_.onSnapshotInstalled(installed->index);
}

std::optional<Timestamp> Consensus::provenAt(Timestamp now) const
{
    std::optional<Timestamp> proven = isEstablished() ? replicator_.quorumContactAt() : context_.proof.provenAt();
    if (proven)
        proven = std::min(*proven, now);
    return proven;
}

bool Consensus::isCurrent(Timestamp now) const
{
    if (isLeader() && !isEstablished())
        return false;
    const Duration lease = context_.options.lease * (isLeader() ? 1 : FollowerLeaseFactor);
    return proofAge(now) <= lease;
}

Duration Consensus::proofAge(Timestamp now) const
{
    const std::optional<Timestamp> proven = provenAt(now);
    return proven ? std::max(now - *proven, Duration {}) : Duration::max();
}

bool Consensus::isUnwritten() const { return isStartable_ && context_.storage.isUnused(); }

std::vector<model::OutgoingMessage> Consensus::drainOutgoing()
{
    if (isLeader())
        replicator_.send();
    return std::exchange(context_.outgoing, {});
}

std::vector<StorageWrite> Consensus::drainWrites() { return context_.storage.drainWrites(context_.now); }

} // namespace saltvane::control
