/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/internal/hostmodules.h"
#include "host/internal/outbox.h"
#include "host/internal/periodictimer.h"

#include <optional>
#include <vector>

namespace saltvane::host {

/// The steps from the start of the process to the first request: obtain the current state, adopt the other hosts' rows
/// in order to join a shift at their progress, then serve.
class Startup {
public:
    /// Both must outlive the object.
    Startup(HostModules& modules, Outbox& outbox);
    void tick(Timestamp now);
    void handle(const model::RowsReply& reply, Timestamp now);
    [[nodiscard]] bool isServing() const { return isServing_; }

private:
    void requestRows(Timestamp now);
    /// True once rows of every service are adopted; a single peer may serve only some services.
    [[nodiscard]] bool hasAdoptedAll() const;
    void startServing();
    [[nodiscard]] std::vector<HostId> rowSources(bool withOtherZones) const;

    HostModules& modules_;
    Outbox& outbox_;
    PeriodicTimer rowsRequestTimer_;
    std::optional<Timestamp> readySince_;
    bool hasAdoptedRows_ = false;
    bool isServing_ = false;
};

} // namespace saltvane::host
