/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/accountmessages.h"
#include "wire/internal/commoncodec.h"

namespace saltvane::wire {

[[nodiscard]] Offset<fbs::AccountCreditRequest> encode(Builder& builder, const model::AccountCreditRequest& message);
[[nodiscard]] Offset<fbs::AccountCreditReply> encode(Builder& builder, const model::AccountCreditReply& message);

[[nodiscard]] model::AccountCreditRequest decode(FieldReader& reader, const fbs::AccountCreditRequest& message);
[[nodiscard]] model::AccountCreditReply decode(FieldReader& reader, const fbs::AccountCreditReply& message);

} // namespace saltvane::wire
