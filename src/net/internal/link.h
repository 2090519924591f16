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

/// What all links of a host share.
struct LinkIdentity {
    std::string deployment;
    HostId host;
    Incarnation incarnation;
    LinkSecret secret {};
};

/// Why a link ended.
enum class LinkEnd {
    PeerClosed,
    ConnectFailed,
    ConnectTimedOut, ///< The peer's host answers nothing.
    TimedOut,
    Silent, ///< Nothing was heard for Link::LongestSilence, though the peer's kernel may go on acknowledging.
    WriteFailed,
    TooSlow, ///< Its send queue was full.
    Refused, ///< Its handshake failed: counts as LinkAuthFailures.
    BadRecord, ///< A record that doesn't open or decode: counts as BadFrames.
    Replaced,
    NotWanted
};
[[nodiscard]] std::string_view toString(LinkEnd end);

/// Who a link reports to. The link may be closed from within each call, but not destroyed.
class ILinkOwner {
public:
    virtual ~ILinkOwner() = default;
    /// The peer proved who it is.
    virtual void linkProven(Link& link) = 0;
    virtual void linkReceived(Link& link, model::Message message) = 0;
    /// Of a link that was dialled beside a suspect one. False: the other one is heard again.
    [[nodiscard]] virtual bool isLinkStillOfUse(Link& link) = 0;
    /// Called once.
    virtual void linkEnded(Link& link, LinkEnd end, std::string_view detail) = 0;
};

/// One TCP connection to another host: connecting, handshake, then protected records.
class Link : public boost::intrusive::list_base_hook<> {
public:
    static constexpr size_t ScratchBytes = 64 * 1024;
    /// How often a link is looked after.
    static constexpr Duration KeepAliveTick = 250ms;
    /// Each side of a link says something at least this often: what it says between two ticks counts for the next one.
    static constexpr Duration KeepAlivePeriod = 2 * KeepAliveTick;
    /// A link on which nothing was heard for so long is dialled anew beside the one that stands: two words missed, and
    /// a lost packet sent again. Connections may fall silent for good while new ones work, and hosts held to what is in
    /// force 3 s after a fault must have found it by then. Measured with connections that pass nothing any more, on one
    /// machine: a new link stands after 1.25 to 1.5 s.
    static constexpr Duration SuspectAfter = 1s;
    /// How long silence is borne where no new link stands either: a second more than the kernel's own limit for
    /// unacknowledged bytes, so that it goes first where it can. A host that stands still for so long has lost its
    /// links either way.
    static constexpr Duration LongestSilence = 6s;

    enum class State { Connecting, AwaitingHello, AwaitingProof, Up, Retiring, Ended };

    struct Options {
        struct ev_loop* loop = nullptr;
        const LinkIdentity& identity;
        ILinkOwner& owner;
        LinkRole role = LinkRole::Initiator;
        UniqueFd fd; ///< Connecting or connected.
        std::string remote; ///< For logs.
        Duration connectLimit {}; ///< Of an initiator, until the peer's kernel has answered.
        /// Of an initiator: the peer is given a KeepAliveTick to be heard on the link that stands, before it learns
        /// that this one takes its place. Without it, hosts that stood still for 3 s lost nine in ten links as they
        /// went on.
        bool isBesideSuspect = false;
        size_t largestSendQueue = 0;
        std::span<char> scratch; ///< Shared by all links: what one read takes.
    };
    explicit Link(Options options);
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    [[nodiscard]] State state() const { return state_; }
    [[nodiscard]] LinkRole role() const { return options_.role; }
    [[nodiscard]] const std::string& remote() const { return options_.remote; }
    /// Empty before the hello came; unproven before Up.
    [[nodiscard]] const HostId& peerHost() const { return peer_.host; }
    [[nodiscard]] Incarnation peerIncarnation() const { return peer_.incarnation; }
    [[nodiscard]] const LinkNonce& ownNonce() const { return nonce_; }
    [[nodiscard]] const LinkNonce& peerNonce() const { return peer_.nonce; }
    [[nodiscard]] Timestamp upSince() const { return upSince_; }
    /// When the last bytes of the peer came, or the connection was opened.
    [[nodiscard]] Timestamp heardAt() const { return heardAt_; }
    /// Up, and nothing was heard for SuspectAfter.
    [[nodiscard]] bool isSuspect() const { return state_ == State::Up && monotonicNow() - heardAt_ >= SuspectAfter; }
    /// Reads what came while this host stood still: it was heard.
    void catchUp();

    /// Queues a message; flush() sends. Ends the link where its queue is full. Returns the bytes of its frame.
    size_t send(const model::Message& message);
    [[nodiscard]] size_t queuedBytes() const { return unsent_.bytes(); }
    /// Bytes that its buffers take.
    [[nodiscard]] size_t memory() const { return unsent_.memory() + received_.capacity(); }
    /// To be called each KeepAliveTick: says something where nothing was said, ends the link where nothing was heard.
    void keepAlive();
    /// Writes what is queued, as far as the socket takes it.
    void flush();
    /// Sends what is queued, then closes the sending side; receives until the peer closes, for a second at most.
    void retire();
    void end(LinkEnd end, std::string_view detail = {});
    /// Holds received bytes back, so that an older link's messages come first.
    void holdReceiving(bool isHeld);

    bool isDirty = false; ///< Queued for the owner's flush.

private:
    void onReady(int events);
    void finishConnecting();
    void receive();
    void process();
    [[nodiscard]] bool takeHello();
    void queueRecord(std::string_view frame);
    void sendProof();
    void sendHeldProof();
    [[nodiscard]] bool takeProof();
    [[nodiscard]] bool takeRecord();
    void consume(size_t bytes);
    [[nodiscard]] std::string_view unread() const { return std::string_view(received_).substr(consumed_); }
    [[nodiscard]] LinkHellos hellos() const;
    void watch();
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
    Timestamp heardAt_;
    Timestamp saidAt_;
    bool isReceivingHeld_ = false;
    bool isProofHeld_ = false; ///< The hello has come; until proofTimer_ nothing more is looked at.
    bool isWriteClosed_ = false;
    IoWatcher watcher_;
    TimerWatcher deadline_;
    TimerWatcher proofTimer_;
};

using Links = boost::intrusive::list<Link>;

} // namespace saltvane::net
