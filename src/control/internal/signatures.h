/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/bundle.h"

#include <span>
#include <string>
#include <string_view>

namespace saltvane::control {

/// Verifies an Ed25519 signature of `text`. Signature and key are in base64; false if either is malformed.
[[nodiscard]] bool isSignatureOf(std::string_view text, std::string_view signature, std::string_view publicKey);
[[nodiscard]] const model::Operator* findOperator(std::span<const model::Operator> operators, const OperatorName& name);

} // namespace saltvane::control
