/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <string_view>

namespace saltvane::model {

/// Whether a request path (which may have a query) equals `prefix` or is below it, comparing whole segments.
/// Returns false for every path that a target could normalize to another one (dot segments, encoded dots or slashes,
/// empty segments): a request must not be repeated in case of doubt.
[[nodiscard]] bool isPathUnder(std::string_view path, std::string_view prefix);

} // namespace saltvane::model
