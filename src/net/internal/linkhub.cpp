/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/linkhub.h"

#include "base/log.h"
#include "base/monotonicclock.h"
#include "net/internal/socketaddress.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <sodium.h>

namespace saltvane::net {

namespace {

constexpr size_t MaxUnauthenticatedLinks = 256;
/// Longer than any handshake: links that come up within it were dialled at the same time.
constexpr Duration SimultaneousDialWindow = 3s;

} // namespace

LinkHub::LinkHub(LinkHubOptions options)
    : options_(std::move(options))
    , identity_ {.deployment = options_.deployment,
          .host = options_.self,
          .incarnation = options_.incarnation,
          .secret = deriveLinkSecret(options_.linkKey)}
    , jitter_(static_cast<unsigned int>(std::hash<HostId> {}(options_.self)))
    , acceptWatcher_(options_.loop, [this](int) { accept(); })
    , keepAliveTimer_(options_.loop, [this] { keepLinksAlive(); })
    , deliverTask_(options_.loop, TaskOrder::AfterIo, [this] { deliver(); })
    , flushTask_(options_.loop, TaskOrder::Last, [this] { flush(); })
{
}

LinkHub::~LinkHub()
{
    isStopping_ = true;
    desiredLinks_.clear();
    links_.clear_and_dispose(std::default_delete<Link> {});
    closedLinks_.clear_and_dispose(std::default_delete<Link> {});
}

Result<Success, IoError> LinkHub::start()
{
    auto listening = listenOn(options_.listenAddress);
    if (!listening)
        return listening.error();
    listening_ = std::move(listening.value());
    boundAddress_ = boundAddressOf(listening_.get());
    acceptWatcher_.watch(listening_.get(), EV_READ);
    keepAliveTimer_.startRepeating(Link::KeepAliveTick);
    return Success {};
}

Link& LinkHub::addLink(LinkRole role, UniqueFd fd, const model::Address& remote, const DialOptions& dialling)
{
    auto link = std::make_unique<Link>(Link::Options {.loop = options_.loop,
        .identity = identity_,
        .owner = *this,
        .role = role,
        .fd = std::move(fd),
        .remote = describe(remote),
        .connectTimeout = dialling.connectTimeout,
        .replacesSuspect = dialling.replacesSuspect,
        .maxSendQueueBytes = options_.maxSendQueueBytes,
        .scratch = scratch_});
    links_.push_back(*link);
    return *link.release();
}

void LinkHub::accept()
{
    while (true) {
        sockaddr_storage storage {};
        socklen_t length = sizeof(storage);
        auto* address = reinterpret_cast<sockaddr*>(&storage);
        UniqueFd fd(::accept4(listening_.get(), address, &length, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!fd.isOpen())
            return;
        const auto unauthenticated = std::count_if(
            links_.begin(), links_.end(), [](const Link& link) { return link.state() < Link::State::Up; });
        if (static_cast<size_t>(unauthenticated) >= MaxUnauthenticatedLinks)
            continue;
        Link& link = addLink(LinkRole::Responder, std::move(fd), SocketAddress::from(address, length).address());
        link.flush();
    }
}

bool LinkHub::isUp(const HostId& host) const
{
    const auto found = peers_.find(host);
    return found != peers_.end() && found->second.isUp;
}

Link* LinkHub::otherEndOf(const Link& link)
{
    const auto found = std::find_if(
        links_.begin(), links_.end(), [&](const Link& other) { return other.ownNonce() == link.peerNonce(); });
    return found == links_.end() ? nullptr : &*found;
}

void LinkHub::closeSelfLink(Link& link, Link& otherEnd)
{
    for (Link* linkEnd : {&link, &otherEnd}) {
        if (DesiredLink* desired = desiredLinkOf(*linkEnd))
            desired->isSelf = true;
    }
    link.close(LinkCloseReason::NotWanted, "self");
    otherEnd.close(LinkCloseReason::NotWanted, "self");
}

bool LinkHub::isPreferred(const Link& link) const
{
    const bool isSelfLower = options_.self < link.peerHost();
    return isSelfLower == (link.role() == LinkRole::Initiator);
}

bool LinkHub::isExpected(Link& link)
{
    DesiredLink* desired = desiredLinkOf(link);
    if (desired != nullptr && desired->peer().host.isEmpty())
        desired->learnedHost = link.peerHost();
    if (link.peerHost() == options_.self) {
        if (Link* otherEnd = otherEndOf(link))
            closeSelfLink(link, *otherEnd);
        else
            refuse(link, "own-host-id");
        return false;
    }
    if (desired == nullptr || desired->host() == link.peerHost())
        return true;
    link.close(LinkCloseReason::NotWanted, "other-host-at-address");
    return false;
}

void LinkHub::onLinkAuthenticated(Link& link)
{
    if (!isExpected(link))
        return;
    if (DesiredLink* desired = desiredLinkOf(link)) {
        desired->attempt = nullptr;
        desired->resetWait();
    }
    Peer& peer = peers_[link.peerHost()];
    // Incarnations are ordered by the wall clock, which can step back between two starts of a host. Without a current
    // link, the incarnation that has just authenticated itself is the running one, whatever its number.
    if (link.peerIncarnation() < peer.incarnation && peer.current != nullptr)
        return refuse(link, "older-incarnation");
    if (link.peerIncarnation() != peer.incarnation) {
        Link* older = peer.current;
        reportLinkDown(link.peerHost(), peer);
        peer = Peer {.incarnation = link.peerIncarnation()};
        if (older != nullptr)
            older->close(LinkCloseReason::Replaced, "newer-incarnation");
    }
    adopt(link, peer);
}

void LinkHub::adopt(Link& link, Peer& peer)
{
    if (peer.current != nullptr)
        return replaceCurrent(link, peer);
    peer.current = &link;
    if (peer.isUp && peer.hasLostMessages)
        reportLinkDown(link.peerHost(), peer);
    if (!peer.isUp)
        reportLinkUp(link, peer);
}

void LinkHub::reportLinkUp(const Link& link, Peer& peer)
{
    peer.isUp = true;
    peer.hasLostMessages = false;
    LOG_TAGGED(INFO, "net") << "event=link_up peer=" << link.peerHost().value()
                            << " incarnation=" << link.peerIncarnation().value << " remote=" << link.remote();
    emit(host::LinkUp {.host = link.peerHost(), .incarnation = link.peerIncarnation()});
}

void LinkHub::replaceCurrent(Link& link, Peer& peer)
{
    // A peer dials only if it has no link or receives nothing on it. If the current link is too old to be from
    // simultaneous dialling, the peer has lost it. Compared by the monotonic clock: if the wall clock was set back in
    // between, the dead link would be kept and the new one refused.
    const bool isOlder = link.upSince() - peer.current->upSince() > SimultaneousDialWindow;
    const bool isCurrentLost = isOlder || peer.current->isSuspect();
    const bool isBetter = isPreferred(link) && !isPreferred(*peer.current);
    if (!isCurrentLost && !isBetter)
        return link.retire();
    if (isCurrentLost) {
        // Messages in flight on it are lost, so the core must start over with the peer.
        Link* lost = std::exchange(peer.current, nullptr);
        reportLinkDown(link.peerHost(), peer);
        lost->close(LinkCloseReason::Replaced, "dialled-again");
        return adopt(link, peer);
    }
    Link* older = std::exchange(peer.current, &link);
    peer.retiring = older;
    link.setReceivingPaused(true);
    older->retire();
}

void LinkHub::refuse(Link& link, std::string_view reason) { link.close(LinkCloseReason::Refused, reason); }

void LinkHub::onLinkMessage(Link& link, model::Message message)
{
    deliver(); // LinkUp must precede the messages.
    options_.sink(model::Delivery {
        .from = link.peerHost(), .fromIncarnation = link.peerIncarnation(), .message = std::move(message)});
}

void LinkHub::onLinkClosed(Link& link, LinkCloseReason reason, std::string_view detail)
{
    links_.erase(links_.iterator_to(link));
    closedLinks_.push_back(link);
    flushTask_.schedule();
    std::erase(dirty_, &link);
    if (reason == LinkCloseReason::Refused)
        options_.counters->add(model::Counter::LinkAuthFailures);
    if (reason == LinkCloseReason::BadRecord)
        options_.counters->add(model::Counter::BadFrames);
    logClose(link, reason, detail);
    if (DesiredLink* desired = desiredLinkOf(link)) {
        desired->attempt = nullptr;
        if (reason == LinkCloseReason::ConnectTimedOut)
            desired->dialAfter(Duration::zero()); // The connect timeout was delay enough.
        else
            scheduleRetry(*desired);
    }
    const auto found = peers_.find(link.peerHost());
    if (found != peers_.end())
        onPeerLinkClosed(link, found->second);
    reportOrphanedPeers();
}

void LinkHub::onPeerLinkClosed(const Link& link, Peer& peer)
{
    if (peer.current == &link) {
        peer.current = nullptr;
        peer.hasLostMessages = peer.hasLostMessages || !link.isEndedComplete();
    }
    if (peer.retiring != &link)
        return;
    peer.retiring = nullptr;
    peer.hasLostMessages = peer.hasLostMessages || !link.isEndedComplete();
    if (peer.current == nullptr)
        return;
    if (peer.hasLostMessages) {
        reportLinkDown(link.peerHost(), peer);
        reportLinkUp(*peer.current, peer);
    }
    peer.current->setReceivingPaused(false);
}

bool LinkHub::hasLinkAwaitingProof(const HostId& host) const
{
    return std::any_of(links_.begin(), links_.end(),
        [&](const Link& link) { return link.state() == Link::State::AwaitingProof && link.peerHost() == host; });
}

void LinkHub::reportOrphanedPeers()
{
    for (auto& [host, peer] : peers_) {
        // The peer may have closed the current link in favour of one that is about to be authenticated here.
        if (peer.isUp && peer.current == nullptr && !hasLinkAwaitingProof(host))
            reportLinkDown(host, peer);
    }
}

void LinkHub::reportLinkDown(const HostId& host, Peer& peer)
{
    if (!peer.isUp)
        return;
    peer.isUp = false;
    emit(host::LinkDown {.host = host});
    for (const auto& desired : desiredLinks_) {
        if (desired->host() == host && desired->attempt == nullptr)
            scheduleRetry(*desired);
    }
}

void LinkHub::send(const model::OutgoingMessage& outgoing)
{
    const auto found = peers_.find(outgoing.to);
    if (found == peers_.end())
        return;
    if (found->second.current == nullptr) {
        found->second.hasLostMessages = true;
        return;
    }
    Link& link = *found->second.current;
    const size_t bytes = link.send(outgoing.message);
    options_.counters->add(model::Counter::LinkBytes, bytes);
    const bool isBundle = std::holds_alternative<model::BundlePush>(outgoing.message)
        || std::holds_alternative<model::BundlePart>(outgoing.message);
    if (isBundle)
        options_.counters->add(model::Counter::BundleBytes, bytes);
    onBacklogGrown(link);
    if (link.isDirty || link.state() != Link::State::Up)
        return;
    link.isDirty = true;
    dirty_.push_back(&link);
    flushTask_.schedule();
}

void LinkHub::keepLinksAlive()
{
    // Iterates over a copy: a link that closes leaves the list. It is destroyed only in flush().
    std::vector<Link*> links;
    for (Link& link : links_)
        links.push_back(&link);
    for (Link* link : links)
        link->keepAlive();
    dialSuspectPeers();
}

void LinkHub::flush()
{
    for (Link* link : std::exchange(dirty_, {})) {
        if (link->state() != Link::State::Closed)
            link->flush();
    }
    closedLinks_.clear_and_dispose(std::default_delete<Link> {});
}

void LinkHub::emit(host::Event event)
{
    if (isStopping_)
        return;
    events_.push_back(std::move(event));
    deliverTask_.schedule();
}

void LinkHub::deliver()
{
    while (!events_.empty()) {
        const host::Event event = std::move(events_.front());
        events_.pop_front();
        options_.sink(event);
    }
}

void LinkHub::logClose(const Link& link, LinkCloseReason reason, std::string_view detail)
{
    const DesiredLink* desired = desiredLinkOf(link);
    const bool isUnreached = reason == LinkCloseReason::ConnectFailed || reason == LinkCloseReason::ConnectTimedOut;
    if (isStopping_ || (isUnreached && desired != nullptr && !desired->isAttemptLogged()))
        return;
    const bool isRefusal = reason == LinkCloseReason::Refused || reason == LinkCloseReason::BadRecord
        || reason == LinkCloseReason::TooSlow;
    const auto severity = isRefusal ? google::GLOG_WARNING : google::GLOG_INFO;
    google::LogMessage(__FILE__, __LINE__, severity).stream()
        << "module=net event=link_end reason=" << toString(reason) << " detail=\"" << detail
        << "\" peer=" << link.peerHost().value() << " remote=" << link.remote() << " silent_ms="
        << std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - link.lastReceivedAt()).count();
}

} // namespace saltvane::net
