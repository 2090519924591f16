/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/storagequeue.h"

#include "control/internal/logindexes.h"

#include <algorithm>
#include <utility>

namespace saltvane::control {

namespace {
constexpr Duration RetryDelay = 250ms;
} // namespace

StorageQueue::StorageQueue(LogIndex durableIndex)
    : durableIndex_(durableIndex)
{
}

StorageQueue::Pending& StorageQueue::openWrite()
{
    const size_t frozen = wasEmitted_ ? 1 : 0;
    if (pending_.size() > frozen && !pending_.back().write.snapshot)
        return pending_.back();
    const LogIndex last = pending_.empty() ? durableIndex_ : pending_.back().lastIndex;
    pending_.push_back({.write = {.sequence = ++lastSequence_}, .lastIndex = last});
    return pending_.back();
}

uint64_t StorageQueue::setHardState(const HardState& state)
{
    Pending& pending = openWrite();
    pending.write.hardState = state;
    return pending.write.sequence;
}

uint64_t StorageQueue::append(const model::LogEntry& entry)
{
    Pending& pending = openWrite();
    pending.write.append.push_back(entry);
    pending.lastIndex = entry.index;
    return pending.write.sequence;
}

uint64_t StorageQueue::truncateFrom(LogIndex index)
{
    StorageWrite& write = openWrite().write;
    std::erase_if(write.append, [&](const model::LogEntry& entry) { return entry.index >= index; });
    write.truncateFrom = std::min(write.truncateFrom.value_or(index), index);
    const LogIndex last = indexBefore(index);
    for (Pending& pending : pending_)
        pending.lastIndex = std::min(pending.lastIndex, last);
    durableIndex_ = std::min(durableIndex_, last);
    return write.sequence;
}

uint64_t StorageQueue::putSnapshot(std::string bytes, LogIndex index, LogTerm term)
{
    Pending& pending = openWrite();
    pending.write.snapshot = std::move(bytes);
    pending.write.snapshotIndex = index;
    pending.write.snapshotTerm = term;
    pending.lastIndex = std::max(pending.lastIndex, index);
    return pending.write.sequence;
}

std::vector<StorageWrite> StorageQueue::drainWrites(Timestamp now)
{
    if (isOutstanding_ || pending_.empty())
        return {};
    if (retryAt_ && now < *retryAt_)
        return {};
    isRetrying_ = retryAt_.has_value();
    retryAt_.reset();
    isOutstanding_ = true;
    wasEmitted_ = true;
    return {pending_.front().write};
}

bool StorageQueue::complete(uint64_t sequence)
{
    if (!isOutstanding_ || pending_.front().write.sequence != sequence)
        return false;
    durableIndex_ = pending_.front().lastIndex;
    completed_ = sequence;
    pending_.pop_front();
    isOutstanding_ = false;
    wasEmitted_ = false;
    isRetrying_ = false;
    return true;
}

void StorageQueue::fail(uint64_t sequence, Timestamp now)
{
    if (!isOutstanding_ || pending_.front().write.sequence != sequence)
        return;
    isOutstanding_ = false;
    retryAt_ = now + RetryDelay;
}

} // namespace saltvane::control
