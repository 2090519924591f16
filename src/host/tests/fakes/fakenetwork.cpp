/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/fakes/fakenetwork.h"

#include <algorithm>
#include <boost/random/uniform_01.hpp>

namespace saltvane::host::fakes {

namespace {

/// One-way delays until both ends of a new link have authenticated each other.
constexpr int HandshakeTrips = 3;
constexpr Duration ReconnectDelay = 200ms;

} // namespace

FakeNetwork::FakeNetwork(FakeNetworkOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
{
}

void FakeNetwork::onHostUp(const HostId& host, Incarnation incarnation, const model::Address& linkAddress)
{
    hosts_[host] = {.incarnation = incarnation, .address = linkAddress, .isUp = true};
    connectAllWanted();
}

void FakeNetwork::onHostDown(const HostId& host, bool isMachineDown)
{
    hosts_[host].isUp = false;
    for (auto& [pair, link] : links_) {
        if (pair.first != host && pair.second != host)
            continue;
        const bool isNoticedLate = isMachineDown || isCut(pair.first, pair.second);
        takeDown(pair, isNoticedLate ? options_.linkTimeout : options_.delay(pair.first, pair.second));
    }
}

void FakeNetwork::setWantedLinks(const HostId& host, const DesiredLinks& wanted)
{
    hosts_[host].wanted = wanted.peers;
    connectAllWanted();
}

void FakeNetwork::send(const HostId& from, model::OutgoingMessage outgoing)
{
    const Pair pair = pairOf(from, outgoing.to);
    const auto link = links_.find(pair);
    if (link == links_.end() || !link->second.isUp || (drop_ && drop_(from, outgoing)))
        return;
    ++messagesSent_;
    Duration delay = options_.delay(from, outgoing.to);
    if (loss_ > 0 && boost::random::uniform_01<double>()(random_) < loss_)
        delay += options_.retransmissionDelay;
    const size_t channel = from == pair.first ? 0 : 1;
    schedule(pair, channel, {from, hosts_[from].incarnation, std::move(outgoing.message)}, delay);
}

void FakeNetwork::setCut(Cut cut)
{
    cut_ = std::move(cut);
    for (auto& [pair, link] : links_) {
        if (!link.isUp)
            continue;
        if (isCut(pair.first, pair.second))
            scheduleLinkTimeout(pair);
        else
            flushStalled(pair);
    }
    connectAllWanted();
}

bool FakeNetwork::isCut(const HostId& first, const HostId& second) const
{
    return cut_ && (cut_(first, second) || cut_(second, first));
}

FakeNetwork::Pair FakeNetwork::pairOf(const HostId& first, const HostId& second)
{
    return first < second ? Pair {first, second} : Pair {second, first};
}

bool FakeNetwork::isWanted(const Pair& pair) const
{
    const auto wants = [this](const HostId& host, const HostId& peer) {
        const auto found = hosts_.find(host);
        if (found == hosts_.end())
            return false;
        return std::any_of(
            found->second.wanted.begin(), found->second.wanted.end(), [&](const DesiredLinks::Peer& wanted) {
                return (wanted.host.isEmpty() ? hostAt(wanted.address) : wanted.host) == peer;
            });
    };
    return wants(pair.first, pair.second) || wants(pair.second, pair.first);
}

HostId FakeNetwork::hostAt(const model::Address& address) const
{
    for (const auto& [id, host] : hosts_) {
        if (host.address == address)
            return id;
    }
    return {};
}

void FakeNetwork::connectAllWanted()
{
    for (auto first = hosts_.begin(); first != hosts_.end(); ++first) {
        for (auto second = std::next(first); second != hosts_.end(); ++second)
            connectIfWanted({first->first, second->first});
    }
}

void FakeNetwork::connectIfWanted(const Pair& pair)
{
    Link& link = links_[pair];
    if (link.isUp || link.isConnecting || !hosts_[pair.first].isUp || !hosts_[pair.second].isUp)
        return;
    if (isCut(pair.first, pair.second) || !isWanted(pair))
        return;
    link.isConnecting = true;
    const Duration handshake = HandshakeTrips * options_.delay(pair.first, pair.second);
    options_.time->after(handshake, [this, pair, generation = link.generation] { connect(pair, generation); });
}

void FakeNetwork::connect(const Pair& pair, uint64_t generation)
{
    Link& link = links_[pair];
    link.isConnecting = false;
    const bool isPossible = hosts_[pair.first].isUp && hosts_[pair.second].isUp && !isCut(pair.first, pair.second);
    if (link.generation != generation || !isPossible) {
        options_.time->after(ReconnectDelay, [this, pair] { connectIfWanted(pair); });
        return;
    }
    link = {.generation = generation + 1, .isUp = true};
    const Host& first = hosts_[pair.first];
    const Host& second = hosts_[pair.second];
    deliverIfUp(pair.first, first.incarnation, LinkUp {pair.second, second.incarnation});
    deliverIfUp(pair.second, second.incarnation, LinkUp {pair.first, first.incarnation});
}

void FakeNetwork::takeDown(const Pair& pair, Duration noticeDelay)
{
    Link& link = links_[pair];
    const bool wasUp = link.isUp;
    link = {.generation = link.generation + 1};
    if (!wasUp)
        return;
    const auto notice = [&](const HostId& host, const HostId& peer) {
        options_.time->after(noticeDelay, [this, pair, host, peer, incarnation = hosts_[host].incarnation] {
            // If the link is up again, its LinkUp has already reported the new incarnation.
            if (!links_[pair].isUp)
                deliverIfUp(host, incarnation, LinkDown {peer});
        });
    };
    notice(pair.first, pair.second);
    notice(pair.second, pair.first);
    options_.time->after(noticeDelay + ReconnectDelay, [this, pair] { connectIfWanted(pair); });
}

void FakeNetwork::scheduleLinkTimeout(const Pair& pair)
{
    options_.time->after(options_.linkTimeout, [this, pair, generation = links_[pair].generation] {
        const Link& link = links_[pair];
        if (link.isUp && link.generation == generation && isCut(pair.first, pair.second))
            takeDown(pair, {});
    });
}

void FakeNetwork::schedule(const Pair& pair, size_t channel, model::Delivery delivery, Duration delay)
{
    Link& link = links_[pair];
    Channel& direction = link.channels[channel];
    direction.lastArrival = std::max(direction.lastArrival, options_.time->now() + delay);
    options_.time->at(direction.lastArrival,
        [this, pair, channel, generation = link.generation, carried = std::move(delivery)]() mutable {
            arrive(pair, generation, channel, std::move(carried));
        });
}

void FakeNetwork::arrive(const Pair& pair, uint64_t generation, size_t channel, model::Delivery delivery)
{
    Link& link = links_[pair];
    if (!link.isUp || link.generation != generation)
        return;
    if (isCut(pair.first, pair.second)) {
        link.channels[channel].stalled.push_back(std::move(delivery));
        return;
    }
    const HostId& to = channel == 0 ? pair.second : pair.first;
    deliverIfUp(to, hosts_[to].incarnation, std::move(delivery));
}

void FakeNetwork::flushStalled(const Pair& pair)
{
    Link& link = links_[pair];
    const Duration delay = options_.delay(pair.first, pair.second);
    for (size_t channel = 0; channel < link.channels.size(); ++channel) {
        std::deque<model::Delivery> stalled = std::exchange(link.channels[channel].stalled, {});
        for (model::Delivery& delivery : stalled)
            schedule(pair, channel, std::move(delivery), delay);
    }
}

void FakeNetwork::deliverIfUp(const HostId& host, Incarnation incarnation, Event event)
{
    const Host& known = hosts_[host];
    if (known.isUp && known.incarnation == incarnation)
        options_.deliver(host, std::move(event));
}

} // namespace saltvane::host::fakes
