/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/result.h"
#include "model/message.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Frames between hosts (docs/PROTOCOL.md): length of the envelope (4 bytes, little endian), xxhash64 of the envelope
/// (8 bytes), and the FlatBuffers Envelope, padded with zeros to a multiple of 8 bytes.
namespace saltvane::wire {

inline constexpr size_t MaxFrameBytes = 4 * 1024 * 1024;

enum class FrameErrorKind {
    TooLarge, ///< The length exceeds MaxFrameBytes.
    BadLength, ///< The length is not a multiple of 8.
    BadChecksum,
    BadEnvelope, ///< The FlatBuffers verifier rejected it.
    /// A field has a value that is out of range; see FrameError::field.
    BadField
};
struct FrameError {
    FrameErrorKind kind = FrameErrorKind::BadEnvelope;
    std::string field;
};

/// Returns an empty string if the frame would exceed MaxFrameBytes. Senders must keep their messages smaller.
[[nodiscard]] std::string encodeFrame(const model::Message& message);

/// Splits a byte stream into messages. After an error the stream cannot be read any further.
class FrameReader {
public:
    FrameReader();
    void append(std::string_view bytes);
    /// The next message; no value until all its bytes have been appended.
    [[nodiscard]] Result<std::optional<model::Message>, FrameError> next();

private:
    /// Empties the buffer. Called when all its bytes have been consumed.
    void resetBuffer();

    std::string buffer_;
    size_t consumed_;
};

} // namespace saltvane::wire
