/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/result.h"
#include "model/reasons.h"
#include "model/requestmessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace saltvane::net {

/// The head of a caller's request.
struct RequestHead {
    std::string method;
    std::string target; ///< Request target, as on the request line.
    bool isHttp11 = true;
    std::vector<model::Header> headers;
};

/// An error response that is sent without the core.
struct EdgeRefusal {
    int status = 400;
    model::Reason reason = model::Reason::BadRequest;
    std::string message; ///< Names the invalid field.
};

/// Framing of a request's body (RFC 9112, section 6.3).
struct RequestFraming {
    std::optional<uint64_t> bodyLength; ///< Bytes; 0: no body. No value: chunked.
    bool expectsContinue = false;
};

/// Determines the framing from a head. Refuses all heads that HTTP implementations could interpret differently.
[[nodiscard]] Result<RequestFraming, EdgeRefusal> readFraming(const RequestHead& head);
/// The part of a request target with its path and query, without the scheme and authority of an absolute URI.
[[nodiscard]] std::string_view pathOf(std::string_view target);

[[nodiscard]] bool equalsIgnoringCase(std::string_view left, std::string_view right);
/// No value: not a decimal 64-bit number without sign or spaces.
[[nodiscard]] std::optional<uint64_t> parseLength(std::string_view text);
/// A field name as defined by RFC 9110, section 5.1.
[[nodiscard]] bool isToken(std::string_view text);
/// A field value without control characters other than the tab.
[[nodiscard]] bool isFieldValue(std::string_view text);
/// A request target without spaces, control characters or a fragment.
[[nodiscard]] bool isRequestTarget(std::string_view text);

} // namespace saltvane::net
