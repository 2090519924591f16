/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/commonstart.h"

#include <algorithm>
#include <tuple>

namespace saltvane::control {

namespace {

/// Of the notices to voters that have not answered: their processes or links may not stand yet. Under a round trip
/// between regions, and five messages of some 80 bytes each time, only until a leader is heard.
constexpr Duration NoticePeriod = 40ms;

} // namespace

CommonStart::CommonStart(ReplicaContext& context)
    : context_(context)
    , hasRecovered_(!context.options.recovered.entries.empty() || !context.options.recovered.snapshot.empty())
{
}

void CommonStart::noteLeader()
{
    hasHeardLeader_ = true;
    notices_.clear();
}

model::StartNotice CommonStart::makeNotice(bool isAnswer) const
{
    return {.replica = context_.self,
        .start = context_.options.incarnation.value,
        .lastIndex = context_.log.lastIndex(),
        .lastTerm = context_.log.lastTerm(),
        .isAnswer = isAnswer};
}

void CommonStart::tick()
{
    if (!hasRecovered_ || hasHeardLeader_ || context_.now < nextNoticeAt_)
        return;
    nextNoticeAt_ = context_.now + NoticePeriod;
    for (const ReplicaInfo& info : context_.configurations.latest().replicas) {
        if (info.isVoter && info.replica != context_.self && !notices_.contains(info.host))
            context_.send(info.host, makeNotice(false));
    }
}

void CommonStart::handle(const HostId& from, const model::StartNotice& notice)
{
    if (hasHeardLeader_)
        return;
    notices_.insert_or_assign(from, notice);
    if (!notice.isAnswer)
        context_.send(from, makeNotice(true));
}

bool CommonStart::haveAllTold() const
{
    return std::ranges::all_of(context_.configurations.latest().replicas, [this](const ReplicaInfo& info) {
        return !info.isVoter || info.replica == context_.self || notices_.contains(info.host);
    });
}

bool CommonStart::isFirstOfAll() const
{
    const auto completeness
        = [](const model::StartNotice& notice) { return std::tuple(notice.lastTerm, notice.lastIndex); };
    const model::StartNotice own = makeNotice(false);
    return std::ranges::all_of(context_.configurations.latest().replicas, [&](const ReplicaInfo& info) {
        if (!info.isVoter || info.replica == context_.self)
            return true;
        const model::StartNotice& other = notices_.at(info.host);
        // A voter whose disk was lost is another replica now: its process is gone too, but it can't stand.
        if (other.replica != info.replica || completeness(own) > completeness(other))
            return true;
        return completeness(own) == completeness(other) && context_.self < info.replica;
    });
}

bool CommonStart::takeCandidacy()
{
    const bool isVoter = context_.configurations.latest().isVoter(context_.self);
    const bool mayStand = hasRecovered_ && !hasHeardLeader_ && !hasStood_ && isVoter && haveAllTold() && isFirstOfAll();
    hasStood_ = hasStood_ || mayStand;
    return mayStand;
}

uint64_t CommonStart::startOf(const HostId& host) const
{
    const auto told = notices_.find(host);
    return told == notices_.end() || !haveAllTold() ? 0 : told->second.start;
}

bool CommonStart::isOwnStart(uint64_t start) const
{
    return !hasHeardLeader_ && start != 0 && start == context_.options.incarnation.value;
}

} // namespace saltvane::control
