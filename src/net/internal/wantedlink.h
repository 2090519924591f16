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

/// A peer the core wants a link to, and how its dialling stands.
class WantedLink {
public:
    WantedLink(struct ev_loop* loop, host::LinksWanted::Peer peer, std::function<void(WantedLink&)> onDial)
        : peer_(std::move(peer))
        , retry_(loop, [this, dial = std::move(onDial)] { dial(*this); })
    {
    }

    [[nodiscard]] const host::LinksWanted::Peer& peer() const { return peer_; }
    /// The host at the address, as far as known.
    [[nodiscard]] const HostId& host() const { return peer_.host.isEmpty() ? learnedHost : peer_.host; }

    void dialAfter(Duration delay) { retry_.startOnce(delay); }
    [[nodiscard]] bool isDiallingSoon() const { return retry_.isActive(); }
    void stopDialling() { retry_.stop(); }
    /// The wait before the next try; doubles with each.
    [[nodiscard]] Duration nextWait()
    {
        const Duration wait = wait_;
        wait_ = std::min(wait_ * 2, LongestWait);
        return wait;
    }
    /// How long the next try may take to connect. A host without power answers nothing, and the kernel repeats a lost
    /// opening packet only after a second: a host that came back meanwhile would wait that long for its links. Grows
    /// with the tries, so that peers further away than expected are reached as well.
    [[nodiscard]] Duration nextConnectLimit()
    {
        const Duration limit = ShortestConnectLimit * (1 << std::min(tries_ / TriesPerDoubling, MostDoublings));
        ++tries_;
        return limit;
    }
    /// Some tries a second at a host that is down need not all be logged.
    [[nodiscard]] bool isTryLogged() const { return tries_ % TriesPerDoubling == 1; }
    void resetWait()
    {
        wait_ = ShortestWait;
        tries_ = 0;
    }

    HostId learnedHost; ///< Of a seed.
    bool isSelf = false; ///< A seed that is this host.
    Link* attempt = nullptr; ///< Not proven yet.

private:
    static constexpr Duration ShortestWait = 50ms;
    /// A host that lost its process is back in about a second; a try costs one packet.
    static constexpr Duration LongestWait = 250ms;
    /// Three round trips between the furthest regions known (70 ms).
    static constexpr Duration ShortestConnectLimit = 250ms;
    static constexpr int TriesPerDoubling = 8;
    static constexpr int MostDoublings = 3;

    host::LinksWanted::Peer peer_;
    Duration wait_ = ShortestWait;
    int tries_ = 0;
    TimerWatcher retry_;
};

} // namespace saltvane::net
