/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

#include <cstdint>
#include <glog/logging.h>
#include <string>

namespace saltvane::saltvaned {

/// Receives the log lines of the process from glog and writes them to a file descriptor in blocks. Logging never waits
/// for the descriptor's reader: lines are dropped while the buffer is full, and a log line reports how many.
/// docs/LOGS.md
class LogWriter final : public google::LogSink {
public:
    struct Options {
        int fd = 1;
        size_t capacityBytes = 256 * 1024; ///< Most bytes that are buffered.
        Duration flushInterval = 200ms;
    };
    explicit LogWriter(Options options);

    void send(google::LogSeverity severity, const char* fullFilename, const char* baseFilename, int line,
        const google::LogMessageTime& time, const char* message, size_t length) override;
    /// Calls flush() once per flush interval.
    void tick(Timestamp now);
    /// Writes buffered bytes for as long as the descriptor accepts them without blocking.
    void flush();
    /// Writes the rest before the process exits; gives up once the descriptor accepts nothing for 200 ms.
    void flushBeforeExit();

    [[nodiscard]] uint64_t droppedLines() const { return droppedLines_; }
    [[nodiscard]] size_t bufferedBytes() const { return buffer_.size() - written_; }

private:
    void append(std::string_view line);
    /// Appends a line with the number of lines dropped since the last such line.
    void reportDroppedLines();
    /// Whether the descriptor accepts a block, now or within the timeout.
    [[nodiscard]] bool isWritable(int timeoutMs) const;
    /// Writes one block. Returns false if the write failed, true also if a signal interrupted it.
    bool writeBlock();

    Options options_;
    std::string buffer_;
    size_t written_ = 0; ///< Bytes at the start of the buffer that are already written.
    uint64_t unreportedDrops_ = 0; ///< Dropped lines that no log line has reported yet.
    uint64_t droppedLines_ = 0; ///< Since the start of the process.
    Timestamp nextFlushAt_ {};
};

} // namespace saltvane::saltvaned
