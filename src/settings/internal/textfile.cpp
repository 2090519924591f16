/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "settings/internal/textfile.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace saltvane::settings {
namespace {

IoError currentError(const std::string& path)
{
    const int code = errno;
    return {.location = path, .message = code == 0 ? "input error" : std::strerror(code), .code = code};
}

} // namespace

Result<std::string, IoError> readTextFile(const std::string& path)
{
    errno = 0;
    const std::ifstream file(path, std::ios::binary);
    if (!file)
        return currentError(path);
    std::ostringstream content;
    content << file.rdbuf();
    // Stream state cannot be used here: an empty file sets failbit of `content`. A directory can be opened but not
    // read, which sets errno.
    if (errno != 0)
        return currentError(path);
    return content.str();
}

Findings fileFinding(const IoError& error)
{
    Findings findings;
    findings.add({.location = {.source = error.location}, .field = "", .message = "cannot be read: " + error.message});
    return findings;
}

} // namespace saltvane::settings
