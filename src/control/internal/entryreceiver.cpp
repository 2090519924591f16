/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/entryreceiver.h"

#include "control/internal/logindexes.h"

#include <algorithm>

namespace saltvane::control {

EntryReceiver::EntryReceiver(ReplicaContext& context)
    : context_(context)
{
}

void EntryReceiver::startTerm()
{
    verified_ = context_.commit;
    leaderCommit_ = {};
    acknowledged_ = {};
    lastRound_ = 0;
}

LogIndex EntryReceiver::committable() const
{
    return std::min({leaderCommit_, verified_, context_.storage.durableIndex()});
}

bool EntryReceiver::matches(const model::AppendRequest& request) const
{
    // Entries below the base are committed, so they match every leader's log.
    if (request.previousIndex < context_.log.baseIndex())
        return true;
    return context_.log.termAt(request.previousIndex) == request.previousTerm;
}

void EntryReceiver::handle(const model::AppendRequest& request, bool mayAppend)
{
    leaderCommit_ = std::max(leaderCommit_, request.commit);
    lastRound_ = std::max(lastRound_, request.round);
    if (!matches(request))
        return refuse(request);
    if (mayAppend)
        appendEntries(request);
    else
        verified_ = std::max(verified_, std::min(request.previousIndex, context_.log.lastIndex()));
    acknowledge();
}

void EntryReceiver::appendEntries(const model::AppendRequest& request)
{
    LogIndex index = request.previousIndex;
    for (const model::LogEntry& entry : request.entries) {
        index = indexAfter(index);
        if (entry.index != index)
            return;
        if (index <= context_.log.baseIndex())
            continue;
        const std::optional<LogTerm> own = context_.log.termAt(index);
        if (own == entry.term)
            continue;
        if (own && index <= context_.commit)
            return; // A valid leader never conflicts with committed entries; ignores the message.
        if (own)
            context_.truncateFrom(index);
        context_.append(entry);
    }
    verified_ = std::max(verified_, index);
}

void EntryReceiver::refuse(const model::AppendRequest& request)
{
    const LogIndex last = context_.log.lastIndex();
    LogIndex hint = last;
    if (request.previousIndex <= last)
        hint = std::max(context_.log.beforeTermOf(request.previousIndex), context_.commit);
    context_.send(context_.leaderHost,
        model::AppendReply {.term = context_.hardState.term,
            .replica = context_.self,
            .isAccepted = false,
            .match = hint,
            .round = request.round});
    context_.proof.recordReply(request.round, context_.now);
}

void EntryReceiver::acknowledge()
{
    acknowledged_ = std::min(verified_, context_.storage.durableIndex());
    context_.send(context_.leaderHost,
        model::AppendReply {.term = context_.hardState.term,
            .replica = context_.self,
            .isAccepted = true,
            .match = acknowledged_,
            .round = lastRound_});
    context_.proof.recordReply(lastRound_, context_.now);
}

void EntryReceiver::onDurable()
{
    const bool follows = context_.role == Role::Follower && !context_.leader.isEmpty();
    if (follows && std::min(verified_, context_.storage.durableIndex()) > acknowledged_)
        acknowledge();
}

void EntryReceiver::onSnapshotInstalled(LogIndex index)
{
    verified_ = std::max(verified_, index);
    leaderCommit_ = std::max(leaderCommit_, index);
}

} // namespace saltvane::control
