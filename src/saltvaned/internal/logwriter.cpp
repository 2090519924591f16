/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvaned/internal/logwriter.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <cstdio>
#include <ctime>
#include <poll.h>
#include <unistd.h>

namespace saltvane::saltvaned {

namespace {

/// A write of at most this size to a pipe that polls as writable doesn't block (POSIX).
constexpr size_t MaxBlockBytes = PIPE_BUF;
constexpr int MaxFinalPollMs = 200;
constexpr char LevelLetters[] = "IWEF";

std::string formatTime(const google::LogMessageTime& time)
{
    constexpr size_t MaxTextBytes = 40;
    char seconds[MaxTextBytes];
    const std::tm& utc = time.tm();
    const size_t length = std::strftime(seconds, sizeof(seconds), "%Y-%m-%dT%H:%M:%S", &utc);
    char text[MaxTextBytes];
    const int size = std::snprintf(
        text, sizeof(text), "%.*s.%03d", static_cast<int>(length), seconds, static_cast<int>(time.usec() / 1000));
    return {text, static_cast<size_t>(size)};
}

} // namespace

LogWriter::LogWriter(Options options)
    : options_(options)
{
}

void LogWriter::send(google::LogSeverity severity, const char* /*fullFilename*/, const char* /*baseFilename*/,
    int /*line*/, const google::LogMessageTime& time, const char* message, size_t length)
{
    std::string text = "time=" + formatTime(time) + " level=" + LevelLetters[std::clamp(severity, 0, 3)] + ' ';
    text.append(message, length);
    text.push_back('\n');
    append(text);
}

void LogWriter::append(std::string_view line)
{
    if (bufferedBytes() + line.size() > options_.capacityBytes) {
        ++unreportedDrops_;
        ++droppedLines_;
        return;
    }
    reportDroppedLines();
    buffer_.append(line);
}

void LogWriter::reportDroppedLines()
{
    if (unreportedDrops_ == 0)
        return;
    buffer_ += "level=W module=saltvaned event=log_lines_dropped count=" + std::to_string(unreportedDrops_) + "\n";
    unreportedDrops_ = 0;
}

bool LogWriter::isWritable(int timeoutMs) const
{
    pollfd descriptor {.fd = options_.fd, .events = POLLOUT, .revents = 0};
    return ::poll(&descriptor, 1, timeoutMs) == 1 && (descriptor.revents & POLLOUT) != 0;
}

bool LogWriter::writeBlock()
{
    const size_t size = std::min(MaxBlockBytes, bufferedBytes());
    const ssize_t count = ::write(options_.fd, buffer_.data() + written_, size);
    if (count <= 0)
        return count < 0 && errno == EINTR;
    written_ += static_cast<size_t>(count);
    if (written_ == buffer_.size()) {
        buffer_.clear();
        written_ = 0;
    }
    return true;
}

void LogWriter::tick(Timestamp now)
{
    if (bufferedBytes() == 0 || now < nextFlushAt_)
        return;
    nextFlushAt_ = now + options_.flushInterval;
    flush();
}

void LogWriter::flush()
{
    while (bufferedBytes() > 0 && isWritable(0)) {
        if (!writeBlock())
            break;
    }
    if (bufferedBytes() > 0 && written_ > 0) {
        buffer_.erase(0, written_);
        written_ = 0;
    }
}

void LogWriter::flushBeforeExit()
{
    reportDroppedLines();
    while (bufferedBytes() > 0 && isWritable(MaxFinalPollMs)) {
        if (!writeBlock())
            return;
    }
}

} // namespace saltvane::saltvaned
