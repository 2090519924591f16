/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/requestframing.h"
#include "registry/internal/calls.h"
#include "registry/internal/lookups.h"
#include "requests/headerfilter.h"

#include <string_view>

/// Parses request heads of callers: a line with the method, one with the target, then lines "name: value".
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    using namespace saltvane;
    std::string_view rest(reinterpret_cast<const char*>(data), size);
    const auto readLine = [&] {
        const std::string_view line = rest.substr(0, rest.find('\n'));
        rest.remove_prefix(std::min(rest.size(), line.size() + 1));
        return line;
    };
    net::RequestHead head {.method = std::string(readLine()), .target = std::string(readLine())};
    while (!rest.empty()) {
        const std::string_view line = readLine();
        const size_t colon = std::min(line.find(':'), line.size());
        head.headers.push_back({.name = std::string(line.substr(0, colon)),
            .value = std::string(line.substr(std::min(colon + 1, line.size())))});
    }
    (void)net::readFraming(head);
    (void)net::pathOf(head.target);
    (void)requests::endToEndHeaders(head.headers);
    const requests::HttpRequestStarted request {.method = head.method, .path = head.target, .headers = head.headers};
    (void)registry::readCall(request, settings::HeaderNames {});
    (void)registry::queryValue(head.target, "zone");
    return 0;
}
