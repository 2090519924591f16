/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <string_view>

/// Syntax checks shared by bundles and settings.
namespace saltvane::model {

constexpr std::string_view NameRule = "must have 1 to 64 letters, digits, '-', '_' or '.', and not start with '.'";
constexpr std::string_view PublicKeyRule = "must be 32 bytes in base64";

/// Whether the text is a valid name of a host, zone, region, service, operator or deployment. Such names are safe in
/// headers, paths and file names.
[[nodiscard]] bool isName(std::string_view text);
/// Whether the text has the form of an Ed25519 public key in padded base64. Whether it is a point on the curve is
/// checked when the key is used.
[[nodiscard]] bool isPublicKey(std::string_view text);

} // namespace saltvane::model
