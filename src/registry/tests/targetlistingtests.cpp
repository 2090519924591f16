/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/targettable.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace saltvane::registry::test {

namespace {

/// Targets that report every three seconds, and what their registry host sends of them to each gateway.
class TargetListingTest : public testing::Test {
protected:
    static constexpr size_t Targets = 100;

    model::TargetRecord recordOf(size_t number)
    {
        return {.target = TargetId("t-" + std::to_string(number)),
            .incarnation = {number + 1},
            .service = ServiceName("quotes"),
            .address = {.ip = "10.0.0.1", .port = static_cast<uint16_t>(9000 + number)},
            .zone = ZoneName("north-a"),
            .slots = slots_,
            .sequence = ++sequences_[number]};
    }
    /// Returns the number of records sent meanwhile.
    size_t run(Duration duration, size_t reporting = Targets)
    {
        size_t records = 0;
        for (const Timestamp end = now_ + duration; now_ < end; now_ += 1s) {
            for (size_t number = 0; number < reporting && now_ >= nextReportsAt_; ++number)
                EXPECT_EQ(table_.applyReport(recordOf(number), now_), ReportOutcome::Applied);
            nextReportsAt_ = std::max(nextReportsAt_, now_ >= nextReportsAt_ ? now_ + 3s : nextReportsAt_);
            records += table_.drainUpdates({}, now_).size();
            for (const uint64_t hash : table_.drainUnchanged())
                listedAt_[hash] = now_;
        }
        return records;
    }

    TargetTable table_ {{{ZoneName("north-a"), RegionName("north")}}};
    std::map<size_t, uint64_t> sequences_;
    std::map<uint64_t, Timestamp> listedAt_;
    uint32_t slots_ = 4;
    Timestamp now_ {1000s};
    Timestamp nextReportsAt_ {1000s};
};

} // namespace

/// Guards against control traffic that grows with targets times gateways: 10,000 records of 300 bytes every 30 s are
/// 100 kB/s for each gateway.
TEST_F(TargetListingTest, UnchangedTargetsAreListedByTheirHashes)
{
    EXPECT_EQ(run(5s), Targets);
    EXPECT_EQ(run(300s), 0U);
    ASSERT_EQ(listedAt_.size(), Targets);
    for (const auto& [hash, listedAt] : listedAt_)
        EXPECT_LE(now_ - listedAt, 35s);
}

TEST_F(TargetListingTest, RecordsAreRepeatedNowAndThen)
{
    (void)run(5s);
    EXPECT_EQ(run(620s), Targets);
}

TEST_F(TargetListingTest, ChangedTargetsAreSentAsRecordsAtOnce)
{
    (void)run(60s);
    slots_ = 5;
    EXPECT_EQ(run(4s), Targets);
}

TEST_F(TargetListingTest, TargetsThatStoppedReportingAreNotListed)
{
    (void)run(5s);
    (void)run(6s, Targets / 2);
    listedAt_.clear();
    (void)run(60s, Targets / 2);
    EXPECT_EQ(listedAt_.size(), Targets / 2);
}

} // namespace saltvane::registry::test
