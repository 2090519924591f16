/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/message.h"
#include "registry/internal/accountlimits.h"
#include "registry/internal/targetlimits.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace saltvane::registry {

/// This host's share of the limits of client accounts and targets. Gateways ask for a credit for each request; a host
/// that has none left asks the others. A credit is taken off before it is sent, so that what is lost, delayed or cut
/// off on the way makes less of a limit and never more. docs/design/0016-client-accounts.md, 0018-target-limits.md
class CreditPool {
public:
    struct Peer {
        HostId host;
        bool isNear = false; ///< In this host's region.
    };
    CreditPool(HostId self, Timestamp startedAt);

    /// A host that left the group may not have heard of it: for so long after its last proof that it is in the group it
    /// gives credits, and its share is given to nobody else meanwhile.
    static constexpr Duration LeaseTime = 60s;

    /// The hosts of the group that holds the shares, this one among them or not, by a proof of this age.
    void setHolders(std::vector<HostId> holders, Duration proofAge, Timestamp now);
    /// Other registry hosts that are heard.
    void setPeers(std::vector<Peer> peers) { peers_ = std::move(peers); }
    [[nodiscard]] AccountLimits& limits() { return limits_; }
    [[nodiscard]] TargetLimits& targetLimits() { return targetLimits_; }

    void handle(const HostId& from, const model::LimitCreditRequest& request, Timestamp now);
    void handle(const HostId& from, const model::LimitCreditReply& reply, Timestamp now);
    /// Ends asks that waited long enough.
    void tick(Timestamp now);
    [[nodiscard]] std::vector<model::Outgoing> takeOutgoing();

private:
    enum class Reach { Nobody, Region, All };
    struct Waiting {
        HostId from;
        model::LimitCreditAsk ask;
        Timestamp since;
    };
    /// What this host holds of one limit.
    struct Holding {
        model::RateLimit share;
        uint64_t shareAsOf = 0; ///< Of holders and limits.
        std::vector<HostId> holders; ///< Of this id.
        bool isHolder = false; ///< Whether this host is among them.
        double usualShare = 0; ///< Credits a second of each of them.
        double credits = 0;
        Timestamp filledAt;
        double demand = 0; ///< Credits asked for by gateways, a second, lately.
        Timestamp demandAt;
        std::deque<Waiting> waiting;
        size_t transfersAsked = 0; ///< Not answered yet.
        Reach askedUpTo = Reach::Nobody; ///< Of the other holders, for those that wait.
        Timestamp dryUntil; ///< No other host had any.
        Timestamp promisedUntil; ///< Callers that were refused have been told to return at times up to it.
    };
    struct Transfer {
        model::LimitId id;
        Timestamp askedAt;
    };

    [[nodiscard]] std::optional<model::RateLimit> limitOf(const model::LimitId& id) const;
    [[nodiscard]] Holding* holdingOf(const model::LimitId& id, Timestamp now);
    void updateShare(Holding& holding, const model::LimitId& id, const model::RateLimit& limit) const;
    void fill(Holding& holding, Timestamp now) const;
    void noteDemand(Holding& holding, uint32_t credits, Timestamp now) const;
    [[nodiscard]] bool isLeased(Timestamp now) const;
    [[nodiscard]] bool isPeer(const HostId& host) const;
    void answerPeer(const HostId& from, const model::LimitCreditAsk& ask, Timestamp now);
    void answerGateway(const HostId& from, const model::LimitCreditAsk& ask, Timestamp now);
    void serveWaiting(const model::LimitId& id, Holding& holding);
    /// Asks the other holders, those of its region first; false: there is none left to ask.
    [[nodiscard]] bool askPeers(const model::LimitId& id, Holding& holding, Timestamp now);
    void refuseWaiting(const model::LimitId& id, Holding& holding, Timestamp now);
    void refuse(Holding& holding, const HostId& to, const model::LimitCreditAsk& ask, Timestamp now);
    void answer(const HostId& to, const model::LimitCreditAnswer& answer);
    void noteTransferEnded(const model::LimitId& id, Holding& holding, Timestamp now);
    /// Nobody waits any more.
    void noteQuenched(const model::LimitId& id, Holding& holding);
    void dropWaiting(const model::LimitId& id);
    void forgetIdle(Timestamp now);

    HostId self_;
    Timestamp startedAt_;
    std::map<HostId, Timestamp> holders_; ///< When they were last in the group.
    std::optional<Timestamp> provenAt_; ///< That holders_ is as the group is.
    uint64_t holdersVersion_ = 0;
    std::vector<Peer> peers_;
    AccountLimits limits_;
    TargetLimits targetLimits_;
    std::unordered_map<model::LimitId, Holding> holdings_;
    std::set<model::LimitId> waitingLimits_; ///< With asks that wait.
    std::map<uint64_t, Transfer> transfers_; ///< By number, which is by age.
    uint64_t lastTransfer_ = 0;
    size_t nextBucket_ = 0;
    std::unordered_map<HostId, model::LimitCreditRequest> requests_;
    std::unordered_map<HostId, model::LimitCreditReply> replies_;
};

} // namespace saltvane::registry
