/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/tests/fakedisk.h"

#include <utility>

namespace saltvane::control::test {

FakeDisk::FakeDisk(model::ReplicaId replica)
    : replica_(std::move(replica))
{
}

void FakeDisk::write(const StorageWrite& write, size_t steps)
{
    ++version_;
    const auto mayStep = [&steps] { return steps > 0 && steps-- > 0; };
    if (write.hardState && mayStep()) {
        isNew_ = false;
        hardState_ = *write.hardState;
    }
    if (write.truncateFrom && mayStep())
        entries_.erase(entries_.lower_bound(*write.truncateFrom), entries_.end());
    for (const model::LogEntry& entry : write.append) {
        if (!mayStep())
            return;
        isNew_ = false;
        entries_[entry.index] = entry;
    }
    if (write.snapshot && mayStep()) {
        isNew_ = false;
        snapshot_ = *write.snapshot;
        snapshotIndex_ = write.snapshotIndex;
        snapshotTerm_ = write.snapshotTerm;
        entries_.erase(entries_.begin(), entries_.upper_bound(snapshotIndex_));
    }
}

RecoveredState FakeDisk::recover() const
{
    RecoveredState state {.replica = replica_,
        .isNewDisk = isNew_ && !reusesIdentity,
        .hardState = hardState_,
        .snapshotIndex = snapshotIndex_,
        .snapshotTerm = snapshotTerm_,
        .snapshot = snapshot_,
        .entries = {}};
    for (const auto& [index, entry] : entries_)
        state.entries.push_back(entry);
    return state;
}

} // namespace saltvane::control::test
