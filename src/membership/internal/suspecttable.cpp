/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/suspecttable.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace saltvane::membership {

namespace {

/// Maximum probability that a harmless request is blamed after its consecutive runs. Callers are promised that fewer
/// than one request in 500 is refused wrongly; most requests are never sent three times.
constexpr double MaxWrongBlameProbability = 0.001;
/// The fraction of runs with a target failure is measured on a few hundred runs only, so lower values are not reliable.
constexpr double MinUsualShare = 0.02;
/// Highest value at which MaxFailures failures suffice for a verdict: 0.42 to the power of 8 is one in a thousand.
constexpr double MaxUsualShare = 0.42;
/// Times of two gateways are compared by messages, which take up to 35 ms between regions. Two consecutive runs are at
/// least one round trip of the caller apart.
constexpr Duration ClockTolerance = 20ms;
/// Delay of the first trial after the verdict, and of the second after the first. A wrong verdict is withdrawn by a
/// caller's own attempt after a minute; a right one costs two more targets within eleven minutes and none after that.
constexpr std::array<Duration, 2> TrialDelays {60s, 10min};
/// A blamed request that no caller has sent for this long may be evicted for another one.
constexpr Duration ActivePeriod = 10min;
/// Interval at which other hosts are told that a blamed request is still in use.
constexpr Duration UseReportInterval = 5min;

} // namespace

SuspectTable::SuspectTable(Limits limits)
    : limits_(limits)
{
}

SuspectTable::~SuspectTable() = default;

SuspectTable::Entry* SuspectTable::find(const model::RequestDigest& digest)
{
    const auto found = entries_.find(digest);
    return found == entries_.end() ? nullptr : &found->second;
}

const SuspectTable::Entry* SuspectTable::find(const model::RequestDigest& digest) const
{
    const auto found = entries_.find(digest);
    return found == entries_.end() ? nullptr : &found->second;
}

SuspectTable::Entries& SuspectTable::listOf(const Entry& entry)
{
    return entry.isBlamed || entry.failures.size() > 1 ? repeatedFailures_ : singleFailures_;
}

void SuspectTable::touch(Entry& entry, Timestamp at)
{
    entry.lastRequestedAt = std::max(entry.lastRequestedAt, at);
    entry.hook.unlink();
    listOf(entry).push_back(entry);
}

void SuspectTable::remove(Entry& entry)
{
    verdictChanges_ += entry.isBlamed ? 1 : 0;
    eraseAttributions(entry);
    entries_.erase(model::RequestDigest(entry.digest));
}

bool SuspectTable::evictOne(Timestamp now)
{
    if (!singleFailures_.empty()) {
        remove(singleFailures_.front());
        return true;
    }
    const bool isOldestInUse
        = repeatedFailures_.empty() || now - repeatedFailures_.front().lastRequestedAt < ActivePeriod;
    if (isOldestInUse)
        return false;
    remove(repeatedFailures_.front());
    return true;
}

SuspectTable::Entry* SuspectTable::add(const model::RequestDigest& digest, Timestamp now)
{
    if (Entry* known = find(digest))
        return known;
    if (entries_.size() >= limits_.entries && !evictOne(now))
        return nullptr;
    Entry& entry = entries_[digest];
    entry.digest = digest;
    entry.lastRequestedAt = now;
    return &entry;
}

bool SuspectTable::addFailure(Entry& entry, const TargetFailure& failure)
{
    if (std::ranges::find(entry.failures, failure.target, &TargetFailure::target) != entry.failures.end())
        return false;
    const auto isEarlier
        = [](const TargetFailure& left, const TargetFailure& right) { return left.failedAt < right.failedAt; };
    entry.failures.insert(std::ranges::upper_bound(entry.failures, failure, isEarlier), failure);
    if (entry.failures.size() > MaxFailures) {
        blamedRequestByTarget_.erase(entry.failures.front().target);
        entry.failures.erase(entry.failures.begin());
    }
    return true;
}

/// The loss of a zone fails many runs of one request at once, which is no stronger evidence than a single failure. So a
/// run counts only if it was sent after the previously counted one had failed.
size_t SuspectTable::consecutiveFailures(const Entry& entry) const
{
    size_t count = 0;
    Timestamp last = Timestamp::min();
    for (const TargetFailure& failure : entry.failures) {
        if (isAttributedToOther(entry, failure))
            continue;
        const bool isAfter = count == 0 || failure.sentAt + ClockTolerance >= last;
        if (!isAfter)
            continue;
        ++count;
        last = failure.failedAt;
    }
    return count;
}

void SuspectTable::evaluate(Entry& entry, Timestamp now)
{
    if (entry.isBlamed)
        return attributeFailures(entry);
    double expectedShare = MinUsualShare;
    for (const TargetFailure& failure : entry.failures)
        expectedShare = std::max(expectedShare, std::min(failure.usualShare, MaxUsualShare));
    const size_t failureCount = consecutiveFailures(entry);
    if (failureCount < MinFailures
        || std::pow(expectedShare, static_cast<double>(failureCount)) > MaxWrongBlameProbability)
        return;
    blame(entry, now);
}

void SuspectTable::blame(Entry& entry, Timestamp backoffSince)
{
    entry.isBlamed = true;
    entry.backoffSince = backoffSince;
    ++verdictChanges_;
    touch(entry, entry.lastRequestedAt);
    attributeFailures(entry);
}

void SuspectTable::attributeFailures(const Entry& entry)
{
    for (const TargetFailure& failure : entry.failures) {
        const auto [position, isNew] = blamedRequestByTarget_.try_emplace(failure.target, entry.digest);
        const Entry* other = isNew ? nullptr : find(position->second);
        if (other == nullptr || !other->isBlamed || other->failures.size() < entry.failures.size())
            position->second = entry.digest;
    }
    clearWronglyBlamed();
}

bool SuspectTable::isAttributedToOther(const Entry& entry, const TargetFailure& failure) const
{
    const auto blamedRequest = blamedRequestByTarget_.find(failure.target);
    return blamedRequest != blamedRequestByTarget_.end() && blamedRequest->second != entry.digest
        && isBlamed(blamedRequest->second);
}

/// Callers retry all requests after each target failure, so a harmless request that ran on the same targets at the same
/// times as a fatal one may be blamed first. The fatal one goes on to fail targets until it accounts for all failures
/// of the harmless one, which is then cleared.
void SuspectTable::clearWronglyBlamed()
{
    std::vector<Entry*> wronglyBlamed;
    for (Entry& entry : repeatedFailures_) {
        const auto isAttributed = [&](const TargetFailure& failure) { return isAttributedToOther(entry, failure); };
        if (entry.isBlamed && !entry.failures.empty() && std::ranges::all_of(entry.failures, isAttributed))
            wronglyBlamed.push_back(&entry);
    }
    for (Entry* other : wronglyBlamed) {
        startEpoch(*other, other->epoch + 1);
        cleared_.push_back(other->digest);
    }
}

void SuspectTable::startEpoch(Entry& entry, uint64_t epoch)
{
    verdictChanges_ += entry.isBlamed ? 1 : 0;
    entry.epoch = epoch;
    entry.isBlamed = false;
    entry.trials = 0;
    entry.backoffSince = {};
    eraseAttributions(entry);
    entry.failures.clear();
}

void SuspectTable::eraseAttributions(const Entry& entry)
{
    for (const TargetFailure& failure : entry.failures) {
        const auto blamedRequest = blamedRequestByTarget_.find(failure.target);
        if (blamedRequest != blamedRequestByTarget_.end() && blamedRequest->second == entry.digest)
            blamedRequestByTarget_.erase(blamedRequest);
    }
}

bool SuspectTable::recordFailure(const model::RequestDigest& digest, const TargetFailure& failure, Timestamp now)
{
    Entry* entry = add(digest, now);
    if (entry == nullptr || !addFailure(*entry, failure))
        return false;
    touch(*entry, now);
    evaluate(*entry, now);
    return true;
}

bool SuspectTable::recordAnswer(const model::RequestDigest& digest, Timestamp now)
{
    Entry* entry = find(digest);
    if (entry == nullptr || (entry->failures.empty() && !entry->isBlamed))
        return false;
    startEpoch(*entry, entry->epoch + 1);
    touch(*entry, now);
    return true;
}

bool SuspectTable::merge(const model::SuspectRequest& update, Timestamp now)
{
    Entry* entry = find(update.digest);
    const bool isCleared = update.ends.empty() && !update.isBlamed;
    if (entry == nullptr && isCleared)
        return false; // There is no entry to clear.
    entry = add(update.digest, now - update.askedAgo);
    if (entry == nullptr || update.epoch < entry->epoch)
        return false;
    bool isNew = update.epoch > entry->epoch;
    if (isNew)
        startEpoch(*entry, update.epoch);
    for (const model::TargetEnd& failure : update.ends) {
        isNew |= addFailure(*entry,
            {.target = failure.target,
                .sentAt = now - failure.sentAgo,
                .failedAt = now - failure.endedAgo,
                .usualShare = failure.usualShare});
    }
    isNew |= now - update.askedAgo > entry->lastRequestedAt + UseReportInterval / 2;
    touch(*entry, now - update.askedAgo);
    if (update.isBlamed && !entry->isBlamed) {
        blame(*entry, now - update.restingFor);
        isNew = true;
    }
    if (update.trials > entry->trials) {
        entry->trials = update.trials;
        entry->backoffSince = now - update.restingFor;
        isNew = true;
    }
    evaluate(*entry, now);
    return isNew;
}

size_t SuspectTable::consecutiveFailures(const model::RequestDigest& digest) const
{
    const Entry* entry = find(digest);
    return entry == nullptr ? 0 : consecutiveFailures(*entry);
}

std::optional<Timestamp> SuspectTable::firstFailureAt(const model::RequestDigest& digest) const
{
    const Entry* entry = find(digest);
    if (entry == nullptr || entry->failures.empty())
        return std::nullopt;
    return entry->failures.front().failedAt;
}

bool SuspectTable::isBlamed(const model::RequestDigest& digest) const
{
    const Entry* entry = find(digest);
    return entry != nullptr && entry->isBlamed;
}

Duration SuspectTable::timeToTrial(const model::RequestDigest& digest, Timestamp now) const
{
    const Entry* entry = find(digest);
    if (entry == nullptr || !entry->isBlamed)
        return Duration::zero();
    if (entry->trials >= TrialDelays.size())
        return RetentionTime;
    return std::max(Duration::zero(), entry->backoffSince + TrialDelays.at(entry->trials) - now);
}

void SuspectTable::recordTrial(const model::RequestDigest& digest, Timestamp now)
{
    Entry* entry = find(digest);
    if (entry == nullptr)
        return;
    ++entry->trials;
    entry->backoffSince = now;
    touch(*entry, now);
}

bool SuspectTable::recordCallerRequest(const model::RequestDigest& digest, Timestamp now)
{
    Entry* entry = find(digest);
    if (entry == nullptr)
        return false;
    touch(*entry, now);
    const bool isTimeToReport = now - std::max(entry->useReportedAt, entry->backoffSince) >= UseReportInterval;
    if (isTimeToReport)
        entry->useReportedAt = now;
    return isTimeToReport;
}

model::SuspectRequest SuspectTable::updateFor(const Entry& entry, Timestamp now)
{
    model::SuspectRequest update {.digest = entry.digest,
        .epoch = entry.epoch,
        .isBlamed = entry.isBlamed,
        .trials = entry.trials,
        .restingFor = entry.isBlamed ? now - entry.backoffSince : Duration::zero(),
        .askedAgo = now - entry.lastRequestedAt};
    for (const TargetFailure& failure : entry.failures)
        update.ends.push_back({.target = failure.target,
            .sentAgo = now - failure.sentAt,
            .endedAgo = now - failure.failedAt,
            .usualShare = failure.usualShare});
    return update;
}

std::optional<model::SuspectRequest> SuspectTable::updateFor(const model::RequestDigest& digest, Timestamp now) const
{
    const Entry* entry = find(digest);
    if (entry == nullptr)
        return std::nullopt;
    return updateFor(*entry, now);
}

std::vector<model::SuspectRequest> SuspectTable::blamed(Timestamp now) const
{
    std::vector<model::SuspectRequest> updates;
    for (const Entry& entry : repeatedFailures_) {
        if (entry.isBlamed)
            updates.push_back(updateFor(entry, now));
    }
    return updates;
}

std::vector<model::SuspectRequest> SuspectTable::unconfirmed(size_t limit, Timestamp now) const
{
    std::vector<model::SuspectRequest> updates;
    for (auto entry = repeatedFailures_.rbegin(); entry != repeatedFailures_.rend() && updates.size() < limit;
         ++entry) {
        if (!entry->isBlamed && consecutiveFailures(*entry) > 1)
            updates.push_back(updateFor(*entry, now));
    }
    return updates;
}

size_t SuspectTable::blamedCount() const
{
    return static_cast<size_t>(
        std::ranges::count_if(repeatedFailures_, [](const Entry& entry) { return entry.isBlamed; }));
}

void SuspectTable::expire(Timestamp now)
{
    for (Entries* list : {&singleFailures_, &repeatedFailures_}) {
        while (!list->empty() && now - list->front().lastRequestedAt >= RetentionTime)
            remove(list->front());
    }
}

} // namespace saltvane::membership
