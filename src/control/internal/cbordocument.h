/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace saltvane::control {

[[nodiscard]] std::string encodeCbor(const nlohmann::json& document);
/// No value if the bytes are not exactly one document, are nested too deeply or declare more items than they can hold.
[[nodiscard]] std::optional<nlohmann::json> decodeCbor(std::string_view bytes);

} // namespace saltvane::control
