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

/// The body of a caller's request on its way to an owner. Buffers at most InitialBodyWindow bytes: the body from its
/// start while another attempt may need it, otherwise only the bytes that the owner has not acknowledged yet.
class RequestBody {
public:
    explicit RequestBody(std::optional<uint64_t> declaredLength);

    /// Appends bytes from the caller. Returns false if they exceed the window or don't match the declared length.
    [[nodiscard]] bool append(std::string_view bytes, bool isLast);
    [[nodiscard]] bool isComplete() const { return isComplete_; }
    [[nodiscard]] uint64_t received() const { return startOffset_ + buffered().size(); }
    [[nodiscard]] std::optional<uint64_t> declaredLength() const { return declaredLength_; }
    /// No byte was released, so another attempt can send the body from its start.
    [[nodiscard]] bool isReplayable() const { return startOffset_ == 0; }
    /// The fingerprint can be computed: the body is complete or fills the window.
    [[nodiscard]] bool isFingerprintable() const { return isComplete_ || received() >= InitialBodyWindow; }
    [[nodiscard]] std::string_view buffered() const { return std::string_view(bytes_).substr(releasedBytes_); }
    /// At most `count` bytes, starting at `offset`.
    [[nodiscard]] std::string bytesAt(uint64_t offset, uint64_t count) const;
    /// The owner acknowledged all bytes before `offset`. Returns how many more bytes the caller may send.
    [[nodiscard]] uint64_t release(uint64_t offset);

private:
    [[nodiscard]] bool mustReleaseEarly() const;

    std::optional<uint64_t> declaredLength_;
    std::string bytes_;
    size_t releasedBytes_ = 0; ///< Bytes at the front of bytes_ that are released but not erased yet.
    uint64_t startOffset_ = 0; ///< Offset in the body of the first buffered byte.
    bool isComplete_ = false;
};

} // namespace saltvane::requests
