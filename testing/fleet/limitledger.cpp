/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "limitledger.h"

#include <algorithm>

namespace saltvane::fleet::test {

namespace {

constexpr Duration ToldFor = 500ms;
constexpr double Factor = 1.5;
constexpr double Slack = 5;

} // namespace

LimitLedger::LimitLedger(Fleet& fleet, EndingTargets& targets)
    : fleet_(fleet)
{
    targets.onArrival.emplace_back([this](const EndingTargets::Contact& contact) { noteArrival(contact); });
    targets.onAnswered.emplace_back([this](const EndingTargets::Contact& contact, const EndingTargets::Needs& needs) {
        noteAnswered(contact, needs);
    });
}

void LimitLedger::excuse(size_t gateway, Duration duration)
{
    excusedUntil_[gateway] = now() + duration + ContactTime;
    std::erase_if(toldAt_, [&](const auto& told) { return told.first.second == gateway; });
}

void LimitLedger::noteAnswered(const EndingTargets::Contact& contact, const EndingTargets::Needs& needs)
{
    if (!needs.limit) {
        starts_.erase(contact.start);
        std::erase_if(toldAt_, [&](const auto& told) { return told.first.first == contact.start; });
        return;
    }
    const auto [found, isNew] = starts_.try_emplace(contact.start, Start {.firstNamedAt = now()});
    Start& start = found->second;
    if (isNew || start.limit != *needs.limit)
        start.limits.emplace_back(now(), *needs.limit);
    start.limit = *needs.limit;
    toldAt_.try_emplace({contact.start, contact.gateway}, now());
}

double LimitLedger::allowedIn(const Start& start, Timestamp from, Timestamp until)
{
    double allowed = 0;
    for (size_t i = 0; i < start.limits.size(); ++i) {
        const Timestamp end = i + 1 < start.limits.size() ? start.limits[i + 1].first : until;
        const Timestamp begin = std::max(start.limits[i].first, from);
        if (end > begin)
            allowed += toSeconds(end - begin) * start.limits[i].second;
    }
    return allowed;
}

void LimitLedger::noteArrival(const EndingTargets::Contact& contact)
{
    ++arrivals_[contact.target];
    const auto found = starts_.find(contact.start);
    if (found == starts_.end() || now() < found->second.firstNamedAt + ContactTime)
        return;
    Start& start = found->second;
    const Timestamp countedFrom = start.firstNamedAt + ContactTime;
    ++arrived_;
    const Timestamp since = std::max(start.limitSince, countedFrom);
    allowed_ += allowedIn(start, since, now());
    start.limitSince = now();
    const auto told = toldAt_.find({contact.start, contact.gateway});
    const bool isTold = told != toldAt_.end() && now() >= told->second + ToldFor;
    const auto excused = excusedUntil_.find(contact.gateway);
    if (!isTold || (excused != excusedUntil_.end() && now() < excused->second))
        return;
    start.counted.push_back(now());
    while (start.counted.front() <= now() - Window)
        start.counted.pop_front();
    const double most = allowedIn(start, now() - Window, now()) * Factor + Slack;
    const double part = static_cast<double>(start.counted.size()) / most;
    if (part <= mostOfBound_)
        return;
    mostOfBound_ = part;
    worst_ = contact.start + " with a limit of " + std::to_string(start.limit) + " a second got "
        + std::to_string(start.counted.size()) + " requests in four seconds; allowed " + std::to_string(most);
}

} // namespace saltvane::fleet::test
