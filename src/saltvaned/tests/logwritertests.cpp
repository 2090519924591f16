/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvaned/internal/logwriter.h"

#include <array>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>

namespace saltvane::saltvaned {

namespace {

/// Writes to a pipe that is read only when a test calls read().
class LogWriterTest : public testing::Test {
protected:
    LogWriterTest() { EXPECT_EQ(::pipe2(ends_.data(), O_CLOEXEC), 0); }
    ~LogWriterTest() override
    {
        ::close(ends_[0]);
        ::close(ends_[1]);
    }

    static void log(LogWriter& writer, const std::string& text)
    {
        writer.send(google::GLOG_WARNING, "file", "file", 1, google::LogMessageTime(), text.data(), text.size());
    }
    std::string read()
    {
        std::string all;
        std::array<char, 65536> block {};
        ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
        for (ssize_t count = 0; (count = ::read(ends_[0], block.data(), block.size())) > 0;)
            all.append(block.data(), static_cast<size_t>(count));
        return all;
    }

    std::array<int, 2> ends_ {};
};

} // namespace

TEST_F(LogWriterTest, WritesCompleteLinesWithTimeAndLevel)
{
    LogWriter writer({.fd = ends_[1]});
    log(writer, "module=test event=one");
    log(writer, "module=test event=two");
    writer.flush();
    const std::string text = read();
    EXPECT_NE(text.find(" level=W module=test event=one\n"), std::string::npos);
    EXPECT_TRUE(text.starts_with("time="));
    EXPECT_TRUE(text.ends_with("event=two\n"));
}

TEST_F(LogWriterTest, BlockedReaderNeverDelaysLoggingAndDroppedLinesAreReported)
{
    LogWriter writer({.fd = ends_[1], .capacityBytes = 20'000});
    const std::string line(200, 'x');
    for (int i = 0; i < 5000; ++i) { // Far more than the pipe and the buffer can store.
        log(writer, line);
        writer.flush();
    }
    EXPECT_GT(writer.droppedLines(), 0U);
    EXPECT_LE(writer.bufferedBytes(), 20'000U);
    std::string text = read();
    writer.flush();
    log(writer, "module=test event=after");
    writer.flush();
    text += read();
    EXPECT_NE(text.find("event=log_lines_dropped count="), std::string::npos);
    EXPECT_TRUE(text.ends_with("event=after\n"));
}

TEST_F(LogWriterTest, BuffersLinesForTheFlushInterval)
{
    LogWriter writer({.fd = ends_[1], .flushInterval = 200ms});
    log(writer, "one");
    writer.tick(Timestamp(10s));
    EXPECT_NE(read().find("one"), std::string::npos);
    log(writer, "two");
    writer.tick(Timestamp(10s + 100ms));
    EXPECT_EQ(read(), "");
    writer.tick(Timestamp(10s + 200ms));
    EXPECT_NE(read().find("two"), std::string::npos);
}

} // namespace saltvane::saltvaned
