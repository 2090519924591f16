/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/limitmessages.h"

#include <deque>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace saltvane::registry {

/// The limits that targets name in their answers, as gateways report them. docs/design/0018-target-limits.md
class TargetLimits {
public:
    /// A notice replaces one that the target gave earlier, in whatever order they arrive. Returns the stored notice
    /// where it is newer than this one and differs from it.
    [[nodiscard]] std::optional<model::BackpressureNotice> record(
        const model::BackpressureNotice& notice, Timestamp now);
    /// Drops limits that no gateway has reported within RetentionTime.
    void expire(Timestamp now);

    /// Whether the notice states the limit that is known, or none is known and it states none.
    [[nodiscard]] bool isKnown(const model::BackpressureNotice& notice) const;
    /// None where no gateway has reported a limit of it.
    [[nodiscard]] std::optional<model::BackpressureNotice> noticeOf(const model::LimitId& id, Timestamp now) const;
    /// What all gateways together may send; none where the target named no limit or has lifted it.
    [[nodiscard]] std::optional<model::RateLimit> find(const model::LimitId& id) const;
    /// Increases with each change.
    [[nodiscard]] uint64_t version() const { return version_; }

    /// Limits that changed since the last call.
    [[nodiscard]] std::vector<model::BackpressureNotice> drainUpdates(Timestamp now);
    /// All limits in force.
    [[nodiscard]] std::vector<model::BackpressureNotice> all(Timestamp now) const;

    /// Several times the interval at which gateways repeat a limit in force.
    static constexpr Duration RetentionTime = 120s;

private:
    struct Entry {
        model::TargetIncarnation target;
        std::optional<double> limit;
        Timestamp reportedAt;
        Timestamp receivedAt;
    };
    static model::BackpressureNotice makeNotice(const Entry& entry, Timestamp now);

    std::unordered_map<model::LimitId, Entry> entries_;
    std::deque<std::pair<Timestamp, model::LimitId>>
        byReceivedAt_; ///< All notices, in the order received; older ones of a limit are skipped.
    std::set<model::LimitId> updated_;
    uint64_t version_ = 0;
};

} // namespace saltvane::registry
