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

/// Of the 2.5 s until a leaving target may get nothing more; the rest is for the way to the target.
constexpr Duration LongestUnanswered = 1500ms;
/// Of the 2.5 s until a plan has to be in force.
constexpr Duration LongestReplaced = 2s;
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

void RegistryWatch::noteAwake(Timestamp now)
{
    if (now - seenAt_ >= StandstillAfter)
        awakeSince_ = now;
    seenAt_ = now;
}

RegistryWord RegistryWatch::word(const control::IBundleHolder& holder, Timestamp now) const
{
    const bool isAnswered = holder.answerAge(now) <= LongestUnanswered;
    // Without a proof at its sources nothing newer can have been acknowledged, as far as it can know.
    const bool isPlanReplaced
        = holder.isFetching() && holder.age(now) > LongestReplaced && holder.provenAnswerAge(now) <= LongestUnanswered;
    if (isAnswered && !isPlanReplaced)
        return RegistryWord::Current;
    const bool isSilent = now - std::max(heardAt_, awakeSince_) > SilentAfter;
    return isSilent ? RegistryWord::CutOff : RegistryWord::Late;
}

} // namespace saltvane::gateway
