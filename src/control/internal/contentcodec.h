/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// Compression (zstd) of plans and bundles: texts in which most repeats, and of which each is most of the one before.
/// A plan of 4,223 routes (786 kB) takes 69 kB; against a plan of 1,400 routes less 23 kB, against one that differs in
/// a weight 0.1 kB. Compressing takes 1.7 ms of a core and 0.6 MB meanwhile, the other way 0.3 ms (zstd 1.5.4, level
/// 1).
namespace saltvane::control {

/// `base`: a text that the decoder holds as well; may be empty.
[[nodiscard]] std::string compressContent(std::string_view content, std::string_view base);

/// None where the bytes are damaged, were compressed against another base, or stand for more than `largest` bytes.
[[nodiscard]] std::optional<std::string> decompressContent(
    std::string_view compressed, std::string_view base, size_t largest);

} // namespace saltvane::control
