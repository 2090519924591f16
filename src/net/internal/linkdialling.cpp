/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/linkhub.h"

#include "net/internal/socketaddress.h"

#include <algorithm>
#include <cerrno>
#include <random>
#include <utility>

/// Which peers a hub dials, and when.
namespace saltvane::net {

namespace {

constexpr Duration LowerHostFirst = 200ms; ///< Head start of the lower host id's dialling.
constexpr int SmallestJitterPercent = 50;
constexpr int Percent = 100;

} // namespace

WantedLink* LinkHub::wantedOf(const Link& link) const
{
    const auto found
        = std::find_if(wanted_.begin(), wanted_.end(), [&](const auto& wanted) { return wanted->attempt == &link; });
    return found == wanted_.end() ? nullptr : found->get();
}

bool LinkHub::isWanted(const HostId& host) const
{
    return std::any_of(wanted_.begin(), wanted_.end(), [&](const auto& wanted) { return wanted->host() == host; });
}

Link* LinkHub::suspectLinkTo(const HostId& host) const
{
    const auto found = peers_.find(host);
    Link* const link = found == peers_.end() ? nullptr : found->second.current;
    return link != nullptr && link->isSuspect() ? link : nullptr;
}

void LinkHub::dialBesideSuspects()
{
    for (const auto& wanted : wanted_) {
        if (wanted->attempt == nullptr && !wanted->isDiallingSoon() && suspectLinkTo(wanted->host()) != nullptr)
            dial(*wanted);
    }
}

bool LinkHub::isLinkStillOfUse(Link& link)
{
    if (Link* const suspect = suspectLinkTo(link.peerHost()))
        suspect->catchUp();
    const bool isOfUse = !isUp(link.peerHost()) || suspectLinkTo(link.peerHost()) != nullptr;
    WantedLink* const wanted = wantedOf(link);
    if (!isOfUse && wanted != nullptr)
        wanted->resetWait(); // It was reached: what made its tries rarer is over.
    return isOfUse;
}

void LinkHub::carryOut(const host::LinksWanted& action)
{
    std::vector<std::unique_ptr<WantedLink>> before = std::exchange(wanted_, {});
    for (const host::LinksWanted::Peer& peer : action.peers) {
        const auto known
            = std::find_if(before.begin(), before.end(), [&](const auto& old) { return old && old->peer() == peer; });
        if (known != before.end()) {
            wanted_.push_back(std::move(*known));
            continue;
        }
        if (peer.host == options_.self)
            continue;
        wanted_.push_back(
            std::make_unique<WantedLink>(options_.loop, peer, [this](WantedLink& wanted) { dial(wanted); }));
        const bool goesFirst = peer.host.isEmpty() || options_.self < peer.host;
        wanted_.back()->dialAfter(goesFirst ? Duration::zero() : LowerHostFirst);
    }
    std::vector<Link*> unwanted;
    for (Link& link : links_) {
        const bool isDialled = link.role() == LinkRole::Initiator;
        const bool isAttempt = link.state() < Link::State::Up;
        const bool isKept = isAttempt ? wantedOf(link) != nullptr : isWanted(link.peerHost());
        if (isDialled && !isKept)
            unwanted.push_back(&link);
    }
    for (Link* link : unwanted)
        link->end(LinkEnd::NotWanted);
}

void LinkHub::dial(WantedLink& wanted)
{
    const bool isLinked = isUp(wanted.host()) && suspectLinkTo(wanted.host()) == nullptr;
    if (wanted.isSelf || wanted.attempt != nullptr || isLinked)
        return;
    const auto address = SocketAddress::from(wanted.peer().address);
    if (!address)
        return;
    UniqueFd fd(::socket(address->family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd.isOpen() || (::connect(fd.get(), address->get(), address->length()) != 0 && errno != EINPROGRESS))
        return dialAgain(wanted);
    wanted.attempt = &addLink(LinkRole::Initiator, std::move(fd), wanted.peer().address,
        {.connectLimit = wanted.nextConnectLimit(), .isBesideSuspect = isUp(wanted.host())});
}

void LinkHub::dialAgain(WantedLink& wanted)
{
    if (wanted.isSelf)
        return;
    std::uniform_int_distribution<int> percent(SmallestJitterPercent, Percent);
    wanted.dialAfter(wanted.nextWait() * percent(jitter_) / Percent);
}

} // namespace saltvane::net
