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
#include <span>
#include <unordered_map>
#include <vector>

namespace saltvane::registry {

/// This host's share of the rate limits of client accounts and targets. Gateways request a credit for each request; a
/// host that has none left requests credits from the other registry hosts. A credit is deducted before it is sent, so
/// that lost or delayed messages can lower the effective limit but never raise it.
/// docs/design/0016-client-accounts.md, 0018-target-limits.md
class CreditPool {
public:
    struct Peer {
        HostId host;
        bool isSameRegion = false;
    };
    CreditPool(HostId self, Timestamp startedAt);

    /// A host that was removed from the group may not know it yet: it grants credits for this long after its last proof
    /// of membership, and its share isn't reassigned before.
    static constexpr Duration LeaseDuration = 60s;

    /// The registry hosts among which limits are divided; may include this host. `proofAge`: of the proof that the
    /// group is current.
    void setHolders(std::vector<HostId> holders, Duration proofAge, Timestamp now);
    /// The other registry hosts that are live.
    void setPeers(std::vector<Peer> peers) { peers_ = std::move(peers); }
    [[nodiscard]] AccountLimits& limits() { return limits_; }
    [[nodiscard]] TargetLimits& targetLimits() { return targetLimits_; }
    /// Records limits that a gateway or another registry host knows, and tells it those that are newer here: a gateway
    /// that missed the end of a limit would request credits that no host has.
    void recordTargetLimits(const HostId& from, std::span<const model::BackpressureNotice> notices, Timestamp now);

    void handle(const HostId& from, const model::LimitCreditRequest& request, Timestamp now);
    void handle(const HostId& from, const model::LimitCreditReply& reply, Timestamp now);
    /// Refuses requests that have been pending for too long, and gives up transfers that are not answered.
    void tick(Timestamp now);
    [[nodiscard]] std::vector<model::OutgoingMessage> drainOutgoing();

private:
    enum class Reach { Nobody, Region, All };
    struct PendingRequest {
        HostId from;
        model::LimitCreditAsk ask;
        Timestamp receivedAt;
    };
    /// This host's share and credits of one limit.
    struct LimitState {
        model::RateLimit share;
        uint64_t shareVersion = 0; ///< Version of holders and limits that `share` is computed from.
        std::vector<HostId> holders; ///< Hosts with a share of this limit.
        bool isHolder = false; ///< Whether this host is one of them.
        double ratePerHolder = 0; ///< Credits per second.
        double credits = 0;
        Timestamp refilledAt;
        double demand = 0; ///< Credits per second requested by gateways, decaying exponentially.
        Timestamp demandUpdatedAt;
        std::deque<PendingRequest> pending;
        size_t pendingTransfers = 0;
        Reach requestedFrom = Reach::Nobody; ///< The holders asked so far for the pending requests.
        Timestamp exhaustedUntil; ///< No other host had credits: requests are refused until then.
        Timestamp lastRetryAt; ///< The latest retry time given to a refused caller.
    };
    struct Transfer {
        model::LimitId id;
        Timestamp requestedAt;
    };

    [[nodiscard]] std::optional<model::RateLimit> limitOf(const model::LimitId& id) const;
    [[nodiscard]] LimitState* findState(const model::LimitId& id, Timestamp now);
    void updateShare(LimitState& state, const model::LimitId& id, const model::RateLimit& limit) const;
    void refill(LimitState& state, Timestamp now) const;
    void recordDemand(LimitState& state, uint32_t credits, Timestamp now) const;
    [[nodiscard]] bool hasLease(Timestamp now) const;
    [[nodiscard]] bool isPeer(const HostId& host) const;
    void recordLimits(const HostId& from, const model::LimitCreditRequest& request, Timestamp now);
    /// Adds the limit as this host knows it.
    void addLimit(const model::LimitId& id, model::LimitCreditRequest& request, Timestamp now) const;
    void handlePeerRequest(const HostId& from, const model::LimitCreditAsk& ask, Timestamp now);
    void handleGatewayRequest(const HostId& from, const model::LimitCreditAsk& ask, Timestamp now);
    void servePending(const model::LimitId& id, LimitState& state);
    /// Requests credits from the other holders, those of this region first; false: all have been asked.
    [[nodiscard]] bool requestFromPeers(const model::LimitId& id, LimitState& state, Timestamp now);
    void refusePending(const model::LimitId& id, LimitState& state, Timestamp now);
    void refuse(LimitState& state, const HostId& to, const model::LimitCreditAsk& ask, Timestamp now);
    void answer(const HostId& to, const model::LimitCreditAnswer& answer);
    /// A transfer was answered, or timed out without credits.
    void completeTransfer(const model::LimitId& id, uint32_t credits, Timestamp now);
    /// No request is pending any more.
    void onPendingCleared(const model::LimitId& id, LimitState& state);
    void dropPending(const model::LimitId& id);
    void eraseFull(Timestamp now);

    HostId self_;
    Timestamp startedAt_;
    std::map<HostId, Timestamp> holders_; ///< With the time when each was last in the group.
    std::optional<Timestamp> provenAt_; ///< When holders_ was last proven current.
    uint64_t holdersVersion_ = 0;
    std::vector<Peer> peers_;
    AccountLimits limits_;
    TargetLimits targetLimits_;
    std::unordered_map<model::LimitId, LimitState> limitStates_;
    std::set<model::LimitId> pendingLimits_; ///< Limits with pending requests.
    std::map<uint64_t, Transfer> transfers_; ///< By number, which is also the order of requests.
    uint64_t lastTransfer_ = 0;
    size_t nextBucket_ = 0;
    std::unordered_map<HostId, model::LimitCreditRequest> requests_;
    std::unordered_map<HostId, model::LimitCreditReply> replies_;
    std::unordered_map<HostId, model::BackpressureReport> newerTargetLimits_;
};

} // namespace saltvane::registry
