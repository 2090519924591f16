/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/log.h"
#include "base/monotonicclock.h"
#include "net/internal/linkhub.h"

#include <algorithm>

/// What waits on LinkHub's links for peers that take it slower than it comes: told, and held to a limit.
namespace saltvane::net {

namespace {

constexpr Duration BacklogLogPeriod = 1s; ///< Between two lines.
constexpr size_t SmallQueue = 64 * 1024; ///< Bytes: what waits over all links is not counted for less on one.
constexpr uint64_t LoggedBacklog = 1024 * 1024; ///< Bytes: two seconds of the narrowest link of the users' (4 Mbit/s).

} // namespace

LinkBacklog LinkHub::backlog() const
{
    LinkBacklog backlog;
    for (const Link& link : links_) {
        backlog.bytes += link.queuedBytes();
        backlog.memory += link.memory();
        if (link.queuedBytes() <= backlog.largestBytes)
            continue;
        backlog.largestBytes = link.queuedBytes();
        backlog.largestPeer = link.peerHost();
    }
    return backlog;
}

void LinkHub::watchBacklog(const Link& grown)
{
    logBacklog();
    if (grown.queuedBytes() > SmallQueue)
        holdBacklog();
}

void LinkHub::logBacklog()
{
    const Timestamp now = monotonicNow();
    if (now < nextBacklogLogAt_)
        return;
    nextBacklogLogAt_ = now + BacklogLogPeriod;
    const LinkBacklog waiting = backlog();
    if (waiting.bytes < LoggedBacklog)
        return;
    LOG_TAGGED(WARNING, "net") << "event=link_backlog bytes=" << waiting.bytes << " memory=" << waiting.memory
                               << " largest=" << waiting.largestBytes << " peer=" << waiting.largestPeer.value();
}

void LinkHub::holdBacklog()
{
    for (LinkBacklog waiting = backlog(); waiting.memory > options_.largestBacklog && waiting.largestBytes > 0;
         waiting = backlog()) {
        const auto largest
            = std::ranges::find_if(links_, [&](const Link& one) { return one.queuedBytes() == waiting.largestBytes; });
        largest->end(LinkEnd::TooSlow, "largest-of-all");
    }
}

} // namespace saltvane::net
