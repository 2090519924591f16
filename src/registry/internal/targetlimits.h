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

/// The limits that targets name in their answers, as gateways tell of them. docs/design/0018-target-limits.md
class TargetLimits {
public:
    /// Newer by when the target said it replaces older, in whatever order they come. Returns the newer one that stands
    /// where the notice is older and says otherwise.
    [[nodiscard]] std::optional<model::BackpressureNotice> note(const model::BackpressureNotice& notice, Timestamp now);
    /// Forgets limits of which no gateway has told for long.
    void expire(Timestamp now);

    /// What gateways may send altogether; none where the target named no limit, or it is over.
    [[nodiscard]] std::optional<model::RateLimit> find(const model::LimitId& id) const;
    /// Grows with each change.
    [[nodiscard]] uint64_t version() const { return version_; }

    /// What changed since the last call.
    [[nodiscard]] std::vector<model::BackpressureNotice> takeNews(Timestamp now);
    /// Limits in force.
    [[nodiscard]] std::vector<model::BackpressureNotice> all(Timestamp now) const;

    /// Gateways tell again of a limit that stands in a part of it.
    static constexpr Duration Memory = 120s;

private:
    struct Entry {
        model::TargetIncarnation target;
        std::optional<double> limit;
        Timestamp saidAt;
        Timestamp heardAt;
    };
    static model::BackpressureNotice noticeOf(const Entry& entry, Timestamp now);

    std::unordered_map<model::LimitId, Entry> entries_;
    std::deque<std::pair<Timestamp, model::LimitId>> byAge_; ///< By when each was heard, also before the last time.
    std::set<model::LimitId> news_;
    uint64_t version_ = 0;
};

} // namespace saltvane::registry
