/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/monotonicclock.h"
#include "model/message.h"
#include "net/internal/iowatcher.h"
#include "net/internal/linkhello.h"
#include "net/internal/linkkeys.h"
#include "net/internal/recordseal.h"
#include "net/internal/sendqueue.h"
#include "net/internal/timerwatcher.h"
#include "net/internal/uniquefd.h"
#include "wire/framecodec.h"

#include <boost/intrusive/list.hpp>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace saltvane::net {

class Link;

/// The data that all links of a host share.
struct LinkIdentity {
    std::string deployment;
    HostId host;
    Incarnation incarnation;
    LinkSecret secret {};
};

/// Why a link was closed.
enum class LinkCloseReason {
    PeerClosed,
    ConnectFailed,
    ConnectTimedOut, ///< The peer's machine did not respond.
    TimedOut,
    Silent, ///< Nothing was received for Link::ReceiveTimeout, even if the peer's kernel still acknowledges data.
    WriteFailed,
    TooSlow, ///< The send queue exceeded its limit.
    Refused, ///< The handshake failed; counted in LinkAuthFailures.
    BadRecord, ///< A record could not be authenticated or decoded; counted in BadFrames.
    Replaced,
    NotWanted
};
[[nodiscard]] std::string_view toString(LinkCloseReason reason);

/// Receives the events of a link. Each call may close the link, but must not destroy it.
class ILinkOwner {
public:
    virtual ~ILinkOwner() = default;
    /// The peer has authenticated itself.
    virtual void onLinkAuthenticated(Link& link) = 0;
    virtual void onLinkMessage(Link& link, model::Message message) = 0;
    /// Asked before a replacement of a suspect link authenticates. False: data arrives on the suspect link again.
    [[nodiscard]] virtual bool isReplacementNeeded(Link& link) = 0;
    /// Called exactly once.
    virtual void onLinkClosed(Link& link, LinkCloseReason reason, std::string_view detail) = 0;
};

/// One TCP connection to another host: connecting, handshake, then authenticated records.
class Link : public boost::intrusive::list_base_hook<> {
public:
    static constexpr size_t ScratchBytes = 64 * 1024;
    /// Interval of keepAlive().
    static constexpr Duration KeepAliveTick = 250ms;
    /// Each side of a link sends at least this often: two ticks, because a message sent between two ticks replaces the
    /// keep-alive record of the next tick.
    static constexpr Duration KeepAliveInterval = 2 * KeepAliveTick;
    /// If nothing is received for this long, a replacement link is dialled while this one stays open. Covers two missed
    /// keep-alive records and a retransmission. A connection can stop passing data for good while new ones work, and
    /// hosts must have what is in force within 3 s of a fault. With connections on one machine that pass no more data,
    /// the replacement is up after 1.25 to 1.5 s.
    static constexpr Duration SuspectTimeout = 1s;
    /// If nothing is received for this long and no replacement link is up, the link is closed. One second more than the
    /// kernel's timeout for unacknowledged bytes (TCP_USER_TIMEOUT), so that the kernel closes first if it can. A host
    /// that stalls for this long loses its links in either case.
    static constexpr Duration ReceiveTimeout = 6s;

    enum class State { Connecting, AwaitingHello, AwaitingProof, Up, Retiring, Closed };

