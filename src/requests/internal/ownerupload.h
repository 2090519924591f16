/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/exchangetypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace saltvane::requests {

/// The body of a forwarded request. Checks its frames, retains the bytes that a second attempt or a queued request
/// needs, and computes how much more the entry host may send. Retains at most InitialBodyWindow bytes.
class OwnerUpload {
public:
    /// `length`: as in ForwardRequest; 0 means that no body follows.
    explicit OwnerUpload(std::optional<uint64_t> length);

    enum class AppendResult {
        Ok,
        OffsetMismatch, ///< A gap, an overlap, or bytes after the end.
        LengthMismatch, ///< More or fewer bytes than announced.
        WindowExceeded ///< More than the entry host was allowed to send.
    };
    [[nodiscard]] AppendResult append(const model::ForwardBody& body);

    [[nodiscard]] bool hasBody() const { return length_ != 0; }
    [[nodiscard]] bool isComplete() const { return isComplete_; }
    /// All received bytes are still retained, so that the body can be sent from its first byte.
    [[nodiscard]] bool isRetained() const { return isRetained_; }
    [[nodiscard]] const std::string& retained() const { return retained_; }
    [[nodiscard]] uint64_t received() const { return received_; }
    /// Frees the retained bytes; no later attempt can send the body from its start.
    void discardRetained();

    void startAttempt() { acknowledged_ = 0; }
    /// This number of bytes was written to the target's socket; returns how many more bytes the entry host may send
    /// now.
    [[nodiscard]] uint64_t acknowledge(uint64_t bytes);
    /// All received bytes were written to the target; the rest must come from the entry host.
    [[nodiscard]] bool isWaitingForMore() const { return !isComplete_ && acknowledged_ >= received_; }

private:
    std::optional<uint64_t> length_;
    std::string retained_;
    uint64_t received_ = 0;
    uint64_t acknowledged_ = 0; ///< Bytes written to the target of this attempt.
    uint64_t granted_ = 0; ///< Bytes granted to the entry host beyond InitialBodyWindow.
    bool isComplete_ = false;
    bool isRetained_ = true;
};

} // namespace saltvane::requests
