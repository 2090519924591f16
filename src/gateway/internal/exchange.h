/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/placement.h"
#include "gateway/internal/requesthasher.h"
#include "gateway/internal/routetable.h"
#include "requests/exchangetypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace saltvane::gateway {

/// One caller's request on its way.
struct Exchange {
    enum class Phase {
        ReceivingBody, ///< Nothing was sent yet.
        AwaitingCredit, ///< Of its client account's limit.
        AwaitingTargetCredit, ///< Of the limit that the target chosen for it names.
        AwaitingHead, ///< Sent to a target.
        ReceivingAnswer, ///< The head came; the answer is gathered whole.
        Streaming ///< The answer is passed on as it comes.
    };

    requests::HttpHandle handle;
    RequestId id; ///< Of the caller's try.
    std::string method;
    std::string path;
    std::vector<model::Header> headers; ///< End-to-end ones, without the deadline.
    std::string body;
    std::optional<RequestHasher> hasher; ///< Until the body is whole.
    model::RequestDigest digest; ///< Once it is: the same for all tries of one request.
    std::optional<uint64_t> object; ///< Hash of the object the request is about.
    model::Route route; ///< As of its arrival; a new plan changes nothing for it.
    model::AccountRef account; ///< As of its arrival; null: none is asked for.
    bool hasCredit = false; ///< Of the account's limit, not used up by a run.
    /// The target for which it waits for a credit, as chosen.
    struct AwaitedTarget {
        model::TargetIncarnation start;
        Choice choice = Choice::Other;
        bool isLikelyWarm = false;
        Duration work {};
    };
    AwaitedTarget awaited;
    size_t targetCreditsRefused = 0; ///< Targets whose limit left it no credit.
    ServiceName service;
    BundleVersion planVersion;
    Timestamp startedAt;
    Timestamp deadline; ///< The earlier of the caller's and the route's.

    Phase phase = Phase::ReceivingBody;
    requests::DispatchId dispatch;
    model::TargetIncarnation target;
    Timestamp sentAt;
    Timestamp checkAt; ///< When a silent target is doubted.
    double loadAtStart = 0;
    Choice choice = Choice::Other; ///< Of the target, for the object.
    bool isLikelyWarm = false; ///< The target lately answered for the object, as far as this gateway knows.
    Duration toHead {}; ///< From the last send to the head of its answer.
    std::vector<TargetId> tried;
    size_t targetsLost = 0; ///< Of these, those that broke off.
    model::Reason lastReason = model::Reason::None;
    // For the log: what the last choice went by.
    Duration targetAge {}; ///< Since the target's last report.
    Duration loadAge {}; ///< Since its last word of its load.
    std::string lastFailure; ///< What went wrong at the last target that failed, in words.
    bool isLastTargetGone = false; ///< Where it failed: it refuses connections.
    std::optional<double> limit; ///< Requests a second that the target took, as known when it was chosen.
    uint32_t targetsKnown = 0;
    uint32_t targetsUsable = 0;
    requests::HttpRespond answer; ///< As far as it came.
    bool isOnLink = false; ///< Counted by the link budget.
    uint64_t answerBytes = 0;
    bool isAnswerStarted = false; ///< Its head went to the caller.
    bool mayHaveRun = false; ///< A byte may have reached a target that did not say it has not run it.
};

} // namespace saltvane::gateway
