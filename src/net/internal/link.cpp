/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/link.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace saltvane::net {

namespace {

constexpr Duration HandshakeTimeout = 2s; ///< Starts when the TCP connection is established.
constexpr Duration RetireTimeout = 1s;
constexpr unsigned int UnacknowledgedTimeoutMs = 5000;
/// Empty buffers release memory beyond this size: a control host has hundreds of links, most of them idle.
constexpr size_t RetainedCapacityBytes = 2 * 1024;
constexpr size_t MaxBytesPerReceive = 1024 * 1024; ///< Then other connections are served first.

void clear(std::string& buffer)
{
    buffer.clear();
    if (buffer.capacity() > RetainedCapacityBytes)
        buffer.shrink_to_fit();
}

} // namespace

std::string_view toString(LinkCloseReason reason)
{
    switch (reason) {
    case LinkCloseReason::PeerClosed:
        return "peer-closed";
    case LinkCloseReason::ConnectFailed:
        return "connect-failed";
    case LinkCloseReason::ConnectTimedOut:
        return "connect-timed-out";
    case LinkCloseReason::TimedOut:
        return "timed-out";
    case LinkCloseReason::Silent:
        return "silent";
    case LinkCloseReason::WriteFailed:
        return "write-failed";
    case LinkCloseReason::TooSlow:
        return "too-slow";
    case LinkCloseReason::Refused:
        return "refused";
    case LinkCloseReason::BadRecord:
        return "bad-record";
    case LinkCloseReason::Replaced:
        return "replaced";
    case LinkCloseReason::NotWanted:
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
    , lastReceivedAt_(monotonicNow())
    , watcher_(options_.loop, [this](int events) { onReady(events); })
    , deadline_(options_.loop,
          [this] { close(state_ == State::Connecting ? LinkCloseReason::ConnectTimedOut : LinkCloseReason::TimedOut); })
    , proofTimer_(options_.loop, [this] { sendDelayedProof(); })
{
    setSocketOptions();
    unsent_.append(encodeLinkInteger(ownHello_.size(), LinkHelloLengthBytes) + ownHello_);
    deadline_.startOnce(state_ == State::Connecting ? options_.connectTimeout : HandshakeTimeout);
    watch();
}

void Link::setSocketOptions() const
{
    const int on = 1;
    ::setsockopt(options_.fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::setsockopt(options_.fd.get(), SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(
        options_.fd.get(), IPPROTO_TCP, TCP_USER_TIMEOUT, &UnacknowledgedTimeoutMs, sizeof(UnacknowledgedTimeoutMs));
}

LinkHellos Link::hellos() const
{
    if (options_.role == LinkRole::Initiator)
        return {.initiator = ownHello_, .responder = peerHelloBytes_};
    return {.initiator = peerHelloBytes_, .responder = ownHello_};
}

void Link::watch()
{
    if (state_ == State::Closed)
        return;
    const bool wantsWrite = state_ == State::Connecting || !unsent_.isEmpty();
    const bool wantsRead = state_ != State::Connecting && !isReceivingPaused_;
    watcher_.watch(options_.fd.get(), (wantsRead ? EV_READ : 0) | (wantsWrite ? EV_WRITE : 0));
}

void Link::onReady(int events)
{
    if (state_ == State::Connecting)
        return finishConnecting();
    if ((events & EV_WRITE) != 0)
        flush();
    if ((events & EV_READ) != 0 && state_ != State::Closed)
        receive();
}

void Link::finishConnecting()
{
    int error = 0;
    socklen_t length = sizeof(error);
    ::getsockopt(options_.fd.get(), SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0)
        return close(LinkCloseReason::ConnectFailed, std::strerror(error));
    state_ = State::AwaitingHello;
    deadline_.startOnce(HandshakeTimeout);
    flush();
}

void Link::flush()
{
    isDirty = false;
    if (state_ == State::Closed || state_ == State::Connecting)
        return;
    while (!unsent_.isEmpty()) {
        const std::string_view next = unsent_.front();
        const ssize_t count = ::send(options_.fd.get(), next.data(), next.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            break;
        if (count < 0)
            return close(LinkCloseReason::WriteFailed, std::strerror(errno));
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
    lastSentAt_ = monotonicNow();
    const std::string frame = wire::encodeFrame(message);
    queueRecord(frame);
    if (queuedBytes() > options_.maxSendQueueBytes)
        close(LinkCloseReason::TooSlow);
    return frame.size();
}

void Link::keepAlive()
{
    if (state_ != State::Up)
        return; // The other states have their own timeouts.
    receivePending();
    const Timestamp now = monotonicNow();
    if (state_ == State::Closed)
        return;
    if (isReceivingPaused_)
        lastReceivedAt_ = now;
    if (now - lastReceivedAt_ >= ReceiveTimeout)
        return close(LinkCloseReason::Silent);
    if (now - lastSentAt_ < KeepAliveTick)
        return;
    lastSentAt_ = now;
    queueRecord({});
    flush();
}

void Link::queueRecord(std::string_view frame)
{
    std::string record;
    sealer_->seal(frame, record);
    unsent_.append(record);
}

void Link::receivePending()
{
    if (isSuspect() && !isReceivingPaused_)
        receive();
}

void Link::retire()
{
    if (state_ != State::Up)
        return;
    state_ = State::Retiring;
    deadline_.startOnce(RetireTimeout);
    flush();
}

/// A peer that closes its socket with unread data resets the connection instead.
bool Link::isAllAcknowledged() const
{
    // The end of the own sending side counts as one byte; the peer may have ended its side at the same time.
    const int allowedBytes = isWriteClosed_ ? 1 : 0;
    int unacknowledgedBytes = 0;
    return unsent_.isEmpty() && ::ioctl(options_.fd.get(), SIOCOUTQ, &unacknowledgedBytes) == 0
        && unacknowledgedBytes <= allowedBytes;
}

void Link::close(LinkCloseReason reason, std::string_view detail)
{
    if (state_ == State::Closed)
        return;
    state_ = State::Closed;
    watcher_.stop();
    deadline_.stop();
    proofTimer_.stop();
    options_.fd.reset();
    options_.owner.onLinkClosed(*this, reason, detail);
}

void Link::setReceivingPaused(bool isPaused)
{
    isReceivingPaused_ = isPaused;
    if (!isPaused)
        process();
    watch();
}

void Link::receive()
{
    const std::span<char> scratch = options_.scratch;
    for (size_t total = 0; total < MaxBytesPerReceive && !isReceivingPaused_;) {
        const ssize_t count = ::recv(options_.fd.get(), scratch.data(), scratch.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
            return;
        if (count <= 0) {
            isEndedComplete_ = count == 0 && isAllAcknowledged();
            return close(LinkCloseReason::PeerClosed, count < 0 ? std::strerror(errno) : "");
        }
        lastReceivedAt_ = monotonicNow();
        received_.append(scratch.data(), static_cast<size_t>(count));
        total += static_cast<size_t>(count);
        process();
        if (state_ == State::Closed || static_cast<size_t>(count) < scratch.size())
            return;
    }
}

void Link::process()
{
    bool hasProgress = true;
    while (hasProgress && state_ != State::Closed && !isReceivingPaused_ && !isProofDelayed_) {
        if (state_ == State::AwaitingHello)
            hasProgress = handleHello();
        else if (state_ == State::AwaitingProof)
            hasProgress = handleProof();
        else
            hasProgress = handleRecord();
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

bool Link::handleHello()
{
    if (unread().size() < LinkHelloLengthBytes)
        return false;
    const uint64_t length = decodeLinkInteger(unread().substr(0, LinkHelloLengthBytes));
    if (length > MaxLinkHelloBytes) {
        close(LinkCloseReason::Refused, "hello-too-large");
        return false;
    }
    if (unread().size() < LinkHelloLengthBytes + length)
        return false;
    peerHelloBytes_ = std::string(unread().substr(LinkHelloLengthBytes, length));
    consume(LinkHelloLengthBytes + length);
    const auto hello = decodeLinkHello(peerHelloBytes_);
    if (!hello || hello->deployment != options_.identity.deployment) {
        close(LinkCloseReason::Refused, hello ? "other-deployment" : "bad-hello");
        return false;
    }
    peer_ = *hello;
    state_ = State::AwaitingProof;
    if (options_.replacesSuspect) {
        isProofDelayed_ = true;
        proofTimer_.startOnce(KeepAliveTick);
        return false;
    }
    sendProof();
    return state_ != State::Closed;
}

void Link::sendProof()
{
    unsent_.append(makeLinkProof(options_.identity.secret, options_.role, hellos()));
    flush();
}

void Link::sendDelayedProof()
{
    isProofDelayed_ = false;
    if (!options_.owner.isReplacementNeeded(*this))
        return close(LinkCloseReason::NotWanted, "heard-again");
    if (state_ == State::Closed)
        return;
    sendProof();
    process();
}

bool Link::handleProof()
{
    if (unread().size() < LinkProofBytes)
        return false;
    const std::string proof(unread().substr(0, LinkProofBytes));
    consume(LinkProofBytes);
    const LinkRole peerRole = otherRole(options_.role);
    if (!isLinkProof(options_.identity.secret, peerRole, hellos(), proof)) {
        close(LinkCloseReason::Refused, "wrong-key");
        return false;
    }
    sealer_.emplace(deriveSessionKey(options_.identity.secret, options_.role, hellos()));
    opener_.emplace(deriveSessionKey(options_.identity.secret, peerRole, hellos()));
    state_ = State::Up;
    upSince_ = monotonicNow();
    deadline_.stop();
    options_.owner.onLinkAuthenticated(*this);
    return state_ != State::Closed;
}

bool Link::handleRecord()
{
    const RecordSeal::Opened record = opener_->open(unread());
    if (record.result == RecordSeal::OpenResult::Incomplete)
        return false;
    if (record.result != RecordSeal::OpenResult::Opened) {
        close(LinkCloseReason::BadRecord, record.result == RecordSeal::OpenResult::BadTag ? "bad-tag" : "too-large");
        return false;
    }
    const bool isKeepAlive = record.frame.empty();
    reader_.append(record.frame);
    consume(record.size);
    if (isKeepAlive)
        return true;
    auto message = reader_.next();
    if (!message || !message.value().has_value()) {
        close(LinkCloseReason::BadRecord, message ? "cut-frame" : "bad-frame");
        return false;
    }
    options_.owner.onLinkMessage(*this, std::move(*message.value()));
    return true;
}

} // namespace saltvane::net
