/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/registrywatch.h"

#include <algorithm>
#include <array>

namespace saltvane::gateway {

namespace {

/// Of the time until a leaving target may get nothing more; the rest is for the way to the target.
constexpr double UnansweredPart = 0.6;
/// Of the time until a plan has to be in force; the rest is for the requests that are on their way by the old one.
constexpr double ReplacedPart = 0.8;
/// Registry hosts say something each 0.3 s to 1 s: one that says nothing for so long is not there.
constexpr Duration SilentAfter = 1s;
/// Ticks come each 20 ms: what came while there was none waits unread.
constexpr Duration StandstillAfter = 250ms;

} // namespace

std::string_view toString(RegistryWord word)
{
    static constexpr std::array<std::string_view, 3> Names {"current", "late", "cut-off"};
    return Names.at(static_cast<size_t>(word));
}

RegistryWatch::RegistryWatch(const Limits& limits)
    : longestUnanswered_(fromSeconds(toSeconds(std::min(limits.leave, limits.plan)) * UnansweredPart))
    , longestReplaced_(fromSeconds(toSeconds(limits.plan) * ReplacedPart))
{
}

void RegistryWatch::noteAwake(Timestamp now)
{
    if (now - seenAt_ >= StandstillAfter)
        awakeSince_ = now;
    seenAt_ = now;
}

RegistryWord RegistryWatch::word(const control::IBundleHolder& holder, Timestamp now) const
{
    const bool isAnswered = holder.answerAge(now) <= longestUnanswered_;
    // Without a proof at its sources nothing newer can have been acknowledged, as far as it can know.
    const bool isPlanReplaced = holder.isFetching() && holder.age(now) > longestReplaced_
        && holder.provenAnswerAge(now) <= longestUnanswered_;
    if (isAnswered && !isPlanReplaced)
        return RegistryWord::Current;
    const bool isSilent = now - std::max(heardAt_, awakeSince_) > SilentAfter;
    return isSilent ? RegistryWord::CutOff : RegistryWord::Late;
}

} // namespace saltvane::gateway
