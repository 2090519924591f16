/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/counters.h"
#include "model/hostmessages.h"
#include "model/reasons.h"

#include <gtest/gtest.h>
#include <set>
#include <string>

namespace saltvane::model {
namespace {

TEST(ReasonTest, TextsAreDistinctAndKebabCase)
{
    std::set<std::string_view> texts;
    for (size_t i = 0; i < static_cast<size_t>(Reason::Count); ++i) {
        const std::string_view text = toString(static_cast<Reason>(i));
        EXPECT_TRUE(texts.insert(text).second) << text;
        EXPECT_EQ(text.find_first_not_of("abcdefghijklmnopqrstuvwxyz-"), std::string_view::npos) << text;
    }
    EXPECT_EQ(toString(Reason::NoRoom), "no-room");
    EXPECT_EQ(toString(Reason::DeadlineExceeded), "deadline-exceeded");
    EXPECT_EQ(toString(Reason::StaleState), "stale-state");
}

TEST(ReasonTest, HttpStatusDependsOnOutcomeAndReason)
{
    EXPECT_EQ(httpStatus(Outcome::NotRun, Reason::NoRoom), 503);
    EXPECT_EQ(httpStatus(Outcome::NotRun, Reason::QueueTimeout), 504);
    EXPECT_EQ(httpStatus(Outcome::NotRun, Reason::KeyConflict), 422);
    EXPECT_EQ(httpStatus(Outcome::NotRun, Reason::MissingKey), 400);
    EXPECT_EQ(httpStatus(Outcome::NotRun, Reason::UnknownService), 404);
    EXPECT_EQ(httpStatus(Outcome::NotRun, Reason::BodyTooLarge), 413);
    EXPECT_EQ(httpStatus(Outcome::NotRun, Reason::HeadersTooLarge), 431);
    EXPECT_EQ(httpStatus(Outcome::Unknown, Reason::MinterGone), 409);
    EXPECT_EQ(httpStatus(Outcome::Unknown, Reason::PeerLost), 502);
    EXPECT_EQ(httpStatus(Outcome::Unknown, Reason::DeadlineExceeded), 504);
    for (size_t i = 0; i < static_cast<size_t>(Reason::Count); ++i) {
        EXPECT_GE(httpStatus(Outcome::NotRun, static_cast<Reason>(i)), 400);
        EXPECT_GE(httpStatus(Outcome::Unknown, static_cast<Reason>(i)), 400);
    }
}

TEST(CounterTest, NamesAreDistinctPrometheusCounterNames)
{
    std::set<std::string_view> names;
    for (size_t i = 0; i < static_cast<size_t>(Counter::Count); ++i) {
        const CounterInfo info = infoOf(static_cast<Counter>(i));
        EXPECT_TRUE(names.insert(info.name).second) << info.name;
        EXPECT_TRUE(info.name.starts_with("saltvane_") && info.name.ends_with("_total")) << info.name;
    }
    EXPECT_EQ(infoOf(Counter::RowMovesCapped).name, "saltvane_row_moves_capped_total");
    EXPECT_EQ(infoOf(Counter::Elections).name, "saltvane_elections_total");
    EXPECT_EQ(infoOf(Counter::LateFrames).name, "saltvane_late_frames_total");
}

TEST(AddressTest, Ipv6AddressIsInBrackets)
{
    EXPECT_EQ(toString(Address {.ip = "127.0.0.1", .port = 8080}), "127.0.0.1:8080");
    EXPECT_EQ(toString(Address {.ip = "::1", .port = 8080}), "[::1]:8080");
}

TEST(AddressTest, ParsesOnlyIpAddressesWithPorts)
{
    EXPECT_EQ(parseAddress("127.0.0.1:8080"), (Address {.ip = "127.0.0.1", .port = 8080}));
    EXPECT_EQ(parseAddress("[::1]:1"), (Address {.ip = "::1", .port = 1}));
    for (const char* text : {"", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "localhost:80",
             "::1:80", "[127.0.0.1]:80", "[::1]80", "127.0.0.1:80 ", "127.0.0.1:+80"})
        EXPECT_FALSE(parseAddress(text)) << text;
}

} // namespace
} // namespace saltvane::model
