/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/replicatedlog.h"

#include "control/internal/logindexes.h"

#include <algorithm>
#include <utility>

namespace saltvane::control {

ReplicatedLog::ReplicatedLog(LogIndex baseIndex, LogTerm baseTerm)
    : baseIndex_(baseIndex)
    , baseTerm_(baseTerm)
{
}

LogTerm ReplicatedLog::lastTerm() const { return entries_.empty() ? baseTerm_ : entries_.back().term; }

std::optional<LogTerm> ReplicatedLog::termAt(LogIndex index) const
{
    if (index == baseIndex_)
        return baseTerm_;
    if (index < baseIndex_ || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

const model::LogEntry& ReplicatedLog::at(LogIndex index) const
{
    return entries_.at(index.value - baseIndex_.value - 1);
}

std::vector<model::LogEntry> ReplicatedLog::slice(LogIndex from, size_t maxBytes) const
{
    std::vector<model::LogEntry> entries;
    size_t bytes = 0;
    for (LogIndex index = from; index <= lastIndex(); index = indexAfter(index)) {
        const model::LogEntry& entry = at(index);
        bytes += entry.payload.size();
        if (!entries.empty() && bytes > maxBytes)
            break;
        entries.push_back(entry);
    }
    return entries;
}

LogIndex ReplicatedLog::beforeTermOf(LogIndex index) const
{
    const std::optional<LogTerm> term = termAt(index);
    while (index > baseIndex_ && termAt(index) == term)
        index = indexBefore(index);
    return index;
}

void ReplicatedLog::append(model::LogEntry entry) { entries_.push_back(std::move(entry)); }

void ReplicatedLog::truncateFrom(LogIndex index)
{
    const uint64_t kept = index.value - baseIndex_.value - 1;
    entries_.resize(std::min<size_t>(entries_.size(), kept));
}

void ReplicatedLog::compactTo(LogIndex index, size_t keepEntries, size_t keepBytes)
{
    LogIndex newBase = std::min(index, lastIndex());
    size_t bytes = 0;
    for (size_t kept = 0; kept < keepEntries && newBase > baseIndex_; ++kept) {
        bytes += at(newBase).payload.size();
        if (bytes > keepBytes)
            break;
        newBase = indexBefore(newBase);
    }
    while (baseIndex_ < newBase) {
        baseTerm_ = entries_.front().term;
        baseIndex_ = indexAfter(baseIndex_);
        entries_.pop_front();
    }
}

void ReplicatedLog::reset(LogIndex index, LogTerm term)
{
    entries_.clear();
    baseIndex_ = index;
    baseTerm_ = term;
}

} // namespace saltvane::control
