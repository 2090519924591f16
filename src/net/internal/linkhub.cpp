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

constexpr size_t LargestUnprovenCount = 256;
constexpr Duration Simultaneous = 3s; ///< Longer than any handshake: two links that near were dialled at once.

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
    wanted_.clear();
    links_.clear_and_dispose(std::default_delete<Link> {});
    endedLinks_.clear_and_dispose(std::default_delete<Link> {});
}

Result<Done, IoError> LinkHub::start()
{
    auto listening = listenOn(options_.listenAddress);
    if (!listening)
        return listening.error();
    listening_ = std::move(listening.value());
    boundAddress_ = boundAddressOf(listening_.get());
    acceptWatcher_.watch(listening_.get(), EV_READ);
    keepAliveTimer_.startRepeating(Link::KeepAliveTick);
    return Done {};
}

Link& LinkHub::addLink(LinkRole role, UniqueFd fd, const model::Address& remote, const DialOptions& dialling)
{
    auto link = std::make_unique<Link>(Link::Options {.loop = options_.loop,
        .identity = identity_,
        .owner = *this,
        .role = role,
        .fd = std::move(fd),
        .remote = describe(remote),
        .connectLimit = dialling.connectLimit,
        .isBesideSuspect = dialling.isBesideSuspect,
        .largestSendQueue = options_.largestSendQueue,
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
        const auto unproven = std::count_if(
            links_.begin(), links_.end(), [](const Link& link) { return link.state() < Link::State::Up; });
        if (static_cast<size_t>(unproven) >= LargestUnprovenCount)
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

void LinkHub::endOwnLink(Link& link, Link& otherEnd)
{
    for (Link* end : {&link, &otherEnd}) {
        if (WantedLink* wanted = wantedOf(*end))
            wanted->isSelf = true;
    }
    link.end(LinkEnd::NotWanted, "self");
    otherEnd.end(LinkEnd::NotWanted, "self");
}

bool LinkHub::isPreferred(const Link& link) const
{
    const bool isSelfLower = options_.self < link.peerHost();
    return isSelfLower == (link.role() == LinkRole::Initiator);
}

bool LinkHub::isExpected(Link& link)
{
    WantedLink* wanted = wantedOf(link);
    if (wanted != nullptr && wanted->peer().host.isEmpty())
        wanted->learnedHost = link.peerHost();
    if (link.peerHost() == options_.self) {
        if (Link* otherEnd = otherEndOf(link))
            endOwnLink(link, *otherEnd);
        else
            refuse(link, "own-host-id");
        return false;
    }
    if (wanted == nullptr || wanted->host() == link.peerHost())
        return true;
    link.end(LinkEnd::NotWanted, "other-host-at-address");
    return false;
}

void LinkHub::linkProven(Link& link)
{
    if (!isExpected(link))
        return;
    if (WantedLink* wanted = wantedOf(link)) {
        wanted->attempt = nullptr;
        wanted->resetWait();
    }
    Peer& peer = peers_[link.peerHost()];
    // Starts are ordered by the time of day, which may step back between two of them: while no link stands, the start
    // that has just proven itself is the living one, whatever its number.
    if (link.peerIncarnation() < peer.incarnation && peer.current != nullptr)
        return refuse(link, "older-incarnation");
    if (link.peerIncarnation() != peer.incarnation) {
        Link* older = peer.current;
        tellDown(link.peerHost(), peer);
        peer = Peer {.incarnation = link.peerIncarnation()};
        if (older != nullptr)
            older->end(LinkEnd::Replaced, "newer-incarnation");
    }
    adopt(link, peer);
}

void LinkHub::adopt(Link& link, Peer& peer)
{
    if (peer.current != nullptr)
        return replaceCurrent(link, peer);
    peer.current = &link;
    if (peer.isUp)
        return;
    peer.isUp = true;
    LOG_TAGGED(INFO, "net") << "event=link_up peer=" << link.peerHost().value()
                            << " incarnation=" << link.peerIncarnation().value << " remote=" << link.remote();
    emit(host::LinkUp {.host = link.peerHost(), .incarnation = link.peerIncarnation()});
}

void LinkHub::replaceCurrent(Link& link, Peer& peer)
{
    // A peer dials only while it has no link or hears nothing on it: where the one in use isn't as young as a dialling
    // at the same time would make it, the peer lost it. Compared by a clock that doesn't step: with the time of day set
    // back in between, the dead link would be kept and the new one refused.
    const bool isOlder = link.upSince() - peer.current->upSince() > Simultaneous;
    const bool isCurrentLost = isOlder || peer.current->isSuspect();
    const bool isBetter = isPreferred(link) && !isPreferred(*peer.current);
    if (!isCurrentLost && !isBetter)
        return link.retire();
    if (isCurrentLost) {
        // What was under way on it is lost: the core has to begin anew with the peer.
        Link* lost = std::exchange(peer.current, nullptr);
        tellDown(link.peerHost(), peer);
        lost->end(LinkEnd::Replaced, "dialled-again");
        return adopt(link, peer);
    }
    Link* older = std::exchange(peer.current, &link);
    peer.retiring = older;
    link.holdReceiving(true);
    older->retire();
}

void LinkHub::refuse(Link& link, std::string_view reason) { link.end(LinkEnd::Refused, reason); }

void LinkHub::linkReceived(Link& link, model::Message message)
{
    deliver(); // LinkUp comes first.
    options_.sink(model::Delivery {
        .from = link.peerHost(), .fromIncarnation = link.peerIncarnation(), .message = std::move(message)});
}

void LinkHub::linkEnded(Link& link, LinkEnd end, std::string_view detail)
{
    links_.erase(links_.iterator_to(link));
    endedLinks_.push_back(link);
    flushTask_.schedule();
    std::erase(dirty_, &link);
    if (end == LinkEnd::Refused)
        options_.counters->add(model::Counter::LinkAuthFailures);
    if (end == LinkEnd::BadRecord)
        options_.counters->add(model::Counter::BadFrames);
    logEnd(link, end, detail);
    if (WantedLink* wanted = wantedOf(link)) {
        wanted->attempt = nullptr;
        if (end == LinkEnd::ConnectTimedOut)
            wanted->dialAfter(Duration::zero()); // The limit was wait enough.
        else
            dialAgain(*wanted);
    }
    const auto found = peers_.find(link.peerHost());
    if (found != peers_.end())
        peerLinkEnded(link, found->second);
    settleOrphans();
}

void LinkHub::peerLinkEnded(const Link& link, Peer& peer)
{
    if (peer.current == &link)
        peer.current = nullptr;
    if (peer.retiring != &link)
        return;
    peer.retiring = nullptr;
    if (peer.current != nullptr)
        peer.current->holdReceiving(false);
}

bool LinkHub::hasGreetedLink(const HostId& host) const
{
    return std::any_of(links_.begin(), links_.end(),
        [&](const Link& link) { return link.state() == Link::State::AwaitingProof && link.peerHost() == host; });
}

void LinkHub::settleOrphans()
{
    for (auto& [host, peer] : peers_) {
        // The peer may have closed the link in use for one that is about to be proven here.
        if (peer.isUp && peer.current == nullptr && !hasGreetedLink(host))
            tellDown(host, peer);
    }
}

void LinkHub::tellDown(const HostId& host, Peer& peer)
{
    if (!peer.isUp)
        return;
    peer.isUp = false;
    emit(host::LinkDown {.host = host});
    for (const auto& wanted : wanted_) {
        if (wanted->host() == host && wanted->attempt == nullptr)
            dialAgain(*wanted);
    }
}

void LinkHub::send(const model::Outgoing& outgoing)
{
    const auto found = peers_.find(outgoing.to);
    if (found == peers_.end() || found->second.current == nullptr)
        return;
    Link& link = *found->second.current;
    const size_t bytes = link.send(outgoing.message);
    options_.counters->add(model::Counter::LinkBytes, bytes);
    const bool isBundle = std::holds_alternative<model::BundlePush>(outgoing.message)
        || std::holds_alternative<model::BundlePart>(outgoing.message);
    if (isBundle)
        options_.counters->add(model::Counter::BundleBytes, bytes);
    watchBacklog(link);
    if (link.isDirty || link.state() != Link::State::Up)
        return;
    link.isDirty = true;
    dirty_.push_back(&link);
    flushTask_.schedule();
}

void LinkHub::keepLinksAlive()
{
    // Of a copy: a link that ends leaves the list. Its memory stays until the flush.
    std::vector<Link*> links;
    for (Link& link : links_)
        links.push_back(&link);
    for (Link* link : links)
        link->keepAlive();
    dialBesideSuspects();
}

void LinkHub::flush()
{
    for (Link* link : std::exchange(dirty_, {})) {
        if (link->state() != Link::State::Ended)
            link->flush();
    }
    endedLinks_.clear_and_dispose(std::default_delete<Link> {});
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

void LinkHub::logEnd(const Link& link, LinkEnd end, std::string_view detail)
{
    const WantedLink* wanted = wantedOf(link);
    const bool isUnreached = end == LinkEnd::ConnectFailed || end == LinkEnd::ConnectTimedOut;
    if (isStopping_ || (isUnreached && wanted != nullptr && !wanted->isTryLogged()))
        return;
    const bool isRefusal = end == LinkEnd::Refused || end == LinkEnd::BadRecord || end == LinkEnd::TooSlow;
    const auto severity = isRefusal ? google::GLOG_WARNING : google::GLOG_INFO;
    google::LogMessage(__FILE__, __LINE__, severity).stream()
        << "module=net event=link_end reason=" << toString(end) << " detail=\"" << detail
        << "\" peer=" << link.peerHost().value() << " remote=" << link.remote() << " silent_ms="
        << std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - link.heardAt()).count();
}

} // namespace saltvane::net
