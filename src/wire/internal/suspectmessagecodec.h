/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/suspectmessages.h"
#include "wire/internal/commoncodec.h"

/// Codec of the messages in model/suspectmessages.h.
namespace saltvane::wire {

[[nodiscard]] Offset<fbs::SuspectReport> encode(Builder& builder, const model::SuspectReport& message);
/// Values that are out of range are recorded in `reader`.
[[nodiscard]] model::SuspectReport decode(FieldReader& reader, const fbs::SuspectReport& message);

} // namespace saltvane::wire
