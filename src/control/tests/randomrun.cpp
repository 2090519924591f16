/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/tests/randomrun.h"

#include "control/internal/commandcodec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace saltvane::control::test {

namespace {

constexpr uint64_t ClaimKeys = 20;
constexpr Duration ClaimRetention = 3600s;
constexpr double SlowClockRate = 0.33;

} // namespace

FakeClusterOptions RandomRun::optionsOf(uint64_t seed)
{
    boost::random::mt19937_64 random(seed);
    const auto below = [&random](uint64_t limit) { return random() % limit; };
    return {.seed = seed,
        .hosts = below(3) == 0 ? 5U : 3U,
        .minDelay = 1ms,
        .maxDelay = Duration(1ms) * static_cast<int64_t>(2 + below(60)),
        .loss = static_cast<double>(below(20)) / 100,
        .duplication = static_cast<double>(below(20)) / 100,
        .maxSyncDelay = Duration(1ms) * static_cast<int64_t>(1 + below(30)),
        .entriesPerSnapshot = static_cast<uint32_t>(4 + below(40)),
        .snapshotChunkBytes = static_cast<uint32_t>(100 + below(2000))};
}

RandomRun::RandomRun(uint64_t seed, Fault fault)
    : cluster_(optionsOf(seed))
    , fault_(fault)
{
    cluster_.onEvent = [this] { checker_.check(cluster_); };
    if (fault_ == Fault::SlowClock)
        cluster_.host(anyHost()).clockRate = SlowClockRate;
    for (size_t number = 0; number < cluster_.size(); ++number) {
        cluster_.host(number).disk->acknowledgesWithoutSync = fault_ == Fault::UnsyncedDisk;
        cluster_.host(number).disk->reusesIdentity = fault_ == Fault::ReusedIdentity;
    }
    tamperWithMessages();
}

void RandomRun::tamperWithMessages()
{
    if (fault_ == Fault::ForgedVotes) {
        cluster_.onSend = [](model::Message& message) {
            auto* vote = std::get_if<model::VoteReply>(&message);
            if (!vote || std::exchange(vote->isGranted, true))
                return;
            vote->term.value += vote->isPreVote ? 1 : 0;
        };
    }
    if (fault_ == Fault::AlteredEntry) {
        cluster_.onSend = [this](model::Message& message) {
            auto* append = std::get_if<model::AppendRequest>(&message);
            if (append && !append->entries.empty() && cluster_.random(50) == 0)
                append->entries.back().payload = encodeCommand(NoOperation {});
        };
    }
}

void RandomRun::run(Duration duration)
{
    const Timestamp end = cluster_.now() + duration;
    while (cluster_.now() < end && (fault_ == Fault::None || checker_.violations().empty())) {
        cluster_.run(Duration(1ms) * static_cast<int64_t>(1 + cluster_.random(150)));
        performRandomAction();
        checker_.check(cluster_);
    }
}

void RandomRun::performRandomAction()
{
    struct Action {
        uint64_t weight;
        void (RandomRun::*run)();
    };
    constexpr std::array Actions {Action {35, &RandomRun::propose}, Action {15, &RandomRun::claim},
        Action {4, &RandomRun::crashRandomHost}, Action {25, &RandomRun::startRandomHost},
        Action {7, &RandomRun::cutRandomLinks}, Action {6, &RandomRun::toggleFullDisk},
        Action {8, &RandomRun::loseDisk}};
    constexpr uint64_t WeightSum = 100;
    uint64_t pick = cluster_.random(WeightSum);
    for (const Action& candidate : Actions) {
        if (pick < candidate.weight)
            return (this->*candidate.run)();
        pick -= candidate.weight;
    }
}

size_t RandomRun::leaderOrAny()
{
    FakeHost* leader = cluster_.random(5) == 0 ? nullptr : cluster_.leader();
    return leader ? cluster_.numberOf(*leader) : anyHost();
}

void RandomRun::propose()
{
    const size_t number
        = cluster_.leader() && cluster_.random(4) != 0 ? cluster_.numberOf(*cluster_.leader()) : anyHost();
    if (!cluster_.isUp(number))
        return;
    if (cluster_.random(2) == 0)
        cluster_.submit(number, ana_.propose(++lastVersion_));
    else
        cluster_.submit(number, ben_.approve(lastVersion_ - std::min(lastVersion_, cluster_.random(3))));
}

