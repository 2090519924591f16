/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/internal/entrycontext.h"

#include <string>

namespace saltvane::requests {

/// Size limit of the body part in one frame between hosts.
inline constexpr uint64_t MaxBodyFrameBytes = 64 * 1024;

/// Writes responses and refusals to the caller: to an HTTP exchange of this host, or to the entry host that forwarded
/// the request here.
class CallerWriter {
public:
    explicit CallerWriter(EntryContext& context)
        : context_(context)
    {
    }

    void writeRefusal(Exchange& exchange, const Completion& completion);
    void writeComplete(Exchange& exchange, const ResponseHead& head, std::string body, bool isReplayed);
    void startStream(Exchange& exchange, const ResponseHead& head);
    void writeBody(Exchange& exchange, std::string bytes);
    /// Ends a streamed response after its last byte.
    void finishStream(Exchange& exchange);
    /// Aborts a streamed response so that the caller detects it.
    void abort(Exchange& exchange, const Completion& completion);
    /// Lets the caller send this number of further bytes of the request body.
    void extendBodyWindow(Exchange& exchange, uint64_t bytes);

private:
    void sendBody(Exchange& exchange, const ForwardedOrigin& forwarded, std::string_view bytes, bool isLast);
    void sendEnd(const Exchange& exchange, const ForwardedOrigin& forwarded, const Completion& completion);

    EntryContext& context_;
};

} // namespace saltvane::requests
