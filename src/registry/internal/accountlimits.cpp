/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/accountlimits.h"

#include <algorithm>

namespace saltvane::registry {

void AccountLimits::install(std::span<const model::AccountRef> accounts, const LogPosition& plan)
{
    plan_ = plan;
    version_ += std::erase_if(newer_, [&](const auto& item) { return item.second.plan <= plan; }) > 0 ? 1 : 0;
    const auto [formerBegin, newBegin] = std::ranges::mismatch(accounts_, accounts);
    if (formerBegin == accounts_.end() && newBegin == accounts.end())
        return;
    ++version_;
    for (auto former = formerBegin; former != accounts_.end(); ++former)
        limits_.erase(model::limitIdOf((*former)->account.name));
    for (auto added = newBegin; added != accounts.end(); ++added) {
        const model::ClientAccount& account = (*added)->account;
        if (account.limit)
            limits_[model::limitIdOf(account.name)] = *account.limit;
    }
    accounts_.assign(accounts.begin(), accounts.end());
}

void AccountLimits::record(const model::AccountLimitNotice& notice)
{
    const std::optional<model::AccountLimitNotice> known = noticeOf(notice.limit);
    if (notice.plan <= plan_ || (known && notice.plan <= known->plan))
        return;
    version_ += known && known->rate == notice.rate ? 0 : 1;
    newer_.insert_or_assign(notice.limit, NewerLimit {.rate = notice.rate, .plan = notice.plan});
}

std::optional<model::AccountLimitNotice> AccountLimits::noticeOf(const model::LimitId& id) const
{
    if (const auto newer = newer_.find(id); newer != newer_.end())
        return model::AccountLimitNotice {.limit = id, .rate = newer->second.rate, .plan = newer->second.plan};
    const auto found = limits_.find(id);
    if (found == limits_.end())
        return std::nullopt;
    return model::AccountLimitNotice {.limit = id, .rate = found->second, .plan = plan_};
}

std::optional<model::RateLimit> AccountLimits::find(const model::LimitId& id) const
{
    const std::optional<model::AccountLimitNotice> notice = noticeOf(id);
    return notice ? std::optional(notice->rate) : std::nullopt;
}

} // namespace saltvane::registry
