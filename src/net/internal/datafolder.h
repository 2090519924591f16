/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/inetadapters.h"
#include "net/internal/diskcalls.h"
#include "net/internal/logstate.h"
#include "net/internal/record.h"
#include "net/internal/segment.h"
#include "net/internal/uniquefd.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace saltvane::net {

/// File with the number of the last segment, so that the loss of that segment is detected.
inline constexpr std::string_view LastSegmentName = "last-segment";
inline constexpr RecordPosition LastSegmentPosition {.file = 3};
inline constexpr std::string_view SoftStateName = "soft-state";
inline constexpr RecordPosition SoftStatePosition {.file = 4};

struct DataFolderOptions {
    uint64_t maxSegmentBytes = 16 * 1024 * 1024; ///< A larger segment is followed by a new one.
};

/// The data folder of one control replica. docs/STORAGE.md
class DataFolder final : public IDataFolder {
public:
    DataFolder(std::string path, IDiskCalls& disk, const DataFolderOptions& options = {})
        : path_(std::move(path))
        , disk_(disk)
        , options_(options)
    {
    }

    /// Locks, checks and reads the folder; creates it if it does not exist.
    [[nodiscard]] Result<Success, IoError> open();

    [[nodiscard]] const control::RecoveredState& recovered() const override { return recovered_; }
    [[nodiscard]] const std::vector<std::string>& warnings() const override { return warnings_; }
    [[nodiscard]] uint64_t startCount() const override { return startCount_; }
    [[nodiscard]] Result<Success, IoError> write(const control::StorageWrite& write) override;
    [[nodiscard]] const host::SoftState& softState() const override { return softState_; }
    [[nodiscard]] Result<Success, IoError> writeSoftState(const host::SoftState& state) override;

private:
    using Step = Result<Success, IoError> (DataFolder::*)();
    // Steps of opening, in order.
    [[nodiscard]] Result<Success, IoError> makeFolder();
    [[nodiscard]] Result<Success, IoError> lock();
    [[nodiscard]] Result<Success, IoError> listFiles();
    [[nodiscard]] Result<Success, IoError> checkFormat();
    [[nodiscard]] Result<Success, IoError> readReplica();
    [[nodiscard]] Result<Success, IoError> readSnapshot();
    [[nodiscard]] Result<Success, IoError> checkLastSegment();
    [[nodiscard]] Result<Success, IoError> readSegments();
    [[nodiscard]] Result<Success, IoError> removeObsoleteAtStart();
    [[nodiscard]] Result<Success, IoError> incrementStartCount();
    [[nodiscard]] Result<Success, IoError> readSoftState();

    [[nodiscard]] Result<Success, IoError> checkUnformatted() const;
    [[nodiscard]] Result<Success, IoError> create();
    /// Lets removeObsolete() drop the segments before a gap.
    void voidSegmentsBeforeGap();
    [[nodiscard]] Result<Success, IoError> openLast(uint64_t number, const SegmentContent& content);
    [[nodiscard]] Result<Success, IoError> reconcileSnapshot();
    void apply(const LogItem& item);
    [[nodiscard]] std::string pathOf(const std::string& name) const { return path_ + "/" + name; }

    // Writing.
    [[nodiscard]] Result<Success, IoError> writeSnapshot(const control::StorageWrite& write);
    [[nodiscard]] Result<Success, IoError> startSegment();
    void recordLastSegment();
    /// Removes the snapshots and segments that a snapshot replaces. Returns how many were removed.
    size_t removeObsolete(LogIndex snapshotIndex);

    std::string path_;
    IDiskCalls& disk_;
    DataFolderOptions options_;
    UniqueFd lock_;
    control::RecoveredState recovered_;
    std::vector<std::string> warnings_;
    uint64_t startCount_ = 0;
    host::SoftState softState_; ///< As read by open().

    std::map<uint64_t, LogIndex> segments_; ///< Highest index ever written to each segment, by number.
    std::vector<uint64_t> snapshots_; ///< Indices of the snapshots on disk.
    std::unique_ptr<Segment> segment_; ///< The last segment, which is appended to.
    /// Creating the next segment failed, but its file may exist: nothing may be appended before it is created.
    bool mustStartSegment_ = false;
    bool hasFormat_ = false;
    std::vector<std::string> names_; ///< Of all files found by open().
    LogState state_; ///< Holds no payloads after open().
};

} // namespace saltvane::net
