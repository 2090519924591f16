/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/tests/invariantchecker.h"

#include <algorithm>

namespace saltvane::control::test {

namespace {

std::string textOf(LogIndex index) { return "index " + std::to_string(index.value); }

LogPosition positionOf(const FakeHost& host)
{
    const BundleRecord* record = host.replica->inForce();
    return record ? record->approved : LogPosition {};
}

} // namespace

void InvariantChecker::report(Property property, const FakeHost& host, const std::string& text)
{
    if (!has(property))
        violations_.push_back({.property = property, .text = host.id.value() + ": " + text});
}

bool InvariantChecker::has(Property property) const
{
    return std::ranges::find(violations_, property, &Violation::property) != violations_.end();
}

void InvariantChecker::check(FakeCluster& cluster)
{
    for (size_t number = 0; number < cluster.size(); ++number) {
        FakeHost& host = cluster.host(number);
        Observed& observed = observed_[host.id];
        checkDisk(host, observed);
        checkClaims(host, observed);
        if (!host.replica)
            continue;
        checkLeader(host);
        checkCommitted(host, observed);
        recordInForce(host, cluster.now());
    }
    for (size_t number = 0; number < cluster.size(); ++number) {
        if (cluster.isUp(number))
            checkProof(cluster, cluster.host(number));
    }
}

void InvariantChecker::checkLeader(FakeHost& host)
{
    if (!host.replica->isLeader())
        return;
    const auto [known, isNew] = leaders_.try_emplace(host.replica->term(), host.disk->replica());
    if (known->second != host.disk->replica())
        report(Property::ElectionSafety, host, "second leader of term " + std::to_string(known->first.value));
    if (!isNew)
        return;
    for (const auto& [index, entry] : committed_) {
        const auto own = host.disk->entries().find(index);
        const bool hasEntry
            = index <= host.disk->snapshotIndex() || (own != host.disk->entries().end() && own->second == entry);
        if (!hasEntry)
            return report(
                Property::CommittedEntriesPreserved, host, "became the leader without the committed " + textOf(index));
    }
}

void InvariantChecker::checkDisk(const FakeHost& host, Observed& observed)
{
    const FakeDisk& disk = *host.disk;
    if (observed.disk == disk.replica() && observed.diskVersion == disk.version())
        return;
    observed.disk = disk.replica();
    observed.diskVersion = disk.version();
    LogIndex previous = disk.snapshotIndex();
    LogTerm previousTerm = disk.snapshotTerm();
    for (const auto& [index, entry] : disk.entries()) {
        if (index.value != previous.value + 1)
            report(Property::LogMatching, host, "gap before " + textOf(index));
        const auto [known, isNew] = entries_.try_emplace(
            {index, entry.term}, ObservedEntry {.payload = entry.payload, .previousTerm = previousTerm});
        if (known->second.payload != entry.payload || known->second.previousTerm != previousTerm)
            report(Property::LogMatching, host, "different entry or predecessor at " + textOf(index));
        previous = index;
        previousTerm = entry.term;
    }
}

void InvariantChecker::checkCommitted(const FakeHost& host, Observed& observed)
{
    const LogIndex commit = host.replica->commitIndex();
    if (observed.incarnation != host.incarnation) {
        observed.incarnation = host.incarnation;
        observed.commit = {};
    }
    if (commit < observed.commit)
        report(Property::CommittedEntriesPreserved, host, "commit index decreased to " + textOf(commit));
    const LogIndex first {std::max(observed.commit, host.disk->snapshotIndex()).value + 1};
    for (LogIndex index = first; index <= commit; ++index.value) {
        const auto own = host.disk->entries().find(index);
        if (own == host.disk->entries().end())
            return report(
                Property::CommittedEntriesPreserved, host, "committed entry is not on its disk: " + textOf(index));
        if (committed_.try_emplace(index, own->second).first->second != own->second)
            report(Property::CommittedEntriesPreserved, host, "committed a different entry at " + textOf(index));
    }
    observed.commit = commit;
}

void InvariantChecker::recordInForce(const FakeHost& host, Timestamp now)
{
    const LogPosition position = positionOf(host);
    if (inForce_.empty() || position > inForce_.back().position)
        inForce_.push_back({.at = now, .position = position});
}

LogPosition InvariantChecker::inForceBefore(Timestamp time) const
{
    const auto later = std::ranges::lower_bound(inForce_, time, {}, &InForceSince::at);
    return later == inForce_.begin() ? LogPosition {} : std::prev(later)->position;
}

void InvariantChecker::checkProof(FakeCluster& cluster, const FakeHost& host)
{
    const Timestamp localNow = cluster.localNow(host);
    const LogPosition own = positionOf(host);
    if (host.replica->isLeader() && host.replica->isCurrent(localNow) && own < inForce_.back().position)
        report(Property::CurrentStateProof, host, "a current leader lacks the bundle in force");
    const Duration age = host.replica->proofAge(localNow);
    if (age != Duration::max() && own < inForceBefore(cluster.now() - age))
        report(Property::CurrentStateProof, host, "its proof is newer than a bundle that it lacks");
}

void InvariantChecker::checkClaims(const FakeHost& host, Observed& observed)
{
    for (; observed.replies < host.toHosts.size(); ++observed.replies) {
        const auto* reply = std::get_if<model::ClaimReply>(&host.toHosts[observed.replies].message);
        if (!reply || reply->result != model::ClaimResult::Granted)
            continue;
        const std::string& key = claims_.at(reply->claim);
        if (granted_.try_emplace(key, reply->claim).first->second != reply->claim)
            report(Property::SingleClaim, host, "key granted twice: " + key);
    }
}

} // namespace saltvane::control::test
