/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/datafolder.h"

#include "net/internal/filetools.h"
#include "net/internal/linkhello.h"
#include "net/internal/record.h"
#include "wire/framecodec.h"

#include <algorithm>

namespace saltvane::net {

namespace {
constexpr size_t TermBytes = 8;
constexpr size_t NumberBytes = 8;
} // namespace

Result<Success, IoError> DataFolder::write(const control::StorageWrite& write)
{
    const std::vector<LogItem> items = itemsOf(write);
    if (items.empty())
        return Success {};
    if (mustStartSegment_) {
        if (auto started = startSegment(); !started)
            return started;
    }
    if (write.snapshot) {
        if (auto written = writeSnapshot(write); !written)
            return written;
    }
    if (auto written = segment_->append(encodeItems(items)); !written)
        return written;
    for (const LogItem& item : items)
        apply(item);
    // The write is durable here. If one of the following steps fails, the next write retries it.
    if (write.snapshot || segment_->size() > options_.maxSegmentBytes)
        (void)startSegment();
    if (write.snapshot)
        (void)removeObsolete(write.snapshotIndex);
    return Success {};
}

Result<Success, IoError> DataFolder::writeSnapshot(const control::StorageWrite& write)
{
    const std::string payload = encodeLinkInteger(write.snapshotTerm.value, TermBytes) + *write.snapshot;
    const std::string record = encodeRecord({.file = write.snapshotIndex.value}, payload);
    if (auto done = replaceFile(disk_, path_, snapshotName(write.snapshotIndex), record); !done)
        return done;
    const uint64_t index = write.snapshotIndex.value;
    if (std::find(snapshots_.begin(), snapshots_.end(), index) == snapshots_.end())
        snapshots_.push_back(index);
    return Success {};
}

Result<Success, IoError> DataFolder::startSegment()
{
    mustStartSegment_ = true;
    const uint64_t number = segment_->number() + 1;
    auto next
        = Segment::create(disk_, path_, {.segment = number, .last = state_.last(), .hardState = state_.hardState()});
    if (!next)
        return next.error();
    segment_ = std::move(next.value());
    segments_.emplace(number, LogIndex {});
    mustStartSegment_ = false;
    recordLastSegment();
    return Success {};
}

Result<Success, IoError> DataFolder::writeSoftState(const host::SoftState& state)
{
    const std::string targets = wire::encodeFrame(state.targets);
    const std::string suspects = wire::encodeFrame(state.suspects);
    const std::string bytes = targets + suspects;
    if (targets.empty() || suspects.empty())
        return IoError {.location = pathOf(std::string(SoftStateName)), .message = "too large"};
    return replaceFile(disk_, path_, std::string(SoftStateName), encodeRecord(SoftStatePosition, bytes));
}

void DataFolder::recordLastSegment()
{
    const std::string number = encodeLinkInteger(segment_->number(), NumberBytes);
    // On failure the write still succeeds: only a loss of this segment would go undetected.
    (void)replaceFile(disk_, path_, std::string(LastSegmentName), encodeRecord(LastSegmentPosition, number));
}

size_t DataFolder::removeObsolete(LogIndex snapshotIndex)
{
    size_t removed = std::erase_if(snapshots_, [&](uint64_t index) {
        return index < snapshotIndex.value && disk_.remove(pathOf(snapshotName({index}))) == 0;
    });
    while (segments_.begin()->first != segment_->number() && segments_.begin()->second <= snapshotIndex) {
        if (disk_.remove(pathOf(segmentName(segments_.begin()->first))) != 0)
            break;
        segments_.erase(segments_.begin());
        ++removed;
    }
    // Until then each removed name may come back by itself. If this fails, open() accepts any of them.
    if (removed > 0)
        (void)disk_.syncFolder(path_);
    return removed;
}

} // namespace saltvane::net
