/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/leaveresolver.h"

#include <algorithm>

namespace saltvane::registry {

namespace {

/// The leader waits this long for what other registry hosts know: seven round trips between distant regions (70 ms).
constexpr Duration CollectTime = 500ms;
constexpr Duration RepeatInterval = 1s;
/// Until then a registry host that was down or cut off may return and tell what it knew.
constexpr Duration ReturnTimeout = model::TargetHeartbeatTimeout;
/// Bounds the orders per tick after an upgrade, when thousands of targets may be unresolved.
constexpr size_t MaxPerDrain = 1;

} // namespace

void LeaveResolver::add(const TargetId& target, Timestamp now)
{
    Entry& entry = *unresolved_.try_emplace(target).first;
    entry.second.known.reset();
    entry.second.reported.reset();
    entry.second.addedAt = now;
    schedule(entry, now + ReturnTimeout);
}

void LeaveResolver::recordKnown(const model::TargetIncarnation& instance, Timestamp now)
{
    const auto found = unresolved_.find(instance.target);
    if (found == unresolved_.end() || found->second.known >= instance.incarnation)
        return;
    found->second.known = instance.incarnation;
    schedule(*found, now);
}

void LeaveResolver::recordReport(const model::TargetIncarnation& instance)
{
    const auto found = unresolved_.find(instance.target);
    if (found != unresolved_.end() && !found->second.reported)
        found->second.reported = instance.incarnation;
}

void LeaveResolver::schedule(Entry& entry, Timestamp dueAt)
{
    byDueAt_.erase({entry.second.dueAt, entry.first});
    entry.second.dueAt = dueAt;
    byDueAt_.emplace(dueAt, entry.first);
}

std::optional<Incarnation> LeaveResolver::resolve(const Unresolved& unresolved, Role role, Timestamp now)
{
    const Duration age = now - unresolved.addedAt;
    if (unresolved.known)
        return !role.isLeader || age >= CollectTime ? unresolved.known : std::nullopt;
    if (unresolved.reported)
        return age >= ReturnTimeout ? unresolved.reported : std::nullopt;
    // Later than the hosts where the target reported tell it.
    const bool isUnknownToAll = age >= ReturnTimeout + 2 * RepeatInterval && role.isGroupComplete;
    return role.isLeader && isUnknownToAll ? std::optional(membership::EarliestIncarnation) : std::nullopt;
}

std::vector<model::TargetIncarnation> LeaveResolver::drainDue(
    const membership::RetiredTargets& retired, Role role, Timestamp now)
{
    std::vector<model::TargetIncarnation> due;
    while (due.size() < MaxPerDrain && isDue(now)) {
        const auto found = unresolved_.find(byDueAt_.begin()->second);
        const TargetId target = found->first;
        if (!retired.isUnresolved(target)) {
            byDueAt_.erase(byDueAt_.begin());
            unresolved_.erase(found);
            continue;
        }
        const std::optional<Incarnation> incarnation = resolve(found->second, role, now);
        const bool isCollecting = found->second.known && !incarnation;
        schedule(*found, isCollecting ? found->second.addedAt + CollectTime : now + RepeatInterval);
        if (!incarnation)
            continue;
        due.push_back({.target = target, .incarnation = *incarnation});
        if (role.isLeader) // An entry before the latest one would leave the target unresolved.
            due.back().incarnation
                = std::max({*incarnation, retired.latestOf(target), membership::EarliestIncarnation});
    }
    return due;
}

} // namespace saltvane::registry
