/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/clientkeydigest.h"
#include "gateway/internal/placement.h"
#include "gateway/internal/receivedbody.h"
#include "gateway/internal/requesthasher.h"
#include "gateway/internal/requestjudgement.h"
#include "gateway/internal/routetable.h"
#include "requests/exchangetypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace saltvane::gateway {

/// State of one caller's request from its arrival to its final response.
struct Exchange {
    enum class Phase {
        ReceivingBody, ///< Nothing was sent to a target yet.
        AwaitingCredit, ///< Waits for a credit of the client account's limit.
        AwaitingTargetCredit, ///< Waits for a credit of the limit that the selected target stated.
        AwaitingHead, ///< Sent to a target.
        ReceivingResponse, ///< The response's head was received; the body is buffered.
        Streaming ///< The response is streamed to the caller.
    };

    requests::HttpHandle handle;
    RequestId id; ///< Request id of the caller's attempt.
    std::string method;
    std::string path;
    std::vector<model::Header> headers; ///< End-to-end headers, without the deadline.
    ReceivedBody body; ///< Shared with its dispatches; released when the response begins to be streamed.
    std::optional<RequestHasher> hasher; ///< Until the body is complete.
    model::RequestDigest digest; ///< Set once the body is complete; the same for all attempts of one request.
    std::optional<uint64_t> object; ///< Hash of the object that the request is about.
    model::Route route; ///< As of the arrival; a new plan does not change it.
    model::AccountRef account; ///< As of the arrival; null if the route requires no account.
    bool hasCredit = false; ///< Holds a credit of the account's limit that no run has used.
    /// The selected target for which the request waits for a credit.
    struct AwaitedTarget {
        model::TargetIncarnation targetIncarnation;
        Choice choice = Choice::Other;
        bool isLikelyWarm = false;
        Duration processingTime {};
        bool isForCorrection = false;
    };
    AwaitedTarget awaited;
    size_t targetCreditsRefused = 0; ///< Targets whose limit had no credit left for this request.
    ServiceName service;
    BundleVersion planVersion;
    LogIndex planIndex; ///< Log index of the plan by which it was judged, at its arrival.
    /// Plan of the gateway that forwarded it, or of the last peer that responded; none if that states none.
    std::optional<LogIndex> peerPlanIndex;
    Timestamp startedAt;
    Timestamp deadline; ///< The earlier of the caller's deadline and the route's.

    Phase phase = Phase::ReceivingBody;
    requests::DispatchId dispatch;
    model::TargetIncarnation target;
    model::Address targetAddress; ///< To which the request is sent.
    Timestamp sentAt; ///< When the request was dispatched to the target.
    std::optional<Timestamp> firstByteAt; ///< When its first byte was sent there.
    bool usesTargetCredit = false; ///< A credit of the target's limit was spent for it.
    SendLimit sendLimit = SendLimit::None; ///< Of the target when the request was dispatched to it.
    bool wasBlamed = false; ///< Known to make targets fail when it was dispatched, so this is a trial.
    uint32_t timesWithheld = 0; ///< Dispatches that were withheld before their first byte.
    Duration expectedDuration {}; ///< From sentAt to the head of the response, as estimated then.
    Timestamp stalledAt; ///< Without a response by then, the target may be unresponsive.
    Timestamp slowAt; ///< The response takes longer than all recent ones of the target; at most stalledAt.
    Timestamp nextCheckAt; ///< stalledAt, slowAt, or earlier: once it takes longer than most recent ones.
    bool isLate = false; ///< Counted in the target's late requests.
    double loadAtSend = 0;
    VersionRole versionRole = VersionRole::Serving; ///< Of the target's software version.
    bool isCompared = false; ///< Its answer counts for the rollout of the service.
    Choice choice = Choice::Other; ///< Rank of the target among the object's targets.
    bool isLikelyWarm = false; ///< The target recently answered for the object, as far as this gateway knows.
    bool isForCorrection = false; ///< Sent although no response was expected in time.
    Duration timeToHead {}; ///< From the last send to the head of the response.
    std::vector<TargetId> attemptedTargets;
    uint32_t maxAttempts = 0; ///< Targets that may be tried, here and by way of peers.
    uint32_t possibleRuns = 0; ///< Attempts that may have been run.
    bool isForwarded = false; ///< Another gateway handed it to this one, which must not forward it again.
    bool isAtPeer = false; ///< The present dispatch went to a peer.
    HostId peer; ///< The last peer that it was sent to.
    std::vector<HostId> attemptedPeers;
    size_t targetsLost = 0; ///< Attempted targets that were lost.
    model::Reason lastReason = model::Reason::None;
    // Logged with the outcome: the state on which the last target selection was based.
    LogIndex orders; ///< Up to which all orders were known, such as targets that left.
    Duration targetAge {}; ///< Since the target's last report to the registry.
    Duration loadAge {}; ///< Since the last update of the target's load.
    requests::ConnectionUse connection; ///< On which the last response or failure of a target or peer came.
    std::string lastFailure; ///< Error text of the last failed target.
    bool isLastTargetGone = false; ///< The last failed target refuses connections.
    std::optional<double> limit; ///< The target's limit in requests per second when it was selected.
    uint32_t targetsKnown = 0;
    uint32_t targetsUsable = 0;
    requests::HttpRespond response; ///< The part that was received so far.
    bool isInLinkBudget = false; ///< Counted in the link budget.
    uint64_t responseBytes = 0;
    bool isResponseLengthKnown = false; ///< The head of the response states the length of its body.
    uint64_t bytesReadByCaller = 0; ///< Of a streamed response.
    Timestamp callerReadAt {}; ///< When the caller last read some of it.
    bool isResponseOverlong = false; ///< The streamed response is counted as overlong at its target.
    bool isResponseBroken = false; ///< The present target's response was counted as broken.
    bool isResponseStarted = false; ///< The head was sent to the caller.
    std::optional<ClientKeyDigest> key; ///< Of the key that the caller presented, if it was exactly one.
    bool mayHaveRun = false; ///< A byte may have reached a target that did not report that it did not run the request.

    /// What the plan of its arrival says of it. Computed for forwarded requests only.
    [[nodiscard]] RequestJudgement judgement() const
    {
        // Without a matching route, the exchange has none.
        return judgementOf(route.services.empty() ? nullptr : &route, account ? &account->account : nullptr);
    }
    /// An attempt may have been run although no response to it is known.
    void recordPossibleRun()
    {
        mayHaveRun = true;
        ++possibleRuns;
    }
    /// From the last dispatch to its first byte; none if no byte of it was sent.
    [[nodiscard]] std::optional<Duration> timeToFirstByte() const
    {
        return firstByteAt ? std::optional<Duration>(*firstByteAt - sentAt) : std::nullopt;
    }
};

} // namespace saltvane::gateway
