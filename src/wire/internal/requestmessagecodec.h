/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/requestmessages.h"
#include "wire/internal/commoncodec.h"

/// Codec of the messages in model/requestmessages.h.
namespace saltvane::wire {

[[nodiscard]] Offset<fbs::ForwardRequest> encode(Builder& builder, const model::ForwardRequest& message);
[[nodiscard]] Offset<fbs::ForwardBody> encode(Builder& builder, const model::ForwardBody& message);
[[nodiscard]] Offset<fbs::ForwardWindow> encode(Builder& builder, const model::ForwardWindow& message);
[[nodiscard]] Offset<fbs::ForwardResponseHead> encode(Builder& builder, const model::ForwardResponseHead& message);
[[nodiscard]] Offset<fbs::ForwardEnd> encode(Builder& builder, const model::ForwardEnd& message);
[[nodiscard]] Offset<fbs::ForwardCancel> encode(Builder& builder, const model::ForwardCancel& message);
[[nodiscard]] Offset<fbs::ClaimRequest> encode(Builder& builder, const model::ClaimRequest& message);
[[nodiscard]] Offset<fbs::ClaimReply> encode(Builder& builder, const model::ClaimReply& message);

/// Values that are out of range are recorded in `reader`.
[[nodiscard]] model::ForwardRequest decode(FieldReader& reader, const fbs::ForwardRequest& message);
[[nodiscard]] model::ForwardBody decode(FieldReader& reader, const fbs::ForwardBody& message);
[[nodiscard]] model::ForwardWindow decode(FieldReader& reader, const fbs::ForwardWindow& message);
[[nodiscard]] model::ForwardResponseHead decode(FieldReader& reader, const fbs::ForwardResponseHead& message);
[[nodiscard]] model::ForwardEnd decode(FieldReader& reader, const fbs::ForwardEnd& message);
[[nodiscard]] model::ForwardCancel decode(FieldReader& reader, const fbs::ForwardCancel& message);
[[nodiscard]] model::ClaimRequest decode(FieldReader& reader, const fbs::ClaimRequest& message);
[[nodiscard]] model::ClaimReply decode(FieldReader& reader, const fbs::ClaimReply& message);

} // namespace saltvane::wire
