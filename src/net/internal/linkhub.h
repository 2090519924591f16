/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/inetadapters.h"
#include "net/internal/desiredlink.h"
#include "net/internal/iowatcher.h"
#include "net/internal/link.h"
#include "net/internal/looptask.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace saltvane::net {

/// Options of a link that this host dials; see Link::Options.
struct DialOptions {
    Duration connectTimeout {};
    bool replacesSuspect = false;
};

/// All links of a host. Uses one link per peer at a time. docs/design/0008-links.md
class LinkHub final : public ILinkHub, private ILinkOwner {
public:
    explicit LinkHub(LinkHubOptions options);
    ~LinkHub() override;
    LinkHub(const LinkHub&) = delete;
    LinkHub& operator=(const LinkHub&) = delete;

    [[nodiscard]] Result<Success, IoError> start();

    void execute(const host::DesiredLinks& action) override;
    void send(const model::OutgoingMessage& outgoing) override;
    [[nodiscard]] LinkBacklog backlog() const override;
    [[nodiscard]] model::Address boundAddress() const override { return boundAddress_; }

private:
    void keepLinksAlive();

    /// Another host that has authenticated itself.
    struct Peer {
        Incarnation incarnation; ///< Of the current link, or of the last one.
        Link* current = nullptr; ///< The link that is used for sending.
        Link* retiring = nullptr; ///< Its last messages are delivered before those of `current`.
        bool isUp = false; ///< LinkUp was sent to the core.
        /// Messages to the peer may have been lost since then. The next link is reported as a new one.
        bool hasLostMessages = false;
    };

    void onLinkAuthenticated(Link& link) override;
    void onLinkMessage(Link& link, model::Message message) override;
    [[nodiscard]] bool isReplacementNeeded(Link& link) override;
    void onLinkClosed(Link& link, LinkCloseReason reason, std::string_view detail) override;

    void accept();
    void dial(DesiredLink& desired);
    void scheduleRetry(DesiredLink& desired);
    [[nodiscard]] Link& addLink(
        LinkRole role, UniqueFd fd, const model::Address& remote, const DialOptions& dialling = {});
    [[nodiscard]] bool isUp(const HostId& host) const;
    /// The current link to `host` if it is suspect, else null.
    [[nodiscard]] Link* suspectLinkTo(const HostId& host) const;
    void dialSuspectPeers();
    [[nodiscard]] bool isDesired(const HostId& host) const;
    /// The other end of a link from this host to itself; null for any other link.
    [[nodiscard]] Link* otherEndOf(const Link& link);
    void closeSelfLink(Link& link, Link& otherEnd);
    [[nodiscard]] bool isPreferred(const Link& link) const;
    [[nodiscard]] bool hasLinkAwaitingProof(const HostId& host) const;
    [[nodiscard]] DesiredLink* desiredLinkOf(const Link& link) const;

    /// False: the peer is this host itself, or not the host that was dialled.
    [[nodiscard]] bool isExpected(Link& link);
    void adopt(Link& link, Peer& peer);
    void replaceCurrent(Link& link, Peer& peer);
    void refuse(Link& link, std::string_view reason);
    void onPeerLinkClosed(const Link& link, Peer& peer);
    void reportLinkUp(const Link& link, Peer& peer);
    void reportOrphanedPeers();
    void reportLinkDown(const HostId& host, Peer& peer);
    void emit(host::Event event);
    void deliver();
    void flush();
    void logClose(const Link& link, LinkCloseReason reason, std::string_view detail);
    /// Called after a message was queued on `grown`.
    void onBacklogGrown(const Link& grown);
    void logBacklog();
    /// Closes the links with the longest queues until the backlog over all links is within its limit.
    void enforceBacklogLimit();

    LinkHubOptions options_;
    LinkIdentity identity_;
    std::vector<char> scratch_ = std::vector<char>(Link::ScratchBytes);
    UniqueFd listening_;
    model::Address boundAddress_;
    Links links_;
    Links closedLinks_; ///< Destroyed in flush(), never during their own calls.
    std::map<HostId, Peer> peers_;
    std::vector<std::unique_ptr<DesiredLink>> desiredLinks_;
    std::vector<Link*> dirty_;
    std::deque<host::Event> events_;
    std::minstd_rand jitter_;
    bool isStopping_ = false;
    Timestamp nextBacklogLogAt_ {};
    IoWatcher acceptWatcher_;
    TimerWatcher keepAliveTimer_;
    LoopTask deliverTask_;
    LoopTask flushTask_;
};

} // namespace saltvane::net
