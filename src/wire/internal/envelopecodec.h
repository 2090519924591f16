/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/message.h"
#include "wire/framecodec.h"

#include <string_view>

namespace saltvane::wire {

/// Size in bytes of the part of a frame before its envelope.
inline constexpr size_t FrameHeaderSize = sizeof(uint32_t) + sizeof(uint64_t);
/// The length of each envelope is a multiple of this, so that all envelopes of a stream have the same alignment.
inline constexpr size_t FrameAlignment = 8;

/// Verifies and decodes an envelope, which must be aligned to FrameAlignment in memory.
[[nodiscard]] Result<model::Message, FrameError> decodeEnvelope(std::string_view envelope);

[[nodiscard]] uint64_t checksumOf(std::string_view envelope);

} // namespace saltvane::wire
