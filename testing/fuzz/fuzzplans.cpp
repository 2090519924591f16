/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/calls.h"
#include "settings/routeplanformat.h"
#include "settings/routeplanreader.h"

#include <string_view>

/// Parses route plans: each is accepted completely or rejected with findings, and RoutePlanReader, which reads
/// successive plans, gives the same result as parseRoutePlan().
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    using namespace saltvane;
    const std::string_view content(reinterpret_cast<const char*>(data), size);
    const auto plan = settings::parseRoutePlan(content, "plan");
    if (!plan)
        (void)registry::findingsAnswer({}, plan.error().items());
    else if (plan.value().version != registry::uncheckedVersion(content))
        __builtin_trap();
    (void)registry::uncheckedServices(content);
    settings::RoutePlanReader reader;
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto read = reader.read(content, "plan");
        const bool isSame
            = read.isOk() == plan.isOk() && (!read || read.value().routes.size() == plan.value().routes.size());
        if (!isSame)
            __builtin_trap();
    }
    return 0;
}
