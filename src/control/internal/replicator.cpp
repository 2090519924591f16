/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/replicator.h"

#include "control/internal/logindexes.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace saltvane::control {

namespace {
constexpr size_t MaxBatchBytes = 64 * 1024; ///< Of entries in one message, unless a single entry is larger.
/// The send times of rounds are retained for this many election timeouts.
constexpr int RoundHistoryTimeouts = 4;
} // namespace

Replicator::Replicator(ReplicaContext& context)
    : context_(context)
{
}

void Replicator::startTerm()
{
    progress_.clear();
    quorumProof_.reset();
    provenAt_.reset();
    followConfiguration();
}

void Replicator::followConfiguration()
{
    const Configuration& configuration = context_.configurations.latest();
    std::erase_if(progress_, [&](const auto& item) { return !configuration.find(item.first); });
    for (const ReplicaInfo& info : configuration.replicas) {
        if (info.replica != context_.self)
            progress_.try_emplace(info.replica, context_.log.lastIndex());
    }
}

void Replicator::handle(const model::AppendReply& reply)
{
    const auto found = progress_.find(reply.replica);
    if (found == progress_.end())
        return;
    FollowerProgress& progress = found->second;
    quorumProof_.acknowledge(reply.replica, reply.round);
    if (progress.transfer()) {
        if (reply.isAccepted && reply.match >= progress.transfer()->index())
            progress.finishTransfer();
        return;
    }
    if (reply.isAccepted)
        progress.accept(reply.match);
    else
        progress.reject(reply.match);
}

void Replicator::handle(const model::SnapshotReply& reply)
{
    const auto found = progress_.find(reply.replica);
    if (found == progress_.end())
        return;
    std::optional<SnapshotTransfer>& transfer = found->second.transfer();
    if (!transfer || transfer->index() != reply.lastIndex)
        return;
    if (transfer->acknowledge(reply, context_.now))
        found->second.finishTransfer();
}

void Replicator::send()
{
    followConfiguration();
    quorumProof_.forgetBefore(context_.now - RoundHistoryTimeouts * context_.options.electionTimeout);
    for (const ReplicaInfo& info : context_.configurations.latest().replicas) {
        if (info.replica != context_.self)
            sendTo(info, progress_.at(info.replica));
    }
}

void Replicator::sendTo(const ReplicaInfo& info, FollowerProgress& progress)
{
    const bool isHeartbeatDue = context_.now - progress.lastSentAt >= context_.options.heartbeatInterval;
    progress.expire(context_.options.electionTimeout, context_.now);
    const bool needsSnapshot = !context_.log.termAt(indexBefore(progress.next()));
    if (needsSnapshot && !progress.transfer() && context_.snapshot)
        progress.transfer().emplace(context_.snapshot, context_.options.snapshotChunkBytes);
    if (progress.transfer()) {
        sendSnapshot(info, progress);
        if (isHeartbeatDue)
            sendAppend(info, progress, LogIndex {}, {});
        return;
    }
    bool hasSent = false;
    while (progress.mayAppend() && progress.next() <= context_.log.lastIndex()) {
        std::vector<model::LogEntry> entries = context_.log.slice(progress.next(), MaxBatchBytes);
        const LogIndex last = entries.back().index;
        size_t bytes = 0;
        for (const model::LogEntry& entry : entries)
            bytes += entry.payload.size();
        sendAppend(info, progress, indexBefore(progress.next()), std::move(entries));
        progress.recordAppend(last, bytes, context_.now);
        hasSent = true;
    }
    if (!hasSent && (isHeartbeatDue || progress.sentCommit < context_.commit))
        sendAppend(info, progress, indexBefore(progress.next()), {});
}

void Replicator::sendAppend(
    const ReplicaInfo& info, FollowerProgress& progress, LogIndex previous, std::vector<model::LogEntry> entries)
{
    model::AppendRequest request {.term = context_.hardState.term,
        .leader = context_.self,
        .previousIndex = previous,
        .previousTerm = previous == LogIndex {} ? LogTerm {} : context_.log.termAt(previous).value_or(LogTerm {}),
        .commit = context_.commit,
        .round = quorumProof_.startRound(context_.now),
        .entries = std::move(entries),
        .heardRound = quorumProof_.heardRound(info.replica)};
    if (provenAt_)
        request.proofAge = context_.now - *provenAt_;
    progress.lastSentAt = context_.now;
    progress.sentCommit = context_.commit;
    context_.send(info.host, std::move(request));
}

void Replicator::sendSnapshot(const ReplicaInfo& info, FollowerProgress& progress)
{
    progress.transfer()->expire(context_.options.electionTimeout, context_.now);
    while (std::optional<model::SnapshotChunk> chunk = progress.transfer()->nextChunk(context_.now)) {
        chunk->term = context_.hardState.term;
        chunk->leader = context_.self;
        context_.send(info.host, *std::move(chunk));
    }
}

LogIndex Replicator::quorumMatch() const
{
    std::vector<LogIndex> matches;
    for (const ReplicaInfo& info : context_.configurations.latest().replicas) {
        if (info.isVoter)
            matches.push_back(info.replica == context_.self ? context_.storage.durableIndex() : matchOf(info.replica));
    }
    std::ranges::sort(matches, std::greater {});
    const size_t quorum = context_.configurations.latest().quorum();
    if (matches.size() < quorum)
        return {};
    return std::min(matches[quorum - 1], context_.storage.durableIndex());
}

std::optional<Timestamp> Replicator::quorumContactAt() const
{
    return quorumProof_.provenAt(context_.configurations.latest(), context_.self, context_.now);
}

LogIndex Replicator::matchOf(const model::ReplicaId& replica) const
{
    const auto found = progress_.find(replica);
    return found == progress_.end() ? LogIndex {} : found->second.match();
}

bool Replicator::hadContactWithin(const model::ReplicaId& replica, Duration duration) const
{
    const std::optional<Timestamp> contactAt = quorumProof_.lastContactAt(replica);
    return contactAt && context_.now - *contactAt <= duration;
}

} // namespace saltvane::control
