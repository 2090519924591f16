/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/ihostcore.h"

#include "host/internal/hostcore.h"

#include <utility>

namespace saltvane::host {

std::unique_ptr<IHostCore> makeHostCore(HostCoreOptions options)
{
    return std::make_unique<HostCore>(std::move(options));
}

} // namespace saltvane::host
