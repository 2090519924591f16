/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/internal/entrycontext.h"

#include <map>

namespace saltvane::requests {

/// Receives requests from callers over HTTP and, for keys that this host issued, from other entry hosts.
class RequestReceiver {
public:
    explicit RequestReceiver(EntryContext& context)
        : context_(context)
    {
    }

    void handle(HttpRequestStarted started, Timestamp now);
    void handle(const HttpRequestBody& body, Timestamp now);
    void handle(const HttpRequestAborted& aborted, Timestamp now);
    void handle(const HttpResponseProgress& progress, Timestamp now);
    void handle(const HttpResponseDone& done, Timestamp now);

    void handle(const model::Delivery& delivery, const model::ForwardRequest& request, Timestamp now);
    void handle(const model::Delivery& delivery, const model::ForwardBody& body, Timestamp now);
    void handle(const model::Delivery& delivery, const model::ForwardWindow& window, Timestamp now);
    void handle(const model::Delivery& delivery, const model::ForwardCancel& cancel, Timestamp now);

private:
    struct Sender {
        Incarnation incarnation;
        CorrelationId lastCorrelation; ///< Highest id seen; the correlation ids of an incarnation increase.
    };

    [[nodiscard]] RequestId nextRequestId();
    [[nodiscard]] model::Reason admissionRefusal() const;
    [[nodiscard]] bool isNew(const model::Delivery& delivery, CorrelationId correlation);
    [[nodiscard]] Exchange* match(const model::Delivery& delivery, CorrelationId correlation);
    void acceptBody(Exchange& exchange, std::string_view bytes, bool isLast, Timestamp now);
    void refuseBody(Exchange& exchange, Timestamp now);

    EntryContext& context_;
    uint64_t lastRequest_ = 0;
    std::map<HostId, Sender> senders_;
};

} // namespace saltvane::requests
