/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/hostmessages.h"
#include "wire/internal/commoncodec.h"

/// Codec of the messages in model/hostmessages.h.
namespace saltvane::wire {

[[nodiscard]] Offset<fbs::Heartbeat> encode(Builder& builder, const model::Heartbeat& message);
[[nodiscard]] Offset<fbs::ZoneReport> encode(Builder& builder, const model::ZoneReport& message);
[[nodiscard]] Offset<fbs::CreditRequest> encode(Builder& builder, const model::CreditRequest& message);
[[nodiscard]] Offset<fbs::CreditGrant> encode(Builder& builder, const model::CreditGrant& message);
[[nodiscard]] Offset<fbs::OwnershipHandover> encode(Builder& builder, const model::OwnershipHandover& message);
[[nodiscard]] Offset<fbs::HandoverProgress> encode(Builder& builder, const model::HandoverProgress& message);
[[nodiscard]] Offset<fbs::RowsRequest> encode(Builder& builder, const model::RowsRequest& message);
[[nodiscard]] Offset<fbs::RowsReply> encode(Builder& builder, const model::RowsReply& message);

/// Values that are out of range are recorded in `reader`.
[[nodiscard]] model::Heartbeat decode(FieldReader& reader, const fbs::Heartbeat& message);
[[nodiscard]] model::ZoneReport decode(FieldReader& reader, const fbs::ZoneReport& message);
[[nodiscard]] model::CreditRequest decode(FieldReader& reader, const fbs::CreditRequest& message);
[[nodiscard]] model::CreditGrant decode(FieldReader& reader, const fbs::CreditGrant& message);
[[nodiscard]] model::OwnershipHandover decode(FieldReader& reader, const fbs::OwnershipHandover& message);
[[nodiscard]] model::HandoverProgress decode(FieldReader& reader, const fbs::HandoverProgress& message);
[[nodiscard]] model::RowsRequest decode(FieldReader& reader, const fbs::RowsRequest& message);
[[nodiscard]] model::RowsReply decode(FieldReader& reader, const fbs::RowsReply& message);

} // namespace saltvane::wire
