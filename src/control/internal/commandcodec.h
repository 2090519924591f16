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

/// Why bytes could not be decoded as a command.
struct CodecError {
    std::string message;
};

/// Encodes a command as the payload of a log entry: one CBOR object with the kind and every field.
[[nodiscard]] std::string encodeCommand(const Command& command);
[[nodiscard]] Result<Command, CodecError> decodeCommand(std::string_view payload);
/// No value for any other kind of command; those are not decoded further.
[[nodiscard]] std::optional<ChangeReplicas> decodeReplicaChange(std::string_view payload);

} // namespace saltvane::control
