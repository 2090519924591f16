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

/// Interval of notices to voters that have not answered because their process or link is not up yet. Shorter than a
/// round trip between regions; costs five messages of about 80 bytes each time, until contact to a leader.
constexpr Duration NoticeInterval = 40ms;

} // namespace

CommonRestartDetector::CommonRestartDetector(ReplicaContext& context)
    : context_(context)
    , hasRecovered_(!context.options.recovered.entries.empty() || !context.options.recovered.snapshot.empty())
{
}

void CommonRestartDetector::onLeaderContact()
{
    hasLeaderContact_ = true;
    notices_.clear();
}

model::StartNotice CommonRestartDetector::makeNotice(bool isAnswer) const
{
    return {.replica = context_.self,
        .start = context_.options.incarnation.value,
        .lastIndex = context_.log.lastIndex(),
        .lastTerm = context_.log.lastTerm(),
        .isAnswer = isAnswer};
}

void CommonRestartDetector::tick()
{
    if (!hasRecovered_ || hasLeaderContact_ || context_.now < nextNoticeAt_)
        return;
    nextNoticeAt_ = context_.now + NoticeInterval;
    for (const ReplicaInfo& info : context_.configurations.latest().replicas) {
        if (info.isVoter && info.replica != context_.self && !notices_.contains(info.host))
            context_.send(info.host, makeNotice(false));
    }
}

void CommonRestartDetector::handle(const HostId& from, const model::StartNotice& notice)
{
    if (hasLeaderContact_)
        return;
    notices_.insert_or_assign(from, notice);
    if (!notice.isAnswer)
        context_.send(from, makeNotice(true));
}

bool CommonRestartDetector::haveAllReported() const
{
    return std::ranges::all_of(context_.configurations.latest().replicas, [this](const ReplicaInfo& info) {
        return !info.isVoter || info.replica == context_.self || notices_.contains(info.host);
    });
}

bool CommonRestartDetector::isPreferredCandidate() const
{
    const auto completeness
        = [](const model::StartNotice& notice) { return std::tuple(notice.lastTerm, notice.lastIndex); };
    const model::StartNotice own = makeNotice(false);
    return std::ranges::all_of(context_.configurations.latest().replicas, [&](const ReplicaInfo& info) {
        if (!info.isVoter || info.replica == context_.self)
            return true;
        const model::StartNotice& other = notices_.at(info.host);
        // A host that lost its disk has a new replica id. Its earlier process has ended as well, but it cannot be a
        // candidate.
        if (other.replica != info.replica || completeness(own) > completeness(other))
            return true;
        return completeness(own) == completeness(other) && context_.self < info.replica;
    });
}

bool CommonRestartDetector::popCandidacy()
{
    const bool isVoter = context_.configurations.latest().isVoter(context_.self);
    const bool mayCampaign = hasRecovered_ && !hasLeaderContact_ && !hasCampaigned_ && isVoter && haveAllReported()
        && isPreferredCandidate();
    hasCampaigned_ = hasCampaigned_ || mayCampaign;
    return mayCampaign;
}

uint64_t CommonRestartDetector::voterStartOf(const HostId& host) const
{
    const auto known = notices_.find(host);
    return known == notices_.end() || !haveAllReported() ? 0 : known->second.start;
}

bool CommonRestartDetector::isOwnStart(uint64_t start) const
{
    return !hasLeaderContact_ && start != 0 && start == context_.options.incarnation.value;
}

} // namespace saltvane::control
