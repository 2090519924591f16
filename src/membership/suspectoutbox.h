/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/suspecttable.h"

#include <deque>
#include <unordered_set>
#include <vector>

namespace saltvane::membership {

/// Queue of the entries of a SuspectTable to send to other hosts. Their rate is limited, whatever callers send; entries
/// of blamed requests go first.
class SuspectOutbox {
public:
    struct Options {
        double perSecond = 0; ///< Entries sent.
        double burst = 0; ///< Entries sent at once.
    };
    explicit SuspectOutbox(Options options)
        : options_(options)
        , availableTokens_(options.burst)
    {
    }

    void add(const model::RequestDigest& digest, const SuspectTable& table);
    [[nodiscard]] bool isEmpty() const { return queue_.empty(); }
    /// Returns as many entries as may be sent now.
    [[nodiscard]] std::vector<model::SuspectRequest> drain(const SuspectTable& table, Timestamp now);

private:
    Options options_;
    double availableTokens_;
    Timestamp refilledAt_ {};
    std::deque<model::RequestDigest> queue_;
    std::unordered_set<model::RequestDigest> queued_;
};

} // namespace saltvane::membership
