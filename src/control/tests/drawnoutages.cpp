/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/tests/drawnoutages.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <utility>

namespace saltvane::control::test {

DrawnOutages::DrawnOutages(uint64_t seed)
    : cluster_({.seed = seed,
        .hosts = 6,
        .loss = static_cast<double>(seed % 4) / 100,
        .entriesPerSnapshot = seed % 2 == 0 ? 8U : 4096U,
        .isMembershipOpen = true})
{
    cluster_.onEvent = [this] { checker_.check(cluster_); };
}

Duration DrawnOutages::play()
{
    constexpr int Outages = 3;
    Duration longest {};
    EXPECT_TRUE(cluster_.runUntil([this] { return cluster_.hasAllVoters(); }));
    for (int outage = 0; outage < Outages; ++outage) {
        begin();
        runWithChanges(1s + Duration(1s) * static_cast<int64_t>(cluster_.random(45)));
        end();
        const Timestamp endedAt = cluster_.now();
        for (size_t number = 0; cluster_.leader() && number < cluster_.size(); ++number)
            returns_ += cluster_.isMember(number) ? 0 : 1;
        EXPECT_TRUE(cluster_.runUntil([this] { return cluster_.hasAllVoters(); }, MaxReturnTime))
            << cluster_.voters() << " voters after outage " << outage;
        longest = std::max(longest, cluster_.now() - endedAt);
    }
    return longest;
}

void DrawnOutages::begin()
{
    using Fault = void (DrawnOutages::*)(size_t);
    constexpr std::array Faults {&DrawnOutages::cutOff, &DrawnOutages::blockOutgoing, &DrawnOutages::blockIncoming,
        &DrawnOutages::suspend, &DrawnOutages::crash, &DrawnOutages::loseDisk};
    const size_t count = 1 + cluster_.random(3);
    const Fault common = Faults.at(cluster_.random(Faults.size()));
    const bool isCommon = cluster_.random(2) == 0;
    while (affected_.size() < count) {
        const size_t number = cluster_.random(cluster_.size());
        if (affected_.insert(number).second)
            (this->*(isCommon ? common : Faults.at(cluster_.random(Faults.size()))))(number);
    }
}

void DrawnOutages::end()
{
    cluster_.healLinks();
    for (size_t number = 0; number < cluster_.size(); ++number) {
        if (!cluster_.isUp(number))
            cluster_.start(number);
        cluster_.resume(number);
    }
    affected_.clear();
    hasLostDisk_ = false;
}

void DrawnOutages::runWithChanges(Duration duration)
{
    constexpr Duration Step = 500ms;
    for (Duration passed {}; passed < duration; passed += Step) {
        if (const FakeHost* leader = cluster_.leader())
            cluster_.submit(cluster_.numberOf(*leader), operator_.propose(++lastVersion_));
        if (const FakeHost* leader = cluster_.leader(); leader && cluster_.random(40) == 0)
            restart(cluster_.numberOf(*leader));
        cluster_.run(Step);
    }
}

void DrawnOutages::cutOff(size_t number) { cluster_.isolate(number); }

void DrawnOutages::blockOutgoing(size_t number)
{
    for (size_t other = 0; other < cluster_.size(); ++other)
        cluster_.cutOneWay(number, other);
}

void DrawnOutages::blockIncoming(size_t number)
{
    for (size_t other = 0; other < cluster_.size(); ++other)
        cluster_.cutOneWay(other, number);
}

void DrawnOutages::suspend(size_t number) { cluster_.suspend(number); }

void DrawnOutages::crash(size_t number) { cluster_.crash(number); }

void DrawnOutages::loseDisk(size_t number)
{
    cluster_.crash(number);
    if (!std::exchange(hasLostDisk_, true))
        cluster_.replaceDisk(number);
}

void DrawnOutages::restart(size_t number)
{
    cluster_.crash(number);
    cluster_.run(300ms);
    cluster_.start(number);
}

} // namespace saltvane::control::test
