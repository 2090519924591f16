/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvane/internal/arguments.h"
#include "saltvane/internal/commandtable.h"
#include "saltvane/internal/exitcodes.h"

#include <curl/curl.h>
#include <iostream>
#include <sodium.h>

int main(int argc, char** argv)
{
    using namespace saltvane;
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
        std::cerr << "saltvane: libsodium or libcurl could not be initialised\n";
        return cli::ExitRefused;
    }
    const int exitCode = cli::runCommandLine({argv + 1, argv + argc}, SALTVANE_VERSION);
    curl_global_cleanup();
    return exitCode;
}
