/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/link.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace saltvane::net {

namespace {

constexpr Duration HandshakeLimit = 2s; ///< Once connected.
constexpr Duration RetireLimit = 1s;
constexpr unsigned int UnacknowledgedLimitMs = 5000;
/// Emptied buffers give back what is beyond it: a control host has hundreds of links, most of them at rest.
constexpr size_t KeptCapacity = 2 * 1024;
constexpr size_t ReceivedAtOnce = 1024 * 1024; ///< Bytes, before other connections have their turn.

void clear(std::string& buffer)
{
    buffer.clear();
    if (buffer.capacity() > KeptCapacity)
        buffer.shrink_to_fit();
}

} // namespace

std::string_view toString(LinkEnd end)
{
    switch (end) {
    case LinkEnd::PeerClosed:
        return "peer-closed";
    case LinkEnd::ConnectFailed:
        return "connect-failed";
    case LinkEnd::ConnectTimedOut:
        return "connect-timed-out";
    case LinkEnd::TimedOut:
        return "timed-out";
    case LinkEnd::Silent:
        return "silent";
    case LinkEnd::WriteFailed:
        return "write-failed";
    case LinkEnd::TooSlow:
        return "too-slow";
    case LinkEnd::Refused:
        return "refused";
    case LinkEnd::BadRecord:
        return "bad-record";
    case LinkEnd::Replaced:
        return "replaced";
    case LinkEnd::NotWanted:
        return "not-wanted";
    }
    return "unknown";
}

Link::Link(Options options)
    : options_(std::move(options))
    , state_(options_.role == LinkRole::Initiator ? State::Connecting : State::AwaitingHello)
    , nonce_(freshLinkNonce())
    , ownHello_(encodeLinkHello({.deployment = options_.identity.deployment,
          .host = options_.identity.host,
          .incarnation = options_.identity.incarnation,
          .nonce = nonce_}))
    , heardAt_(monotonicNow())
    , watcher_(options_.loop, [this](int events) { onReady(events); })
    , deadline_(
          options_.loop, [this] { end(state_ == State::Connecting ? LinkEnd::ConnectTimedOut : LinkEnd::TimedOut); })
    , proofTimer_(options_.loop, [this] { sendHeldProof(); })
{
    setSocketOptions();
    unsent_.append(encodeLinkInteger(ownHello_.size(), LinkHelloLengthBytes) + ownHello_);
    deadline_.startOnce(state_ == State::Connecting ? options_.connectLimit : HandshakeLimit);
    watch();
}

void Link::setSocketOptions() const
{
    const int on = 1;
    ::setsockopt(options_.fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::setsockopt(options_.fd.get(), SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(
        options_.fd.get(), IPPROTO_TCP, TCP_USER_TIMEOUT, &UnacknowledgedLimitMs, sizeof(UnacknowledgedLimitMs));
}

LinkHellos Link::hellos() const
{
    if (options_.role == LinkRole::Initiator)
        return {.initiator = ownHello_, .responder = peerHelloBytes_};
    return {.initiator = peerHelloBytes_, .responder = ownHello_};
}

void Link::watch()
{
    if (state_ == State::Ended)
        return;
    const bool wantsWrite = state_ == State::Connecting || !unsent_.isEmpty();
    const bool wantsRead = state_ != State::Connecting && !isReceivingHeld_;
    watcher_.watch(options_.fd.get(), (wantsRead ? EV_READ : 0) | (wantsWrite ? EV_WRITE : 0));
}

void Link::onReady(int events)
{
    if (state_ == State::Connecting)
        return finishConnecting();
    if ((events & EV_WRITE) != 0)
        flush();
    if ((events & EV_READ) != 0 && state_ != State::Ended)
        receive();
}

void Link::finishConnecting()
{
    int error = 0;
    socklen_t length = sizeof(error);
    ::getsockopt(options_.fd.get(), SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0)
        return end(LinkEnd::ConnectFailed, std::strerror(error));
    state_ = State::AwaitingHello;
    deadline_.startOnce(HandshakeLimit);
    flush();
}

void Link::flush()
{
    isDirty = false;
    if (state_ == State::Ended || state_ == State::Connecting)
        return;
    while (!unsent_.isEmpty()) {
        const std::string_view next = unsent_.front();
        const ssize_t count = ::send(options_.fd.get(), next.data(), next.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            break;
        if (count < 0)
            return end(LinkEnd::WriteFailed, std::strerror(errno));
        unsent_.consume(static_cast<size_t>(count));
    }
    if (state_ == State::Retiring && unsent_.isEmpty() && !isWriteClosed_) {
        isWriteClosed_ = true;
        ::shutdown(options_.fd.get(), SHUT_WR);
    }
    watch();
}

size_t Link::send(const model::Message& message)
{
    if (state_ != State::Up)
        return 0;
    saidAt_ = monotonicNow();
    const std::string frame = wire::encodeFrame(message);
    queueRecord(frame);
    if (queuedBytes() > options_.largestSendQueue)
        end(LinkEnd::TooSlow);
    return frame.size();
}

void Link::keepAlive()
{
    if (state_ != State::Up)
        return; // The other states have time limits of their own.
    catchUp();
    const Timestamp now = monotonicNow();
    if (state_ == State::Ended)
        return;
    if (isReceivingHeld_)
        heardAt_ = now;
    if (now - heardAt_ >= LongestSilence)
        return end(LinkEnd::Silent);
    if (now - saidAt_ < KeepAliveTick)
        return;
    saidAt_ = now;
    queueRecord({});
    flush();
}

void Link::queueRecord(std::string_view frame)
{
    std::string record;
    sealer_->seal(frame, record);
    unsent_.append(record);
}

void Link::catchUp()
{
    if (isSuspect() && !isReceivingHeld_)
        receive();
}

void Link::retire()
{
    if (state_ != State::Up)
        return;
    state_ = State::Retiring;
    deadline_.startOnce(RetireLimit);
    flush();
}

void Link::end(LinkEnd end, std::string_view detail)
{
    if (state_ == State::Ended)
        return;
    state_ = State::Ended;
    watcher_.stop();
    deadline_.stop();
    proofTimer_.stop();
    options_.fd.reset();
    options_.owner.linkEnded(*this, end, detail);
}

void Link::holdReceiving(bool isHeld)
{
    isReceivingHeld_ = isHeld;
    if (!isHeld)
        process();
    watch();
}

void Link::receive()
{
    const std::span<char> scratch = options_.scratch;
    for (size_t total = 0; total < ReceivedAtOnce && !isReceivingHeld_;) {
        const ssize_t count = ::recv(options_.fd.get(), scratch.data(), scratch.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
            return;
        if (count <= 0)
            return end(LinkEnd::PeerClosed, count < 0 ? std::strerror(errno) : "");
        heardAt_ = monotonicNow();
        received_.append(scratch.data(), static_cast<size_t>(count));
        total += static_cast<size_t>(count);
        process();
        if (state_ == State::Ended || static_cast<size_t>(count) < scratch.size())
            return;
    }
}

void Link::process()
{
    bool goesOn = true;
    while (goesOn && state_ != State::Ended && !isReceivingHeld_ && !isProofHeld_) {
        if (state_ == State::AwaitingHello)
            goesOn = takeHello();
        else if (state_ == State::AwaitingProof)
            goesOn = takeProof();
        else
            goesOn = takeRecord();
    }
}

void Link::consume(size_t bytes)
{
    consumed_ += bytes;
    if (consumed_ == received_.size()) {
        clear(received_);
        consumed_ = 0;
    } else if (consumed_ > received_.size() / 2) {
        received_.erase(0, consumed_);
        consumed_ = 0;
    }
}

bool Link::takeHello()
{
    if (unread().size() < LinkHelloLengthBytes)
        return false;
    const uint64_t length = decodeLinkInteger(unread().substr(0, LinkHelloLengthBytes));
    if (length > LargestLinkHello) {
        end(LinkEnd::Refused, "hello-too-large");
        return false;
    }
    if (unread().size() < LinkHelloLengthBytes + length)
        return false;
    peerHelloBytes_ = std::string(unread().substr(LinkHelloLengthBytes, length));
    consume(LinkHelloLengthBytes + length);
    const auto hello = decodeLinkHello(peerHelloBytes_);
    if (!hello || hello->deployment != options_.identity.deployment) {
        end(LinkEnd::Refused, hello ? "other-deployment" : "bad-hello");
        return false;
    }
    peer_ = *hello;
    state_ = State::AwaitingProof;
    if (options_.isBesideSuspect) {
        isProofHeld_ = true;
        proofTimer_.startOnce(KeepAliveTick);
        return false;
    }
    sendProof();
    return state_ != State::Ended;
}

void Link::sendProof()
{
    unsent_.append(makeLinkProof(options_.identity.secret, options_.role, hellos()));
    flush();
}

void Link::sendHeldProof()
{
    isProofHeld_ = false;
    if (!options_.owner.isLinkStillOfUse(*this))
        return end(LinkEnd::NotWanted, "heard-again");
    if (state_ == State::Ended)
        return;
    sendProof();
    process();
}

bool Link::takeProof()
{
    if (unread().size() < LinkProofBytes)
        return false;
    const std::string proof(unread().substr(0, LinkProofBytes));
    consume(LinkProofBytes);
    const LinkRole peerRole = otherRole(options_.role);
    if (!isLinkProof(options_.identity.secret, peerRole, hellos(), proof)) {
        end(LinkEnd::Refused, "wrong-key");
        return false;
    }
    sealer_.emplace(deriveSessionKey(options_.identity.secret, options_.role, hellos()));
    opener_.emplace(deriveSessionKey(options_.identity.secret, peerRole, hellos()));
    state_ = State::Up;
    upSince_ = monotonicNow();
    deadline_.stop();
    options_.owner.linkProven(*this);
    return state_ != State::Ended;
}

bool Link::takeRecord()
{
    const RecordSeal::Opened record = opener_->open(unread());
    if (record.result == RecordSeal::OpenResult::Incomplete)
        return false;
    if (record.result != RecordSeal::OpenResult::Opened) {
        end(LinkEnd::BadRecord, record.result == RecordSeal::OpenResult::BadTag ? "bad-tag" : "too-large");
        return false;
    }
    const bool isKeepAlive = record.frame.empty();
    reader_.append(record.frame);
    consume(record.size);
    if (isKeepAlive)
        return true;
    auto message = reader_.next();
    if (!message || !message.value().has_value()) {
        end(LinkEnd::BadRecord, message ? "cut-frame" : "bad-frame");
        return false;
    }
    options_.owner.linkReceived(*this, std::move(*message.value()));
    return true;
}

} // namespace saltvane::net
