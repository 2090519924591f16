/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/result.h"
#include "net/internal/diskcalls.h"

#include <string>
#include <string_view>

namespace saltvane::net {

/// Writes all bytes at `offset`, continuing after short writes.
[[nodiscard]] Result<Success, IoError> writeAll(
    IDiskCalls& disk, int fd, std::string_view bytes, off_t offset, const std::string& path);
[[nodiscard]] Result<std::string, IoError> readFile(const std::string& path);
/// Atomically replaces the content of the file `name` in `folder` and syncs it.
[[nodiscard]] Result<Success, IoError> replaceFile(
    IDiskCalls& disk, const std::string& folder, const std::string& name, std::string_view bytes);

/// Suffix of incompletely written files, which are removed when the folder is opened.
inline constexpr std::string_view UnfinishedSuffix = ".unfinished";

} // namespace saltvane::net
