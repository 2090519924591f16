/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/gatewaytarget.h"
#include "net/internal/responsehead.h"
#include "requests/headerfilter.h"

#include <string_view>

/// Parses response heads of targets line by line, and the load that their headers report.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    using namespace saltvane;
    std::string_view rest(reinterpret_cast<const char*>(data), size);
    net::ResponseHead head(size % 2 == 1);
    while (!rest.empty() && head.state() == net::ResponseHead::State::Reading) {
        const std::string_view line = rest.substr(0, std::min(rest.find('\n'), rest.size() - 1) + 1);
        rest.remove_prefix(line.size());
        if (head.addLine(line) == net::ResponseHead::State::Bad && head.error().empty())
            __builtin_trap();
    }
    (void)requests::endToEndHeaders(head.headers());
    gateway::GatewayTarget target;
    target.record.slots = 3;
    const Timestamp now {100s};
    target.updateLoad(requests::firstFieldValue(head.headers(), "Saltvane-Load"), now);
    target.updateLoad(std::string_view(reinterpret_cast<const char*>(data), size), now);
    if (target.load(now) < 0 || target.load(now) > 18)
        __builtin_trap();
    return 0;
}
