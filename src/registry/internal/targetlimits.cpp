/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/targetlimits.h"

#include <algorithm>

namespace saltvane::registry {

namespace {

/// Requests beyond the rate. One registry host owns the whole burst: divided, each share would be less than a request.
constexpr double Burst = 3;
/// A target with a limit of 0 still gets a request this often, whose answer shows when it accepts requests again.
constexpr double MinPerSecond = 0.2;
/// Anybody can start targets: bounds the memory for their limits, as the number of reporting targets is bounded.
constexpr size_t MaxLimits = 16384;

} // namespace

std::optional<model::BackpressureNotice> TargetLimits::record(const model::BackpressureNotice& notice, Timestamp now)
{
    const model::LimitId id = model::limitIdOf(notice.target);
    const Timestamp reportedAt = now - notice.age;
    const auto known = entries_.find(id);
    if (known == entries_.end() && entries_.size() >= MaxLimits)
        return std::nullopt;
    if (known != entries_.end() && reportedAt <= known->second.reportedAt)
        return known->second.limit == notice.limit ? std::nullopt : std::optional(makeNotice(known->second, now));
    const bool isChanged = known == entries_.end() || known->second.limit != notice.limit;
    entries_.insert_or_assign(
        id, Entry {.target = notice.target, .limit = notice.limit, .reportedAt = reportedAt, .receivedAt = now});
    byReceivedAt_.emplace_back(now, id);
    if (isChanged) {
        ++version_;
        updated_.insert(id);
    }
    return std::nullopt;
}

void TargetLimits::expire(Timestamp now)
{
    while (!byReceivedAt_.empty() && now - byReceivedAt_.front().first >= RetentionTime) {
        const auto [receivedAt, id] = std::move(byReceivedAt_.front());
        byReceivedAt_.pop_front();
        const auto found = entries_.find(id);
        if (found == entries_.end() || found->second.receivedAt > receivedAt)
            continue;
        entries_.erase(found);
        updated_.erase(id);
        ++version_;
    }
}

std::optional<model::RateLimit> TargetLimits::find(const model::LimitId& id) const
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || !found->second.limit)
        return std::nullopt;
    return model::RateLimit {.perSecond = std::max(*found->second.limit, MinPerSecond), .burst = Burst};
}

bool TargetLimits::isKnown(const model::BackpressureNotice& notice) const
{
    const auto known = entries_.find(model::limitIdOf(notice.target));
    return (known == entries_.end() ? std::nullopt : known->second.limit) == notice.limit;
}

std::optional<model::BackpressureNotice> TargetLimits::noticeOf(const model::LimitId& id, Timestamp now) const
{
    const auto known = entries_.find(id);
    return known == entries_.end() ? std::nullopt : std::optional(makeNotice(known->second, now));
}

model::BackpressureNotice TargetLimits::makeNotice(const Entry& entry, Timestamp now)
{
    return {.target = entry.target, .limit = entry.limit, .age = now - entry.reportedAt};
}

std::vector<model::BackpressureNotice> TargetLimits::drainUpdates(Timestamp now)
{
    std::vector<model::BackpressureNotice> updates;
    for (const model::LimitId& id : updated_)
        updates.push_back(makeNotice(entries_.at(id), now));
    updated_.clear();
    return updates;
}

std::vector<model::BackpressureNotice> TargetLimits::all(Timestamp now) const
{
    std::vector<model::BackpressureNotice> all;
    for (const auto& [id, entry] : entries_) {
        if (entry.limit)
            all.push_back(makeNotice(entry, now));
    }
    return all;
}

} // namespace saltvane::registry
