/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/log.h"
#include "base/monotonicclock.h"
#include "net/internal/linkhub.h"

#include <algorithm>

/// Backlog of LinkHub: reports and limits the bytes queued for peers that receive slower than this host sends.
namespace saltvane::net {

namespace {

constexpr Duration BacklogLogInterval = 1s; ///< Minimum interval of the log line.
/// A message on a link with a shorter queue does not trigger the check of the limit over all links.
constexpr size_t MinLimitedQueueBytes = 64 * 1024;
constexpr uint64_t MinLoggedBacklogBytes = 1024 * 1024; ///< 2 s of the slowest network link of the users (4 Mbit/s).

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

void LinkHub::onBacklogGrown(const Link& grown)
{
    logBacklog();
    if (grown.queuedBytes() > MinLimitedQueueBytes)
        enforceBacklogLimit();
}

void LinkHub::logBacklog()
{
    const Timestamp now = monotonicNow();
    if (now < nextBacklogLogAt_)
        return;
    nextBacklogLogAt_ = now + BacklogLogInterval;
    const LinkBacklog current = backlog();
    if (current.bytes < MinLoggedBacklogBytes)
        return;
    LOG_TAGGED(WARNING, "net") << "event=link_backlog bytes=" << current.bytes << " memory=" << current.memory
                               << " largest=" << current.largestBytes << " peer=" << current.largestPeer.value();
}

void LinkHub::enforceBacklogLimit()
{
    for (LinkBacklog current = backlog(); current.memory > options_.maxBacklogBytes && current.largestBytes > 0;
         current = backlog()) {
        const auto largest = std::ranges::find_if(
            links_, [&](const Link& link) { return link.queuedBytes() == current.largestBytes; });
        largest->close(LinkCloseReason::TooSlow, "largest-of-all");
    }
}

} // namespace saltvane::net
