/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/followerprogress.h"

#include "control/internal/logindexes.h"

#include <algorithm>

namespace saltvane::control {

namespace {
constexpr size_t MaxInFlightMessages = 16;
/// Limit of unacknowledged bytes. Heartbeats queue behind them, and messages that take longer than the election timeout
/// (450 ms) are treated as lost: 256 KiB take 0.28 s with a window of 64 KiB and a round trip of 70 ms. Without
/// this limit a host that had missed forty plans of 23 kB was sent 3.1 MB at once.
constexpr size_t MaxInFlightBytes = 256 * 1024;
} // namespace

FollowerProgress::FollowerProgress(LogIndex lastIndex)
    : next_(indexAfter(lastIndex))
{
}

bool FollowerProgress::mayAppend() const
{
    if (isProbing_)
        return inFlight_.empty();
    size_t bytes = 0;
    for (const Sent& sent : inFlight_)
        bytes += sent.bytes;
    return inFlight_.size() < MaxInFlightMessages && bytes < MaxInFlightBytes;
}

void FollowerProgress::recordAppend(LogIndex last, size_t bytes, Timestamp now)
{
    inFlight_.push_back({.last = last, .bytes = bytes, .at = now});
    if (!isProbing_)
        next_ = indexAfter(last);
}

void FollowerProgress::accept(LogIndex match)
{
    match_ = std::max(match_, match);
    next_ = std::max(next_, indexAfter(match_));
    if (isProbing_) {
        isProbing_ = false;
        inFlight_.clear();
    }
    while (!inFlight_.empty() && inFlight_.front().last <= match_)
        inFlight_.pop_front();
}

void FollowerProgress::reject(LogIndex hint)
{
    if (hint < match_)
        return; // An outdated reply: more entries are known to match since.
    next_ = std::clamp(indexAfter(hint), indexAfter(match_), next_);
    probe();
}

void FollowerProgress::expire(Duration timeout, Timestamp now)
{
    if (inFlight_.empty() || now - inFlight_.front().at < timeout)
        return;
    if (!isProbing_)
        next_ = indexAfter(match_);
    probe();
}

void FollowerProgress::probe()
{
    isProbing_ = true;
    inFlight_.clear();
}

void FollowerProgress::finishTransfer()
{
    const LogIndex installed = transfer_->index();
    transfer_.reset();
    match_ = std::max(match_, installed);
    next_ = indexAfter(match_);
    probe();
}

} // namespace saltvane::control
