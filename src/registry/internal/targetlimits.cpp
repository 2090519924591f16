/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/targetlimits.h"

#include <algorithm>

namespace saltvane::registry {

namespace {

/// At any moment beyond the rate. One registry host holds it whole: shares of it would hold no request each.
constexpr double Burst = 3;
/// A target that takes nothing for now gets a request this often, whose answer tells when that is over.
constexpr double LeastPerSecond = 0.2;
/// Anybody can start targets; their limits are bounded as those that report are.
constexpr size_t MostLimits = 16384;

} // namespace

std::optional<model::BackpressureNotice> TargetLimits::note(const model::BackpressureNotice& notice, Timestamp now)
{
    const model::LimitId id = model::limitIdOf(notice.target);
    const Timestamp saidAt = now - notice.age;
    const auto known = entries_.find(id);
    if (known == entries_.end() && entries_.size() >= MostLimits)
        return std::nullopt;
    if (known != entries_.end() && saidAt <= known->second.saidAt)
        return known->second.limit == notice.limit ? std::nullopt : std::optional(noticeOf(known->second, now));
    const bool isChanged = known == entries_.end() || known->second.limit != notice.limit;
    entries_.insert_or_assign(
        id, Entry {.target = notice.target, .limit = notice.limit, .saidAt = saidAt, .heardAt = now});
    byAge_.emplace_back(now, id);
    if (isChanged) {
        ++version_;
        news_.insert(id);
    }
    return std::nullopt;
}

void TargetLimits::expire(Timestamp now)
{
    while (!byAge_.empty() && now - byAge_.front().first >= Memory) {
        const auto [heardAt, id] = std::move(byAge_.front());
        byAge_.pop_front();
        const auto found = entries_.find(id);
        if (found == entries_.end() || found->second.heardAt > heardAt)
            continue;
        entries_.erase(found);
        news_.erase(id);
        ++version_;
    }
}

std::optional<model::RateLimit> TargetLimits::find(const model::LimitId& id) const
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || !found->second.limit)
        return std::nullopt;
    return model::RateLimit {.perSecond = std::max(*found->second.limit, LeastPerSecond), .burst = Burst};
}

model::BackpressureNotice TargetLimits::noticeOf(const Entry& entry, Timestamp now)
{
    return {.target = entry.target, .limit = entry.limit, .age = now - entry.saidAt};
}

std::vector<model::BackpressureNotice> TargetLimits::takeNews(Timestamp now)
{
    std::vector<model::BackpressureNotice> news;
    for (const model::LimitId& id : news_)
        news.push_back(noticeOf(entries_.at(id), now));
    news_.clear();
    return news;
}

std::vector<model::BackpressureNotice> TargetLimits::all(Timestamp now) const
{
    std::vector<model::BackpressureNotice> all;
    for (const auto& [id, entry] : entries_) {
        if (entry.limit)
            all.push_back(noticeOf(entry, now));
    }
    return all;
}

} // namespace saltvane::registry
