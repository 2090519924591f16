/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/rolloutmessages.h"
#include "wire/internal/commoncodec.h"

namespace saltvane::wire {

[[nodiscard]] Offset<fbs::RolloutOrder> encode(Builder& builder, const model::RolloutOrder& order);
[[nodiscard]] Offset<fbs::RolloutReport> encode(Builder& builder, const model::RolloutReport& message);

[[nodiscard]] model::RolloutOrder decode(FieldReader& reader, const fbs::RolloutOrder& order);
[[nodiscard]] model::RolloutReport decode(FieldReader& reader, const fbs::RolloutReport& message);

} // namespace saltvane::wire
