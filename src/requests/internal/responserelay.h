/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/internal/entrycontext.h"

namespace saltvane::requests {

/// Relays responses of owners and issuers to the caller, either completely or with a failure that the caller can
/// detect.
class ResponseRelay {
public:
    explicit ResponseRelay(EntryContext& context)
        : context_(context)
    {
    }

    void handle(const model::Delivery& delivery, const model::ForwardResponseHead& head, Timestamp now);
    void handle(const model::Delivery& delivery, const model::ForwardBody& body, Timestamp now);
    void handle(const model::Delivery& delivery, const model::ForwardEnd& end, Timestamp now);
    void handle(const model::Delivery& delivery, const model::ForwardWindow& window, Timestamp now);
    /// This number of bytes of the response was written to the caller.
    void onCallerProgress(Exchange& exchange, uint64_t bytes);
    /// Continues after the caller disconnected: the response is received as long as it can be stored for its key.
    void continueWithoutCaller(Exchange& exchange, Timestamp now);

private:
    /// The exchange whose attempt the frame belongs to. Null, and counted as a late frame, if the attempt has ended or
    /// the frame is from another peer.
    [[nodiscard]] Exchange* match(const model::Delivery& delivery, CorrelationId correlation);
    void abortAttempt(Exchange& exchange, Timestamp now);
    void finishResponse(Exchange& exchange, Timestamp now);

    EntryContext& context_;
};

} // namespace saltvane::requests
