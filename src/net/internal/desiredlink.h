/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "host/hosttypes.h"
#include "net/internal/timerwatcher.h"

#include <algorithm>
#include <functional>

namespace saltvane::net {

class Link;

/// A peer that the core requests a link to, and the state of dialling it.
class DesiredLink {
public:
    DesiredLink(struct ev_loop* loop, host::DesiredLinks::Peer peer, std::function<void(DesiredLink&)> onDial)
        : peer_(std::move(peer))
        , retry_(loop, [this, dial = std::move(onDial)] { dial(*this); })
    {
    }

    [[nodiscard]] const host::DesiredLinks::Peer& peer() const { return peer_; }
    /// The host at the address; empty if it is not known yet.
    [[nodiscard]] const HostId& host() const { return peer_.host.isEmpty() ? learnedHost : peer_.host; }

    void dialAfter(Duration delay) { retry_.startOnce(delay); }
    [[nodiscard]] bool isDiallingSoon() const { return retry_.isActive(); }
    void stopDialling() { retry_.stop(); }
    /// The wait before the next attempt; doubles with each attempt.
    [[nodiscard]] Duration nextWait()
    {
        const Duration wait = wait_;
        wait_ = std::min(wait_ * 2, MaxWait);
        return wait;
    }
    /// Connect timeout of the next attempt. A machine without power sends no response, and the kernel retransmits a
    /// lost SYN only after 1 s, so a host that came back meanwhile would wait that long for its links. It grows
    /// with the attempts, so that peers with longer round trips than expected are reached as well.
    [[nodiscard]] Duration nextConnectTimeout()
    {
        const Duration limit = MinConnectTimeout * (1 << std::min(attempts_ / AttemptsPerDoubling, MaxDoublings));
        ++attempts_;
        return limit;
    }
    /// True for one of several attempts: a host that is down is dialled several times a second.
    [[nodiscard]] bool isAttemptLogged() const { return attempts_ % AttemptsPerDoubling == 1; }
    void resetWait()
    {
        wait_ = MinWait;
        attempts_ = 0;
    }

    HostId learnedHost; ///< Of a seed.
    bool isSelf = false; ///< A seed that is this host.
    Link* attempt = nullptr; ///< The dialled link while it is not authenticated.

private:
    static constexpr Duration MinWait = 50ms;
    /// A host whose process crashed is back in about 1 s; an attempt costs one packet.
    static constexpr Duration MaxWait = 250ms;
    /// Three round trips between the furthest regions known (70 ms).
    static constexpr Duration MinConnectTimeout = 250ms;
    static constexpr int AttemptsPerDoubling = 8;
    static constexpr int MaxDoublings = 3;

    host::DesiredLinks::Peer peer_;
    Duration wait_ = MinWait;
    int attempts_ = 0;
    TimerWatcher retry_;
};

} // namespace saltvane::net
