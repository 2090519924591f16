/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/inetadapters.h"
#include "net/internal/datafolder.h"
#include "net/internal/filetools.h"
#include "net/tests/faultydisk.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

namespace saltvane::net::tests {

using control::RecoveredState;
using control::StorageWrite;
namespace fs = std::filesystem;

class TemporaryFolder {
public:
    TemporaryFolder()
    {
        // In memory if possible: thousands of folders are created and removed.
        const fs::path inMemory = "/dev/shm";
        const fs::path parent = ::access(inMemory.c_str(), W_OK) == 0 ? inMemory : fs::temp_directory_path();
        std::string pattern = parent / "saltvane-XXXXXX";
        root_ = ::mkdtemp(pattern.data());
    }
    ~TemporaryFolder() { fs::remove_all(root_); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    [[nodiscard]] std::string path() const { return root_ / "data"; }
    [[nodiscard]] fs::path root() const { return root_; }

private:
    fs::path root_;
};

inline model::LogEntry entry(uint64_t index, uint64_t term)
{
    return {{index}, {term}, "payload" + std::to_string(index)};
}

inline StorageWrite appending(uint64_t first, uint64_t last, uint64_t term)
{
    StorageWrite write;
    for (uint64_t i = first; i <= last; ++i)
        write.append.push_back(entry(i, term));
    return write;
}

inline StorageWrite snapshotting(uint64_t index, uint64_t term)
{
    return {.snapshot = "snapshot" + std::to_string(index), .snapshotIndex = {index}, .snapshotTerm = {term}};
}

/// Appends, votes, conflicts, own snapshots followed by entries, and received snapshots ahead of the log.
inline std::vector<StorageWrite> replicaHistory()
{
    std::vector<StorageWrite> writes;
    writes.push_back({.hardState = control::HardState {{1}, model::ReplicaId("v1")}});
    writes.push_back(appending(1, 5, 1));
    writes.push_back(appending(6, 9, 1));
    StorageWrite conflict = appending(8, 10, 2);
    conflict.truncateFrom = LogIndex {8};
    conflict.hardState = control::HardState {{2}, model::ReplicaId("v2")};
    writes.push_back(conflict);
    writes.push_back(snapshotting(7, 1));
    writes.push_back(appending(11, 12, 2));
    StorageWrite ahead = snapshotting(40, 3);
    ahead.append = {entry(41, 3)};
    writes.push_back(ahead);
    writes.push_back(appending(42, 43, 3));
    StorageWrite divergent = snapshotting(43, 4);
    divergent.truncateFrom = LogIndex {43};
    writes.push_back(divergent);
    writes.push_back(appending(44, 46, 4));
    writes.push_back(snapshotting(45, 4));
    return writes;
}

/// Simple reference implementation of the state after the first `count` writes.
inline RecoveredState expectedAfter(const std::vector<StorageWrite>& writes, size_t count)
{
    RecoveredState state;
    std::map<LogIndex, model::LogEntry> entries;
    for (size_t i = 0; i < count; ++i) {
        const StorageWrite& write = writes[i];
        if (write.hardState)
            state.hardState = *write.hardState;
        if (write.truncateFrom)
            entries.erase(entries.lower_bound(*write.truncateFrom), entries.end());
        for (const model::LogEntry& item : write.append)
            entries[item.index] = item;
        if (!write.snapshot)
            continue;
        state.snapshot = *write.snapshot;
        state.snapshotIndex = write.snapshotIndex;
        state.snapshotTerm = write.snapshotTerm;
        entries.erase(entries.begin(), entries.upper_bound(write.snapshotIndex));
    }
    for (const auto& [index, item] : entries)
        state.entries.push_back(item);
    return state;
}

inline bool isSame(const RecoveredState& a, const RecoveredState& b)
{
    return a.hardState.term == b.hardState.term && a.hardState.votedFor == b.hardState.votedFor
        && a.snapshotIndex == b.snapshotIndex && a.snapshotTerm == b.snapshotTerm && a.snapshot == b.snapshot
        && a.entries == b.entries;
}

inline std::string describe(const RecoveredState& state)
{
    std::string text = "term " + std::to_string(state.hardState.term.value) + " snapshot "
        + std::to_string(state.snapshotIndex.value) + " entries";
    for (const model::LogEntry& item : state.entries)
        text += " " + std::to_string(item.index.value) + "/" + std::to_string(item.term.value);
    return text;
}

inline std::unique_ptr<IDataFolder> reopened(const std::string& path)
{
    auto folder = openDataFolder(path);
    EXPECT_TRUE(folder.isOk()) << folder.error().location << " " << folder.error().message;
    return folder ? std::move(folder.value()) : nullptr;
}

inline void flipByte(const std::string& path, uint64_t offset)
{
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(static_cast<std::streamoff>(offset));
    const char byte = static_cast<char>(file.get() ^ 0x10);
    file.seekp(static_cast<std::streamoff>(offset));
    file.put(byte);
}

inline std::vector<std::string> filesWith(const std::string& path, std::string_view prefix)
{
    std::vector<std::string> found;
    for (const auto& item : fs::directory_iterator(path)) {
        if (item.path().filename().string().starts_with(prefix))
            found.push_back(item.path());
    }
    std::sort(found.begin(), found.end());
    return found;
}

} // namespace saltvane::net::tests
