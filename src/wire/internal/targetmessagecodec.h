/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/targetmessages.h"
#include "wire/internal/commoncodec.h"

/// Codec of the messages in model/targetmessages.h.
namespace saltvane::wire {

[[nodiscard]] Offset<fbs::TargetReport> encode(Builder& builder, const model::TargetReport& message);
[[nodiscard]] Offset<fbs::TargetLoads> encode(Builder& builder, const model::TargetLoads& message);
/// Values that are out of range are recorded in `reader`.
[[nodiscard]] model::TargetReport decode(FieldReader& reader, const fbs::TargetReport& message);
[[nodiscard]] model::TargetLoads decode(FieldReader& reader, const fbs::TargetLoads& message);

} // namespace saltvane::wire
