/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/controltypes.h"
#include "requests/exchangetypes.h"
#include "settings/routeplanreader.h"

#include <list>
#include <optional>

namespace saltvane::registry {

/// Plans that were ordered, until they are read: a large one is read in parts, a part each tick, so that its host does
/// its other work meanwhile. Read in one go, 19,000 new routes keep a host of 0.3 of a core from everything else for
/// longer than a leader's lease.
class PlanQueue {
public:
    struct Entry {
        requests::HttpHandle handle;
        control::ReplacePlan order;
    };
    /// `reader`: the one that checks the plans as they enter the log.
    explicit PlanQueue(settings::RoutePlanReader& reader)
        : reader_(reader)
    {
    }

    void add(Entry entry) { entries_.push_back(std::move(entry)); }
    /// The caller is gone, and with it a plan that has not entered the log.
    void forget(requests::HttpHandle handle);
    /// Reads a part of the plan that came first; gives it once nothing of it is left to read.
    [[nodiscard]] std::optional<Entry> takeRead();
    /// The first one as it is, for a host that will not check it.
    [[nodiscard]] std::optional<Entry> takeUnread();
    [[nodiscard]] bool isEmpty() const { return entries_.empty(); }

private:
    settings::RoutePlanReader& reader_;
    std::list<Entry> entries_; ///< The reader looks into the first one's text.
    bool isFirstStarted_ = false;
};

} // namespace saltvane::registry
