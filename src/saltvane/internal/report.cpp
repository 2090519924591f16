/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvane/internal/report.h"

#include <iostream>

namespace saltvane::cli {

int reportError(const ClientError& error)
{
    std::cerr << "saltvane: " << error.message << "\n";
    return error.exitCode;
}

} // namespace saltvane::cli
