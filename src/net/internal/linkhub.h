/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/inetadapters.h"
#include "net/internal/iowatcher.h"
#include "net/internal/link.h"
#include "net/internal/looptask.h"
#include "net/internal/wantedlink.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace saltvane::net {

/// Of a link that this host dials; see Link::Options.
struct DialOptions {
    Duration connectLimit {};
    bool isBesideSuspect = false;
};

/// All links of a host. Keeps one link in use with each other host. docs/design/0008-links.md
class LinkHub final : public ILinkHub, private ILinkOwner {
public:
    explicit LinkHub(LinkHubOptions options);
    ~LinkHub() override;
    LinkHub(const LinkHub&) = delete;
    LinkHub& operator=(const LinkHub&) = delete;

    [[nodiscard]] Result<Done, IoError> start();

    void carryOut(const host::LinksWanted& action) override;
    void send(const model::Outgoing& outgoing) override;
    [[nodiscard]] LinkBacklog backlog() const override;
    [[nodiscard]] model::Address boundAddress() const override { return boundAddress_; }

private:
    void keepLinksAlive();

    /// Another host that has proven itself.
    struct Peer {
        Incarnation incarnation; ///< Of the link that stands, or stood last.
        Link* current = nullptr; ///< In use for sending.
        Link* retiring = nullptr; ///< Its last messages come before those of `current`.
        bool isUp = false; ///< The core was told LinkUp.
    };

    void linkProven(Link& link) override;
    void linkReceived(Link& link, model::Message message) override;
    [[nodiscard]] bool isLinkStillOfUse(Link& link) override;
    void linkEnded(Link& link, LinkEnd end, std::string_view detail) override;

    void accept();
    void dial(WantedLink& wanted);
    void dialAgain(WantedLink& wanted);
    [[nodiscard]] Link& addLink(
        LinkRole role, UniqueFd fd, const model::Address& remote, const DialOptions& dialling = {});
    [[nodiscard]] bool isUp(const HostId& host) const;
    /// The link in use, where nothing is heard on it; null for any other.
    [[nodiscard]] Link* suspectLinkTo(const HostId& host) const;
    void dialBesideSuspects();
    [[nodiscard]] bool isWanted(const HostId& host) const;
    /// Of a link from this host to itself; null for any other.
    [[nodiscard]] Link* otherEndOf(const Link& link);
    void endOwnLink(Link& link, Link& otherEnd);
    [[nodiscard]] bool isPreferred(const Link& link) const;
    [[nodiscard]] bool hasGreetedLink(const HostId& host) const;
    [[nodiscard]] WantedLink* wantedOf(const Link& link) const;

    /// False: it is this host itself, or not the host that was wanted.
    [[nodiscard]] bool isExpected(Link& link);
    void adopt(Link& link, Peer& peer);
    void replaceCurrent(Link& link, Peer& peer);
    void refuse(Link& link, std::string_view reason);
    void peerLinkEnded(const Link& link, Peer& peer);
    void settleOrphans();
    void tellDown(const HostId& host, Peer& peer);
    void emit(host::Event event);
    void deliver();
    void flush();
    void logEnd(const Link& link, LinkEnd end, std::string_view detail);
    /// After a message was queued on this link.
    void watchBacklog(const Link& grown);
    void logBacklog();
    /// Ends the link for which most waits, while too much waits over all links.
    void holdBacklog();

    LinkHubOptions options_;
    LinkIdentity identity_;
    std::vector<char> scratch_ = std::vector<char>(Link::ScratchBytes);
    UniqueFd listening_;
    model::Address boundAddress_;
    Links links_;
    Links endedLinks_; ///< Destroyed later, outside of their own calls.
    std::map<HostId, Peer> peers_;
    std::vector<std::unique_ptr<WantedLink>> wanted_;
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