void RandomRun::claim()
{
    const size_t number = leaderOrAny();
    if (!cluster_.isUp(number))
        return;
    if (fault_ == Fault::JumpingWallClock && cluster_.random(10) == 0)
        cluster_.wallClockOffset += 2 * ClaimRetention;
    const std::string key = std::to_string(cluster_.random(ClaimKeys));
    checker_.recordClaim(++lastClaim_, key);
    cluster_.deliver(number,
        {.from = HostId("entry" + std::to_string(cluster_.random(3))),
            .fromIncarnation = Incarnation {1},
            .message = model::ClaimRequest {.claim = lastClaim_,
                .service = ServiceName("service"),
                .key = key,
                .fingerprint = 1,
                .retention = ClaimRetention}});
}

void RandomRun::crashRandomHost()
{
    const size_t number = anyHost();
    if (cluster_.isUp(number))
        cluster_.crash(number);
}

void RandomRun::startRandomHost()
{
    const size_t number = anyHost();
    if (!cluster_.isUp(number))
        cluster_.start(number);
}

void RandomRun::cutRandomLinks()
{
    if (cluster_.random(3) != 0)
        return cluster_.healLinks();
    if (cluster_.random(2) == 0)
        return cluster_.isolate(anyHost());
    const size_t left = anyHost();
    const size_t right = anyHost();
    if (left != right)
        cluster_.cut(left, right);
}

void RandomRun::toggleFullDisk() { cluster_.host(anyHost()).disk->isFull = cluster_.random(4) == 0; }

/// Whether every disk belongs to a voter of the committed configuration, so that the loss of one disk is tolerated.
bool RandomRun::allDisksHaveVoters()
{
    FakeHost* leader = cluster_.leader();
    if (!leader || leader->replica->replicas().size() != cluster_.size())
        return false;
    for (size_t number = 0; number < cluster_.size(); ++number) {
        const auto& replicas = leader->replica->replicas();
        const auto own = std::ranges::find(replicas, cluster_.host(number).disk->replica(), &ReplicaInfo::replica);
        if (own == replicas.end() || !own->isVoter)
            return false;
    }
    return true;
}

void RandomRun::loseDisk()
{
    const size_t number = anyHost();
    const bool isLossTolerated = fault_ == Fault::ReusedIdentity || allDisksHaveVoters();
    if (!isLossTolerated)
        return;
    if (cluster_.isUp(number))
        cluster_.crash(number);
    cluster_.replaceDisk(number);
    cluster_.start(number);
    ++diskLosses_;
}

bool RandomRun::hasConverged()
{
    for (size_t number = 0; number < cluster_.size(); ++number) {
        const FakeHost& host = cluster_.host(number);
        const FakeHost& first = cluster_.host(0);
        if (!host.replica->isVoter() || !host.replica->isCurrent(cluster_.localNow(host))
            || host.replica->commitIndex() != first.replica->commitIndex()
            || host.replica->replicas() != first.replica->replicas())
            return false;
        const BundleRecord* inForce = host.replica->inForce();
        const BundleRecord* expected = first.replica->inForce();
        if ((inForce ? inForce->approved : LogPosition {}) != (expected ? expected->approved : LogPosition {}))
            return false;
    }
    return allDisksHaveVoters();
}

std::string RandomRun::describe()
{
    std::string text;
    for (size_t number = 0; number < cluster_.size(); ++number) {
        const FakeHost& host = cluster_.host(number);
        text += "\n" + host.id.value() + " " + host.disk->replica().value();
        if (!host.replica)
            continue;
        text += " term " + std::to_string(host.replica->term().value) + " commit "
            + std::to_string(host.replica->commitIndex().value) + (host.replica->isLeader() ? " leader" : "")
            + (host.replica->isCurrent(cluster_.localNow(host)) ? " current" : "") + " disk up to "
            + std::to_string(host.disk->snapshotIndex().value) + "+" + std::to_string(host.disk->entries().size())
            + " replicas";
        for (const ReplicaInfo& info : host.replica->replicas())
            text += " " + info.replica.value() + (info.isVoter ? "" : "(learner)");
    }
    return text;
}

bool RandomRun::recovers()
{
    cluster_.healLinks();
    cluster_.options.loss = 0;
    for (size_t number = 0; number < cluster_.size(); ++number) {
        cluster_.host(number).disk->isFull = false;
        if (!cluster_.isUp(number))
            cluster_.start(number);
    }
    return cluster_.runUntil([this] { return hasConverged(); }, 60s);
}

} // namespace saltvane::control::test
