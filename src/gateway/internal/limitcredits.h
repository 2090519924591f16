/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/message.h"
#include "model/reasons.h"
#include "requests/exchangetypes.h"

#include <deque>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace saltvane::gateway {

/// Credits for requests that a limit over all gateways binds: each takes one to be sent to a target. Registry hosts
/// give them out, so that all gateways together stay within the limit, also those that hear nothing of each other.
/// docs/design/0016-client-accounts.md
class LimitCredits {
public:
    /// What became of a request that asked.
    struct Verdict {
        requests::HttpHandle handle;
        model::Reason reason = model::Reason::None; ///< None: it has its credit.
        Duration retryAfter {};
    };

    /// Registry hosts that are heard, nearest first.
    void setSources(std::vector<HostId> sources) { sources_ = std::move(sources); }
    /// Takes one that is at hand.
    [[nodiscard]] bool trySpend(const model::LimitId& limit, Timestamp now);
    /// The verdict follows, from one of so many registry hosts at the most.
    void ask(requests::HttpHandle handle, const model::LimitId& limit, size_t mostSources, Timestamp now);
    /// The request has ended before its verdict came.
    void forget(requests::HttpHandle handle);
    /// A credit of a request that has not run.
    void giveBack(const model::LimitId& limit, Timestamp now);

    void handle(const model::LimitCreditReply& reply, Timestamp now);
    /// Asks elsewhere what the host will not answer any more.
    void noteLinkDown(const HostId& host, Timestamp now);
    /// Asks elsewhere what was not answered in time.
    void tick(Timestamp now);

    [[nodiscard]] std::vector<Verdict> takeVerdicts() { return std::exchange(verdicts_, {}); }
    [[nodiscard]] std::vector<model::Outgoing> takeOutgoing();

private:
    struct Ask {
        requests::HttpHandle handle; ///< 0: nobody waits for it any more.
        model::LimitId limit;
        size_t mostSources = 0;
        HostId source;
        std::vector<HostId> asked; ///< All so far.
        Timestamp sentAt;
        Timestamp checkAt;
    };

    void send(Ask ask, Timestamp now);
    /// The next source, or the verdict that none can tell.
    void askNext(uint64_t number, Timestamp now);
    void abandon(uint64_t number, Timestamp now);
    void noteUnanswered(const Ask& ask);
    /// Whether this request shall find out if somebody answers again.
    [[nodiscard]] bool isProbe(Timestamp now);
    void expire(Timestamp now);

    std::vector<HostId> sources_;
    std::unordered_map<uint64_t, Ask> asks_;
    std::unordered_map<requests::HttpHandle, uint64_t> waiting_;
    std::set<std::pair<Timestamp, uint64_t>> checks_;
    std::unordered_map<model::LimitId, std::deque<Timestamp>> spare_; ///< By when they expire.
    std::deque<std::pair<Timestamp, model::LimitId>> spareByAge_;
    uint64_t lastNumber_ = 0;
    Timestamp answeredAt_ {}; ///< By any registry host.
    bool isSilent_ = false; ///< Nobody has answered since an ask that went unanswered.
    Timestamp nextProbeAt_ {};
    std::unordered_map<HostId, model::LimitCreditRequest> outgoing_;
    std::vector<Verdict> verdicts_;
};

} // namespace saltvane::gateway