    struct Options {
        struct ev_loop* loop = nullptr;
        const LinkIdentity& identity;
        ILinkOwner& owner;
        LinkRole role = LinkRole::Initiator;
        UniqueFd fd; ///< A connecting or connected socket.
        std::string remote; ///< For logs.
        Duration connectTimeout {}; ///< For an initiator, until the TCP connection is established.
        /// For an initiator: delays its proof by a KeepAliveTick, so that data can still arrive on the suspect link
        /// before the peer replaces that link by this one. Without the delay, hosts that resumed after a stall of 3 s
        /// lost nine of ten links.
        bool replacesSuspect = false;
        size_t maxSendQueueBytes = 0;
        std::span<char> scratch; ///< Read buffer, shared by all links.
    };
    explicit Link(Options options);
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    [[nodiscard]] State state() const { return state_; }
    [[nodiscard]] LinkRole role() const { return options_.role; }
    [[nodiscard]] const std::string& remote() const { return options_.remote; }
    /// Empty until the hello is received; not authenticated until the link is Up.
    [[nodiscard]] const HostId& peerHost() const { return peer_.host; }
    [[nodiscard]] Incarnation peerIncarnation() const { return peer_.incarnation; }
    [[nodiscard]] const LinkNonce& ownNonce() const { return nonce_; }
    [[nodiscard]] const LinkNonce& peerNonce() const { return peer_.nonce; }
    [[nodiscard]] Timestamp upSince() const { return upSince_; }
    /// When the last bytes were received, or the connection was opened.
    [[nodiscard]] Timestamp lastReceivedAt() const { return lastReceivedAt_; }
    /// True if the link is Up and nothing was received for SuspectTimeout.
    [[nodiscard]] bool isSuspect() const
    {
        return state_ == State::Up && monotonicNow() - lastReceivedAt_ >= SuspectTimeout;
    }
    /// Reads data that arrived while this process was stalled, so that it counts as received.
    void receivePending();

    /// Queues a message, which flush() sends. Closes the link if its queue exceeds the limit. Returns the frame's size
    /// in bytes.
    size_t send(const model::Message& message);
    [[nodiscard]] size_t queuedBytes() const { return unsent_.bytes(); }
    /// Of a closed link: the peer ended it in an orderly way after its kernel had acknowledged everything that was
    /// sent.
    [[nodiscard]] bool isEndedComplete() const { return isEndedComplete_; }
    /// Bytes allocated by its buffers.
    [[nodiscard]] size_t memory() const { return unsent_.memory() + received_.capacity(); }
    /// To be called each KeepAliveTick: sends a keep-alive record if nothing was sent since the last tick; closes the
    /// link after ReceiveTimeout.
    void keepAlive();
    /// Writes queued bytes until the socket's buffer is full.
    void flush();
    /// Sends the queued bytes, then closes the sending side; still receives until the peer closes, for 1 s at most.
    void retire();
    void close(LinkCloseReason reason, std::string_view detail = {});
    /// Pauses receiving, so that the messages of an older link are delivered first.
    void setReceivingPaused(bool isPaused);

    bool isDirty = false; ///< Queued for the owner's flush.

private:
    void onReady(int events);
    void finishConnecting();
    void receive();
    void process();
    [[nodiscard]] bool handleHello();
    void queueRecord(std::string_view frame);
    void sendProof();
    void sendDelayedProof();
    [[nodiscard]] bool handleProof();
    [[nodiscard]] bool handleRecord();
    void consume(size_t bytes);
    [[nodiscard]] std::string_view unread() const { return std::string_view(received_).substr(consumed_); }
    [[nodiscard]] LinkHellos hellos() const;
    void watch();
    [[nodiscard]] bool isAllAcknowledged() const;
    void setSocketOptions() const;

    Options options_;
    State state_;
    LinkNonce nonce_;
    std::string ownHello_;
    std::string peerHelloBytes_;
    LinkHello peer_;
    std::optional<RecordSeal> sealer_;
    std::optional<RecordSeal> opener_;
    wire::FrameReader reader_;
    std::string received_;
    size_t consumed_ = 0;
    SendQueue unsent_;
    Timestamp upSince_;
    Timestamp lastReceivedAt_;
    Timestamp lastSentAt_;
    bool isReceivingPaused_ = false;
    bool isProofDelayed_ = false; ///< The hello was received; further input waits for proofTimer_.
    bool isWriteClosed_ = false;
    bool isEndedComplete_ = false;
    IoWatcher watcher_;
    TimerWatcher deadline_;
    TimerWatcher proofTimer_;
};

using Links = boost::intrusive::list<Link>;

} // namespace saltvane::net
