/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/bodybudget.h"
#include "gateway/internal/receivedbody.h"
#include "model/reasons.h"
#include "model/routeplan.h"

#include <string_view>
#include <utility>
#include <vector>

namespace saltvane::gateway {

/// Receives the bodies of all requests within a budget of memory. A body whose caller may send more has the memory for
/// it already, apart from the first InitialBodyWindow bytes. If there is no memory left, the body that has stood still
/// longest is refused; while all others make progress, a body waits with its window closed.
class BodyReceiver {
public:
    explicit BodyReceiver(BodyBudget& budget);

    /// Limits of the plan in force.
    void setLimits(const model::CallerLimits& limits) { limits_ = limits; }
    /// The longest body that is accepted.
    [[nodiscard]] uint64_t maxBodyBytes() const;

    /// The head of a request with a body arrived.
    void start(ReceivedBody& body, Timestamp now);
    /// Stores a part of the body. Returns BodyTooLarge or NoMemory if the request must be refused, or None.
    [[nodiscard]] model::Reason receive(ReceivedBody& body, std::string_view bytes, Timestamp now);
    /// The body is complete, or its request has ended.
    void end(ReceivedBody& body);
    /// Lets bodies that wait continue if there is memory for them; refuses bodies that arrive too slowly.
    void tick(Timestamp now);

    [[nodiscard]] std::vector<requests::HttpRequestWindow> drainWindows() { return std::exchange(windows_, {}); }
    /// A body that is given up. Its memory is released already.
    struct Refused {
        requests::HttpHandle handle;
        model::Reason reason = model::Reason::None;
    };
    [[nodiscard]] std::vector<Refused> drainRefused() { return std::exchange(refused_, {}); }

private:
    using ProgressList = ReceivedBodyList<&ReceivedBody::progressHook>;

    [[nodiscard]] static bool isSmall(const ReceivedBody& body, uint64_t added);
    /// Bytes that may still follow.
    [[nodiscard]] uint64_t remaining(const ReceivedBody& body) const;
    /// Memory to be allocated next, for at least `needed` bytes.
    [[nodiscard]] uint64_t nextBlockBytes(const ReceivedBody& body, uint64_t needed) const;
    /// Returns false if there is no room even if bodies are refused that stand still.
    [[nodiscard]] bool tryAllocate(ReceivedBody& body, uint64_t bytes, Timestamp now);
    void allocate(ReceivedBody& body, uint64_t bytes);
    /// Opens the window if it is half empty, or lets the body wait.
    void widenWindow(ReceivedBody& body, Timestamp now);
    /// Returns false if there is no room for a further block.
    [[nodiscard]] bool tryWiden(ReceivedBody& body, Timestamp now);
    void serveWaiting(Timestamp now);
    /// Refuses the body that has stood still longest, apart from `claimant`. Returns false if there is none.
    [[nodiscard]] bool refuseStalled(const ReceivedBody& claimant, Timestamp now);
    /// Whether no body that waits can continue before one of them is refused.
    [[nodiscard]] bool areWaitingDeadlocked() const;
    void recordProgress(ReceivedBody& body, Timestamp now);
    void refuse(ReceivedBody& body, model::Reason reason);
    void checkRates(Timestamp now);
    /// Over which a body must not arrive too slowly.
    [[nodiscard]] Duration rateInterval() const;
    void scheduleRateCheck(ReceivedBody& body, Timestamp now);

    BodyBudget& budget_;
    model::CallerLimits limits_;
    uint64_t arriving_ = 0; ///< Memory of bodies that arrive or wait.
    ProgressList receiving_; ///< Those that hold memory and don't wait; the one without progress for longest first.
    ProgressList waiting_; ///< The one that waits longest first.
    ReceivedBodyList<&ReceivedBody::rateHook> rateChecks_; ///< By ReceivedBody::rateCheckAt.
    std::vector<requests::HttpRequestWindow> windows_;
    std::vector<Refused> refused_;
};

} // namespace saltvane::gateway
