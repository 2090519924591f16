/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/tests/randomrun.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <string>

namespace saltvane::control::test {

namespace {

constexpr uint64_t FixedSeeds = 12;
/// Number of runs within which the checker must detect a fault.
constexpr uint64_t MaxSeedsToBreak = 40;
/// A reused identity loses a commit only if three disks are lost in a certain order: in 7 to 16 of 400 runs.
constexpr uint64_t MaxSeedsToLoseACommit = 160;
constexpr Duration RunLength = 30s;

/// Reads a number from the environment: SALTVANE_CONTROL_SEED is the first seed, SALTVANE_CONTROL_RUNS the number of
/// runs.
uint64_t numberFrom(const char* name, uint64_t defaultValue)
{
    const char* text = std::getenv(name);
    return text ? std::stoull(text) : defaultValue;
}

std::string reproductionHint(uint64_t seed)
{
    return "\nreproduce with: SALTVANE_CONTROL_SEED=" + std::to_string(seed)
        + " SALTVANE_CONTROL_RUNS=1 saltvane_control_tests --gtest_filter=ControlRandomRun.KeepsAllProperties";
}

bool detects(Fault fault, Property property, uint64_t maxSeeds = MaxSeedsToBreak)
{
    for (uint64_t seed = 1; seed <= maxSeeds; ++seed) {
        RandomRun run(seed, fault);
        run.run(RunLength);
        if (run.checker().has(property))
            return true;
    }
    return false;
}

} // namespace

TEST(ControlRandomRun, KeepsAllProperties)
{
    const uint64_t firstSeed = numberFrom("SALTVANE_CONTROL_SEED", 1);
    const uint64_t runs = numberFrom("SALTVANE_CONTROL_RUNS", FixedSeeds);
    uint64_t bundles = 0;
    uint64_t keys = 0;
    uint64_t diskLosses = 0;
    for (uint64_t seed = firstSeed; seed < firstSeed + runs; ++seed) {
        RandomRun run(seed);
        run.run(RunLength);
        EXPECT_TRUE(run.recovers()) << "no recovery within a minute" << run.describe() << reproductionHint(seed);
        for (const InvariantChecker::Violation& violation : run.checker().violations())
            ADD_FAILURE() << violation.text << reproductionHint(seed);
        bundles += run.checker().bundlesInForce();
        keys += run.checker().keysGranted();
        diskLosses += run.diskLosses();
    }
    std::cout << runs << " runs: " << bundles << " bundles in force, " << keys << " keys granted, " << diskLosses
              << " disks lost\n";
    // Guards against runs without activity. Applies only to many runs, since a few may have little activity by chance.
    if (runs < FixedSeeds)
        return;
    EXPECT_GE(bundles, 2 * runs);
    EXPECT_GE(keys, 2 * runs);
    EXPECT_GE(diskLosses, runs);
}

TEST(ControlRandomRun, UnsyncedDisksAreDetectedAsLostCommits)
{
    EXPECT_TRUE(detects(Fault::UnsyncedDisk, Property::CommittedEntriesPreserved));
}

TEST(ControlRandomRun, ReusedIdentitiesAreDetectedAsLostCommits)
{
    EXPECT_TRUE(detects(Fault::ReusedIdentity, Property::CommittedEntriesPreserved, MaxSeedsToLoseACommit));
}

TEST(ControlRandomRun, ForgedVotesAreDetectedAsSecondLeaders)
{
    EXPECT_TRUE(detects(Fault::ForgedVotes, Property::ElectionSafety));
}

TEST(ControlRandomRun, AlteredEntriesAreDetectedAsMismatchedLogs)
{
    EXPECT_TRUE(detects(Fault::AlteredEntry, Property::LogMatching));
}

TEST(ControlRandomRun, SlowClocksAreDetectedAsFalseProofs)
{
    EXPECT_TRUE(detects(Fault::SlowClock, Property::CurrentStateProof));
}

TEST(ControlRandomRun, WallClockJumpsAreDetectedAsKeysGrantedTwice)
{
    EXPECT_TRUE(detects(Fault::JumpingWallClock, Property::SingleClaim));
}

} // namespace saltvane::control::test
