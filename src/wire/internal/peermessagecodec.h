/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/peermessages.h"
#include "wire/internal/commoncodec.h"

namespace saltvane::wire {

[[nodiscard]] Offset<fbs::PeerRequest> encode(Builder& builder, const model::PeerRequest& message);
[[nodiscard]] Offset<fbs::PeerReport> encode(Builder& builder, const model::PeerReport& message);

[[nodiscard]] model::PeerRequest decode(FieldReader& reader, const fbs::PeerRequest& message);
[[nodiscard]] model::PeerReport decode(FieldReader& reader, const fbs::PeerReport& message);

} // namespace saltvane::wire
