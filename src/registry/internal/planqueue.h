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

/// Ordered plans that wait to be parsed. A large plan is split, parsed in parts and released in separate steps, one
/// each tick, so that the host can do other work in between: in one step, 19,000 routes would block a host with 0.3 of
/// a core for longer than a leader's lease.
class PlanQueue {
public:
    struct Entry {
        requests::HttpHandle handle;
        control::ReplacePlan order;
    };
    /// `reader`: the reader that also checks the plans as they enter the log.
    explicit PlanQueue(settings::RoutePlanReader& reader)
        : reader_(reader)
    {
    }

    void add(Entry entry) { entries_.push_back(std::move(entry)); }
    /// The caller has disconnected: drops its plan.
    void remove(requests::HttpHandle handle);
    /// Takes one step with the oldest plan. Returns the plan once it is parsed completely; a small plan at once.
    [[nodiscard]] std::optional<Entry> popPrepared();
    /// Returns the oldest plan without parsing it, for a host that does not check plans.
    [[nodiscard]] std::optional<Entry> popUnprepared();
    [[nodiscard]] bool isEmpty() const { return entries_.empty(); }

private:
    /// Progress of the first entry.
    enum class Stage { Unread, Reading, Prepared };

    void advance(const Entry& first);

    settings::RoutePlanReader& reader_;
    std::list<Entry> entries_; ///< The reader keeps a reference to the first entry's text.
    Stage stage_ = Stage::Unread;
};

} // namespace saltvane::registry
