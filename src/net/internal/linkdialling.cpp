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

/// Dialling of LinkHub: which peers it connects to, and when.
namespace saltvane::net {

namespace {

constexpr Duration HigherHostDialDelay = 200ms; ///< The host with the lower id dials first.
constexpr int MinJitterPercent = 50;
constexpr int Percent = 100;

} // namespace

DesiredLink* LinkHub::desiredLinkOf(const Link& link) const
{
    const auto found = std::find_if(
        desiredLinks_.begin(), desiredLinks_.end(), [&](const auto& desired) { return desired->attempt == &link; });
    return found == desiredLinks_.end() ? nullptr : found->get();
}

bool LinkHub::isDesired(const HostId& host) const
{
    return std::any_of(
        desiredLinks_.begin(), desiredLinks_.end(), [&](const auto& desired) { return desired->host() == host; });
}

Link* LinkHub::suspectLinkTo(const HostId& host) const
{
    const auto found = peers_.find(host);
    Link* const link = found == peers_.end() ? nullptr : found->second.current;
    return link != nullptr && link->isSuspect() ? link : nullptr;
}

void LinkHub::dialSuspectPeers()
{
    for (const auto& desired : desiredLinks_) {
        if (desired->attempt == nullptr && !desired->isDiallingSoon() && suspectLinkTo(desired->host()) != nullptr)
            dial(*desired);
    }
}

bool LinkHub::isReplacementNeeded(Link& link)
{
    if (Link* const suspect = suspectLinkTo(link.peerHost()))
        suspect->receivePending();
    const bool isNeeded = !isUp(link.peerHost()) || suspectLinkTo(link.peerHost()) != nullptr;
    DesiredLink* const desired = desiredLinkOf(link);
    if (!isNeeded && desired != nullptr)
        desired->resetWait(); // The peer was reached, so the wait starts over.
    return isNeeded;
}

void LinkHub::execute(const host::DesiredLinks& action)
{
    std::vector<std::unique_ptr<DesiredLink>> before = std::exchange(desiredLinks_, {});
    for (const host::DesiredLinks::Peer& peer : action.peers) {
        const auto known
            = std::find_if(before.begin(), before.end(), [&](const auto& old) { return old && old->peer() == peer; });
        if (known != before.end()) {
            desiredLinks_.push_back(std::move(*known));
            continue;
        }
        if (peer.host == options_.self)
            continue;
        desiredLinks_.push_back(
            std::make_unique<DesiredLink>(options_.loop, peer, [this](DesiredLink& desired) { dial(desired); }));
        const bool dialsFirst = peer.host.isEmpty() || options_.self < peer.host;
        desiredLinks_.back()->dialAfter(dialsFirst ? Duration::zero() : HigherHostDialDelay);
    }
    std::vector<Link*> undesired;
    for (Link& link : links_) {
        const bool isDialled = link.role() == LinkRole::Initiator;
        const bool isAttempt = link.state() < Link::State::Up;
        const bool isKept = isAttempt ? desiredLinkOf(link) != nullptr : isDesired(link.peerHost());
        if (isDialled && !isKept)
            undesired.push_back(&link);
    }
    for (Link* link : undesired)
        link->close(LinkCloseReason::NotWanted);
}

void LinkHub::dial(DesiredLink& desired)
{
    const bool isLinked = isUp(desired.host()) && suspectLinkTo(desired.host()) == nullptr;
    if (desired.isSelf || desired.attempt != nullptr || isLinked)
        return;
    const auto address = SocketAddress::from(desired.peer().address);
    if (!address)
        return;
    UniqueFd fd(::socket(address->family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd.isOpen() || (::connect(fd.get(), address->get(), address->length()) != 0 && errno != EINPROGRESS))
        return scheduleRetry(desired);
    desired.attempt = &addLink(LinkRole::Initiator, std::move(fd), desired.peer().address,
        {.connectTimeout = desired.nextConnectTimeout(), .replacesSuspect = isUp(desired.host())});
}

void LinkHub::scheduleRetry(DesiredLink& desired)
{
    if (desired.isSelf)
        return;
    std::uniform_int_distribution<int> percent(MinJitterPercent, Percent);
    desired.dialAfter(desired.nextWait() * percent(jitter_) / Percent);
}

} // namespace saltvane::net
