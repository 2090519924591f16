/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "model/requestdigest.h"

#include <array>
#include <cstddef>

namespace saltvane::gateway {

/// When this gateway last received a complete response to each request, for the few thousand latest requests. Reports
/// of targets that were lost while running a request arrive later than its responses: when a zone fails, many runs of a
/// popular request are lost at several gateways while other runs are answered.
class RecentAnswers {
public:
    void record(const model::RequestDigest& digest, Timestamp now)
    {
        entries_.at(indexOf(digest)) = {.high = digest.high, .at = now};
    }
    [[nodiscard]] bool wasAnsweredSince(const model::RequestDigest& digest, Timestamp since) const
    {
        const Entry& entry = entries_.at(indexOf(digest));
        return entry.high == digest.high && entry.at >= since;
    }

private:
    /// 64 KB; covers 40 s at 100 requests per second. A newer request overwrites an older one in the same slot.
    static constexpr size_t EntryCount = 4096;

    struct Entry {
        uint64_t high = 0;
        Timestamp at = Timestamp::min();
    };
    [[nodiscard]] static size_t indexOf(const model::RequestDigest& digest) { return digest.low % EntryCount; }

    std::array<Entry, EntryCount> entries_ {};
};

} // namespace saltvane::gateway
