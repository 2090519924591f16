/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/internal/entrycontext.h"

namespace saltvane::requests {

/// Ends exchanges: reports the outcome to the caller, counts it, writes the access record and completes the run of the
/// key.
class Finalizer {
public:
    explicit Finalizer(EntryContext& context)
        : context_(context)
    {
    }

    /// Ends the exchange without a response. The outcome is "not run" only if it is known that no request with the same
    /// key has run; otherwise it is unknown.
    void giveUp(Exchange& exchange, model::Reason reason, Duration retryAfter, Timestamp now);
    /// Ends the exchange with this result and reports it to the caller.
    void refuse(Exchange& exchange, const Completion& completion, Timestamp now);
    /// Ends the exchange after its complete response was written.
    void finishAnswered(Exchange& exchange, Timestamp now);
    /// Ends the exchange because its caller disconnected. A keyed run whose request body is complete continues without
    /// the caller.
    void finishForDisconnectedCaller(Exchange& exchange, model::Reason reason, Timestamp now);
    void finishForDeadline(Exchange& exchange, Timestamp now);
    void terminate(Exchange& exchange, Timestamp now);

private:
    /// True if neither this request nor any other request with its key has run.
    [[nodiscard]] bool isKnownNotRun(const Exchange& exchange, Timestamp now) const;
    void finish(Exchange& exchange, const Completion& completion, Timestamp now);
    void countOutcome(const Exchange& exchange, const Completion& completion);
    void writeAccessRecord(const Exchange& exchange, const Completion& completion, Timestamp now);

    EntryContext& context_;
};

} // namespace saltvane::requests
