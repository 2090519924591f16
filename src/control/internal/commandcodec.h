/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/result.h"
#include "control/controltypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace saltvane::control {

/// Why bytes are no command or snapshot.
struct CodecError {
    std::string message;
};

/// Commands as they stand in log entries: CBOR, one object with its kind and every field.
[[nodiscard]] std::string encodeCommand(const Command& command);
[[nodiscard]] Result<Command, CodecError> decodeCommand(std::string_view payload);
/// Only where it is a change of replicas; any other command is not decoded further.
[[nodiscard]] std::optional<ChangeReplicas> decodeReplicaChange(std::string_view payload);

} // namespace saltvane::control
