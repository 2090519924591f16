/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/requestmessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace saltvane::requests {

/// A response up to this size is buffered until it is complete. If it fails before, the request can be retried or
/// reported as unknown, instead of breaking the caller's connection.
inline constexpr uint64_t MaxBufferedResponseBytes = 64 * 1024;

struct ResponseHead {
    int status = 0;
    std::vector<model::Header> headers;
    std::optional<uint64_t> bodyLength; ///< No value: chunked.
};

/// A complete response, stored for resends.
struct StoredResponse {
    ResponseHead head;
    std::string body;
    [[nodiscard]] uint64_t size() const;
};

/// Checks the frames of one response: one head, a contiguous body, the announced length.
class ResponseStream {
public:
    /// `retainLimit`: bytes retained for resends of a response that isn't buffered.
    explicit ResponseStream(uint64_t retainLimit)
        : retainLimit_(retainLimit)
    {
    }

    /// `isBodyless`: the response has no body whatever length it states (HEAD, 204, 304; RFC 9110, 6.4.1).
    [[nodiscard]] bool start(ResponseHead head, bool isBodyless);
    [[nodiscard]] bool append(uint64_t offset, std::string_view bytes, bool isLast);
    [[nodiscard]] bool isStarted() const { return isStarted_; }
    /// No byte is missing. Valid after the sender reported the end of the response.
    [[nodiscard]] bool isComplete() const;
    /// The response is sent to the caller only when it is complete.
    [[nodiscard]] bool isBuffered() const;
    [[nodiscard]] uint64_t received() const { return received_; }
    /// All bytes received so far are retained.
    [[nodiscard]] bool isRetained() const { return isRetained_; }
    [[nodiscard]] const ResponseHead& head() const { return head_; }
    [[nodiscard]] StoredResponse extractStored();

private:
    uint64_t retainLimit_;
    ResponseHead head_;
    std::string retained_;
    uint64_t received_ = 0;
    bool isStarted_ = false;
    bool isBodyless_ = false;
    bool isLastSeen_ = false;
    bool isRetained_ = true;
};

} // namespace saltvane::requests
