/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/planqueue.h"

#include <algorithm>
#include <utility>

namespace saltvane::registry {

namespace {

/// Routes and client accounts read in one tick: some 6 ms of a core.
constexpr size_t ItemsPerTick = 800;

} // namespace

void PlanQueue::forget(requests::HttpHandle handle)
{
    const auto found = std::ranges::find(entries_, handle, &Entry::handle);
    if (found == entries_.end())
        return;
    if (found == entries_.begin())
        isFirstStarted_ = false;
    entries_.erase(found);
}

std::optional<PlanQueue::Entry> PlanQueue::takeRead()
{
    if (entries_.empty())
        return std::nullopt;
    if (!std::exchange(isFirstStarted_, true))
        reader_.prepare(entries_.front().order.content);
    if (!reader_.prepareSome(ItemsPerTick))
        return std::nullopt;
    return takeUnread();
}

std::optional<PlanQueue::Entry> PlanQueue::takeUnread()
{
    if (entries_.empty())
        return std::nullopt;
    isFirstStarted_ = false;
    Entry first = std::move(entries_.front());
    entries_.pop_front();
    return first;
}

} // namespace saltvane::registry
