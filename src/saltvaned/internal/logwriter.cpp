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

/// A pipe that is writable takes so much without waiting (POSIX).
constexpr size_t Block = PIPE_BUF;
constexpr int LongestEndWaitMs = 200;
constexpr char Levels[] = "IWEF";

std::string timeText(const google::LogMessageTime& time)
{
    constexpr size_t Longest = 40;
    char text[Longest];
    const std::tm& utc = time.tm();
    const size_t length = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &utc);
    char whole[Longest];
    const int size = std::snprintf(
        whole, sizeof(whole), "%.*s.%03d", static_cast<int>(length), text, static_cast<int>(time.usec() / 1000));
    return {whole, static_cast<size_t>(size)};
}

} // namespace

LogWriter::LogWriter(Options options)
    : options_(options)
{
}

void LogWriter::send(google::LogSeverity severity, const char* /*fullFilename*/, const char* /*baseFilename*/,
    int /*line*/, const google::LogMessageTime& time, const char* message, size_t length)
{
    std::string text = "time=" + timeText(time) + " level=" + Levels[std::clamp(severity, 0, 3)] + ' ';
    text.append(message, length);
    text.push_back('\n');
    append(text);
}

void LogWriter::append(std::string_view line)
{
    if (waiting() + line.size() > options_.capacity) {
        ++dropped_;
        ++droppedInAll_;
        return;
    }
    noteDropped();
    buffer_.append(line);
}

void LogWriter::noteDropped()
{
    if (dropped_ == 0)
        return;
    buffer_ += "level=W module=saltvaned event=log_lines_dropped count=" + std::to_string(dropped_) + "\n";
    dropped_ = 0;
}

bool LogWriter::isWritable(int timeoutMs) const
{
    pollfd waited {.fd = options_.fd, .events = POLLOUT, .revents = 0};
    return ::poll(&waited, 1, timeoutMs) == 1 && (waited.revents & POLLOUT) != 0;
}

bool LogWriter::writeBlock()
{
    const size_t size = std::min(Block, waiting());
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
    if (waiting() == 0 || now < nextFlushAt_)
        return;
    nextFlushAt_ = now + options_.flushPeriod;
    flush();
}

void LogWriter::flush()
{
    while (waiting() > 0 && isWritable(0)) {
        if (!writeBlock())
            break;
    }
    if (waiting() > 0 && written_ > 0) {
        buffer_.erase(0, written_);
        written_ = 0;
    }
}

void LogWriter::flushAtEnd()
{
    noteDropped();
    while (waiting() > 0 && isWritable(LongestEndWaitMs)) {
        if (!writeBlock())
            return;
    }
}

} // namespace saltvane::saltvaned
