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

/// Takes the process's log lines from glog and writes them to a descriptor, in blocks, without ever waiting for its
/// reader. Lines that find the buffer full are dropped, and a line says how many. docs/LOGS.md
class LogWriter final : public google::LogSink {
public:
    struct Options {
        int fd = 1;
        size_t capacity = 256 * 1024; ///< Bytes that may wait.
        Duration flushPeriod = 200ms;
    };
    explicit LogWriter(Options options);

    void send(google::LogSeverity severity, const char* fullFilename, const char* baseFilename, int line,
        const google::LogMessageTime& time, const char* message, size_t length) override;
    /// Writes what waits, as far as the descriptor takes it, once a flush period.
    void tick(Timestamp now);
    void flush();
    /// At the end of the process: waits for the reader, but not for long.
    void flushAtEnd();

    [[nodiscard]] uint64_t dropped() const { return droppedInAll_; }
    [[nodiscard]] size_t waiting() const { return buffer_.size() - written_; }

private:
    void append(std::string_view line);
    void noteDropped();
    /// False: the descriptor takes nothing now.
    [[nodiscard]] bool isWritable(int timeoutMs) const;
    /// Writes one block; false where nothing could be written.
    bool writeBlock();

    Options options_;
    std::string buffer_;
    size_t written_ = 0;
    uint64_t dropped_ = 0; ///< Not told of yet.
    uint64_t droppedInAll_ = 0;
    Timestamp nextFlushAt_ {};
};

} // namespace saltvane::saltvaned
