/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/calls.h"
#include "registry/internal/refusedreports.h"
#include "registry/internal/targetreports.h"

#include <string_view>

/// Parses heartbeats and leave reports of targets: the first line is the id in the path, the rest is the body. The
/// response and the log line can be written for any input.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    using namespace saltvane;
    const std::string_view input(reinterpret_cast<const char*>(data), size);
    const size_t line = std::min(input.find('\n'), input.size());
    const TargetId target(input.substr(0, line));
    const std::string_view body = input.substr(std::min(line + 1, input.size()));
    const auto heartbeat = registry::readTargetHeartbeat(target, body);
    if (heartbeat && (heartbeat.value().slots == 0 || heartbeat.value().slowStartLeft < Duration::zero()))
        __builtin_trap();
    registry::RefusedReports refused;
    if (!heartbeat) {
        (void)registry::findingsAnswer({}, heartbeat.error().items());
        (void)refused.record(target.value(), heartbeat.error(), Timestamp {10s});
    }
    (void)registry::readTargetLeave(target, body);
    return 0;
}
