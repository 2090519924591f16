/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/limitmessages.h"
#include "wire/internal/commoncodec.h"

namespace saltvane::wire {

[[nodiscard]] Offset<fbs::LimitCreditRequest> encode(Builder& builder, const model::LimitCreditRequest& message);
[[nodiscard]] Offset<fbs::LimitCreditReply> encode(Builder& builder, const model::LimitCreditReply& message);
[[nodiscard]] Offset<fbs::BackpressureReport> encode(Builder& builder, const model::BackpressureReport& message);

[[nodiscard]] model::LimitCreditRequest decode(FieldReader& reader, const fbs::LimitCreditRequest& message);
[[nodiscard]] model::LimitCreditReply decode(FieldReader& reader, const fbs::LimitCreditReply& message);
[[nodiscard]] model::BackpressureReport decode(FieldReader& reader, const fbs::BackpressureReport& message);

} // namespace saltvane::wire
