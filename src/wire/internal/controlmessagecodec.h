/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/controlmessages.h"
#include "wire/internal/commoncodec.h"

/// Codec of the messages in model/controlmessages.h.
namespace saltvane::wire {

[[nodiscard]] Offset<fbs::VoteRequest> encode(Builder& builder, const model::VoteRequest& message);
[[nodiscard]] Offset<fbs::VoteReply> encode(Builder& builder, const model::VoteReply& message);
[[nodiscard]] Offset<fbs::StartNotice> encode(Builder& builder, const model::StartNotice& message);
[[nodiscard]] Offset<fbs::AppendRequest> encode(Builder& builder, const model::AppendRequest& message);
[[nodiscard]] Offset<fbs::AppendReply> encode(Builder& builder, const model::AppendReply& message);
[[nodiscard]] Offset<fbs::SnapshotChunk> encode(Builder& builder, const model::SnapshotChunk& message);
[[nodiscard]] Offset<fbs::SnapshotReply> encode(Builder& builder, const model::SnapshotReply& message);
[[nodiscard]] Offset<fbs::JoinRequest> encode(Builder& builder, const model::JoinRequest& message);
[[nodiscard]] Offset<fbs::BundlePush> encode(Builder& builder, const model::BundlePush& message);
[[nodiscard]] Offset<fbs::BundlePart> encode(Builder& builder, const model::BundlePart& message);
[[nodiscard]] Offset<fbs::BundlePull> encode(Builder& builder, const model::BundlePull& message);
[[nodiscard]] Offset<fbs::BundleCurrent> encode(Builder& builder, const model::BundleCurrent& message);

/// Values that are out of range are recorded in `reader`.
[[nodiscard]] model::VoteRequest decode(FieldReader& reader, const fbs::VoteRequest& message);
[[nodiscard]] model::VoteReply decode(FieldReader& reader, const fbs::VoteReply& message);
[[nodiscard]] model::StartNotice decode(FieldReader& reader, const fbs::StartNotice& message);
[[nodiscard]] model::AppendRequest decode(FieldReader& reader, const fbs::AppendRequest& message);
[[nodiscard]] model::AppendReply decode(FieldReader& reader, const fbs::AppendReply& message);
[[nodiscard]] model::SnapshotChunk decode(FieldReader& reader, const fbs::SnapshotChunk& message);
[[nodiscard]] model::SnapshotReply decode(FieldReader& reader, const fbs::SnapshotReply& message);
[[nodiscard]] model::JoinRequest decode(FieldReader& reader, const fbs::JoinRequest& message);
[[nodiscard]] model::BundlePush decode(FieldReader& reader, const fbs::BundlePush& message);
[[nodiscard]] model::BundlePart decode(FieldReader& reader, const fbs::BundlePart& message);
[[nodiscard]] model::BundlePull decode(FieldReader& reader, const fbs::BundlePull& message);
[[nodiscard]] model::BundleCurrent decode(FieldReader& reader, const fbs::BundleCurrent& message);

} // namespace saltvane::wire
