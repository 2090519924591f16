/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/hosttypes.h"
#include "host/tests/fakes/virtualtime.h"

#include <array>
#include <boost/random/mersenne_twister.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace saltvane::host::fakes {

struct FakeNetworkOptions {
    VirtualTime* time = nullptr;
    /// One-way delay between two hosts.
    std::function<Duration(const HostId&, const HostId&)> delay;
    std::function<void(const HostId&, Event)> deliver;
    Duration linkTimeout = 1500ms; ///< Time until a host notices a cut link.
    Duration retransmissionDelay = 200ms; ///< Additional delay of a lost message.
    uint64_t seed = 1;
};

/// Links between hosts in virtual time: messages stay in order as over TCP, a link is up while either end wants it, and
/// a cut link stalls without an error.
class FakeNetwork {
public:
    using Cut = std::function<bool(const HostId&, const HostId&)>;

    explicit FakeNetwork(FakeNetworkOptions options);

    void onHostUp(const HostId& host, Incarnation incarnation, const model::Address& linkAddress);
    /// The process is down. Peers notice at once or, if its machine is down too, after the link timeout.
    void onHostDown(const HostId& host, bool isMachineDown = false);
    void setWantedLinks(const HostId& host, const DesiredLinks& wanted);
    void send(const HostId& from, model::OutgoingMessage outgoing);

    /// Cuts the links between hosts for which `cut` is true; an empty function heals all links.
    void setCut(Cut cut);
    [[nodiscard]] bool isCut(const HostId& first, const HostId& second) const;
    /// Sets the fraction of messages that need a retransmission.
    void setLoss(double share) { loss_ = share; }
    /// Drops the messages for which this is true, as if the link had failed and recovered at once.
    void setDrop(std::function<bool(const HostId& from, const model::OutgoingMessage&)> drop)
    {
        drop_ = std::move(drop);
    }
    [[nodiscard]] uint64_t messagesSent() const { return messagesSent_; }

private:
    struct Host {
        Incarnation incarnation;
        model::Address address;
        bool isUp = false;
        std::vector<DesiredLinks::Peer> wanted;
    };
    struct Channel {
        Timestamp lastArrival;
        std::deque<model::Delivery> stalled; ///< Sent while the link was cut.
    };
    struct Link {
        uint64_t generation = 0;
        bool isUp = false;
        bool isConnecting = false;
        std::array<Channel, 2> channels; ///< From the lower id to the higher, and back.
    };
    using Pair = std::pair<HostId, HostId>; ///< Lower id first.

    [[nodiscard]] static Pair pairOf(const HostId& first, const HostId& second);
    [[nodiscard]] bool isWanted(const Pair& pair) const;
    [[nodiscard]] HostId hostAt(const model::Address& address) const;
    void connectAllWanted();
    void connectIfWanted(const Pair& pair);
    void connect(const Pair& pair, uint64_t generation);
    void takeDown(const Pair& pair, Duration noticeDelay);
    void scheduleLinkTimeout(const Pair& pair);
    void schedule(const Pair& pair, size_t channel, model::Delivery delivery, Duration delay);
    void arrive(const Pair& pair, uint64_t generation, size_t channel, model::Delivery delivery);
    void flushStalled(const Pair& pair);
    void deliverIfUp(const HostId& host, Incarnation incarnation, Event event);

    FakeNetworkOptions options_;
    std::map<HostId, Host> hosts_;
    std::map<Pair, Link> links_;
    Cut cut_;
    double loss_ = 0;
    std::function<bool(const HostId&, const model::OutgoingMessage&)> drop_;
    uint64_t messagesSent_ = 0;
    boost::random::mt19937_64 random_;
};

} // namespace saltvane::host::fakes
