/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/logstate.h"

namespace saltvane::net {

std::optional<std::string> LogState::apply(const LogItem& item)
{
    if (const auto* start = std::get_if<SegmentStart>(&item))
        return applyStart(*start);
    isEmpty_ = false;
    if (const auto* hardState = std::get_if<control::HardState>(&item))
        hardState_ = *hardState;
    if (const auto* truncate = std::get_if<Truncate>(&item))
        applyTruncate(truncate->from);
    if (const auto* mark = std::get_if<SnapshotMark>(&item))
        applySnapshot(*mark);
    if (const auto* entry = std::get_if<model::LogEntry>(&item))
        return applyEntry(*entry);
    return std::nullopt;
}

SnapshotMark LogState::last() const
{
    if (entries_.empty())
        return base_;
    return {.index = entries_.back().index, .term = entries_.back().term};
}

std::vector<model::LogEntry> LogState::releaseEntries()
{
    std::vector<model::LogEntry> entries;
    entries.reserve(entries_.size());
    for (model::LogEntry& entry : entries_) {
        entries.push_back(std::move(entry));
        entry = {.index = entries.back().index, .term = entries.back().term, .payload = {}};
    }
    return entries;
}

bool LogState::contains(const SnapshotMark& mark) const
{
    if (mark.index == base_.index)
        return !isBaseTermKnown_ || mark.term == base_.term;
    if (mark.index < base_.index || mark.index > last().index)
        return false;
    return entries_[mark.index.value - base_.index.value - 1].term == mark.term;
}

bool LogState::endsAt(const SnapshotMark& mark) const { return mark.index == last().index && contains(mark); }

std::optional<std::string> LogState::applyStart(const SegmentStart& start)
{
    const bool isFollowing = segment_ && start.segment == *segment_ + 1;
    if (isFollowing && !endsAt(start.last))
        return "the segment before ends at another entry";
    if (!isFollowing)
        restartAt(start);
    segment_ = start.segment;
    return std::nullopt;
}

void LogState::restartAt(const SegmentStart& start)
{
    isEmpty_ = start.segment == 1;
    firstSegment_ = start.segment;
    entries_.clear();
    base_ = start.last;
    isBaseSnapshot_ = false;
    isBaseTermKnown_ = true;
    hardState_ = start.hardState;
}

std::optional<std::string> LogState::applyEntry(const model::LogEntry& entry)
{
    if (entry.index.value > last().index.value + 1)
        return "entries before " + std::to_string(entry.index.value) + " are missing";
    if (isBaseSnapshot_ && entry.index <= base_.index)
        return std::nullopt;
    applyTruncate(entry.index);
    entries_.push_back(entry);
    return std::nullopt;
}

void LogState::applyTruncate(LogIndex from)
{
    while (!entries_.empty() && entries_.back().index >= from)
        entries_.pop_back();
    if (from > base_.index || isBaseSnapshot_)
        return;
    base_ = {.index = {from.value - 1}};
    isBaseTermKnown_ = false;
}

void LogState::applySnapshot(const SnapshotMark& mark)
{
    if (mark.index < base_.index)
        return;
    if (!contains(mark))
        entries_.clear(); // They belong to another log than the snapshot.
    while (!entries_.empty() && entries_.front().index <= mark.index)
        entries_.pop_front();
    base_ = mark;
    isBaseSnapshot_ = true;
    isBaseTermKnown_ = true;
}

std::optional<std::string> LogState::finish(const SnapshotMark& snapshot)
{
    applySnapshot(snapshot);
    if (base_.index == snapshot.index)
        return std::nullopt;
    return "entries " + std::to_string(snapshot.index.value + 1) + " to " + std::to_string(base_.index.value)
        + " are neither in a snapshot nor in a segment: the newest snapshot is of entry "
        + std::to_string(snapshot.index.value) + ", and the log begins with segment " + std::to_string(firstSegment_);
}

} // namespace saltvane::net
