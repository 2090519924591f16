/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/controltypes.h"

#include <map>
#include <string>

namespace saltvane::control::test {

/// Simulated disk of a control host. It can be full and, to prove that the invariant checks can fail, acknowledge
/// writes that it did not store.
class FakeDisk {
public:
    explicit FakeDisk(model::ReplicaId replica);

    /// Performs a write. `steps` limits the steps performed, as a crash would.
    void write(const StorageWrite& write, size_t steps = SIZE_MAX);
    [[nodiscard]] RecoveredState recover() const;

    [[nodiscard]] const model::ReplicaId& replica() const { return replica_; }
    [[nodiscard]] const std::map<LogIndex, model::LogEntry>& entries() const { return entries_; }
    [[nodiscard]] LogIndex snapshotIndex() const { return snapshotIndex_; }
    [[nodiscard]] LogTerm snapshotTerm() const { return snapshotTerm_; }
    /// Number of writes so far.
    [[nodiscard]] uint64_t version() const { return version_; }

    bool isFull = false;
    bool acknowledgesWithoutSync = false; ///< Acknowledges writes without storing them.
    bool reusesIdentity = false; ///< A replacement disk keeps the old replica id.

private:
    model::ReplicaId replica_;
    bool isNew_ = true;
    HardState hardState_;
    std::map<LogIndex, model::LogEntry> entries_;
    std::string snapshot_;
    LogIndex snapshotIndex_;
    LogTerm snapshotTerm_;
    uint64_t version_ = 0;
};

} // namespace saltvane::control::test
