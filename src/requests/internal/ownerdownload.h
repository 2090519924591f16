/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/exchangetypes.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace saltvane::requests {

/// The body of a response on its way to the entry host. Splits it into frames, buffers it while the window of the entry
/// host is closed, and checks its length.
class OwnerDownload {
public:
    /// `length`: length of the body; 0 if the response has none (HEAD, 204, 304), no value if unknown.
    explicit OwnerDownload(std::optional<uint64_t> length)
        : length_(length)
    {
    }

    /// Returns false if the body exceeds its announced length or the limit of unacknowledged bytes.
    [[nodiscard]] bool append(std::string bytes);
    /// The target has sent the whole body; returns false if bytes are missing.
    [[nodiscard]] bool finish();
    [[nodiscard]] bool isFinished() const { return isFinished_; }
    /// The entry host acknowledged this number of bytes; returns false if fewer were sent.
    [[nodiscard]] bool acknowledge(uint64_t bytes);
    /// The next frame to send; no value while the window is closed or no bytes are buffered.
    [[nodiscard]] std::optional<model::ForwardBody> nextFrame(CorrelationId correlation);
    /// All frames have been sent.
    [[nodiscard]] bool isFullySent() const;
    /// The entry host must acknowledge bytes before more can be sent.
    [[nodiscard]] bool isWindowClosed() const { return sent_ >= InitialBodyWindow + acknowledged_; }

private:
    [[nodiscard]] bool isLastFrame(uint64_t end) const;

    std::optional<uint64_t> length_;
    std::deque<std::string> waiting_;
    size_t frontOffset_ = 0; ///< Bytes already sent of the first buffered piece.
    uint64_t received_ = 0;
    uint64_t sent_ = 0;
    uint64_t acknowledged_ = 0;
    bool isFinished_ = false;
    bool isLastSent_ = false;
};

} // namespace saltvane::requests
