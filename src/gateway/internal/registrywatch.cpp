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

/// Fraction of the limit after which a leaving target must not get requests; the rest is for their way to the target.
constexpr double MaxUnansweredFraction = 0.6;
/// Fraction of the limit after which a plan has to be in force; the rest is for requests in transit by the old plan.
constexpr double MaxReplacedFraction = 0.8;
/// Registry hosts send something every 0.3 s to 1 s; one that sends nothing for longer is unreachable.
constexpr Duration UnresponsiveTimeout = 1s;
/// Two pulls and the way between distant regions. Evacuations take longer: a gateway that is cut off has to restrict
/// itself before the targets of a zone that was evacuated meanwhile are used again.
constexpr Duration MaxConfirmedAnswerAge = 600ms;
/// Longer than the registry has no proof while it elects a leader.
constexpr Duration MaxConfirmedProofAge = 1200ms;
/// Ticks come every 20 ms; messages that arrived during a longer gap are still unread.
constexpr Duration StallThreshold = 250ms;

} // namespace

std::string_view toString(RegistryFreshness freshness)
{
    static constexpr std::array<std::string_view, 3> Names {"current", "late", "cut-off"};
    return Names.at(static_cast<size_t>(freshness));
}

RegistryWatch::RegistryWatch(const Limits& limits)
    : maxAnswerAge_(fromSeconds(toSeconds(std::min(limits.leave, limits.plan)) * MaxUnansweredFraction))
    , maxReplacedPlanAge_(fromSeconds(toSeconds(limits.plan) * MaxReplacedFraction))
{
}

void RegistryWatch::onActivity(Timestamp now)
{
    if (now - lastActivityAt_ >= StallThreshold)
        runningSince_ = now;
    lastActivityAt_ = now;
}

bool RegistryWatch::isConfirmed(
    const control::IBundleReplica& replica, const std::function<bool()>& isEachQuorumHeard, Timestamp now)
{
    if (replica.answerAge(now) > MaxConfirmedAnswerAge)
        return false;
    return replica.provenAnswerAge(now) <= MaxConfirmedProofAge || isEachQuorumHeard();
}

RegistryFreshness RegistryWatch::freshness(const control::IBundleReplica& replica, Timestamp now) const
{
    const bool isAnswered = replica.answerAge(now) <= maxAnswerAge_;
    // Without a proof at the registry hosts themselves, nothing newer can have been acknowledged as far as they know.
    const bool isPlanReplaced = replica.isFetching() && replica.age(now) > maxReplacedPlanAge_
        && replica.provenAnswerAge(now) <= maxAnswerAge_;
    const bool isInstallationLate = replacedPlanProvenAt_ && now - *replacedPlanProvenAt_ > maxReplacedPlanAge_;
    if (isAnswered && !isPlanReplaced && !isInstallationLate)
        return RegistryFreshness::Current;
    const bool isUnresponsive = now - std::max(lastMessageAt_, runningSince_) > UnresponsiveTimeout;
    return isUnresponsive ? RegistryFreshness::CutOff : RegistryFreshness::Late;
}

} // namespace saltvane::gateway
