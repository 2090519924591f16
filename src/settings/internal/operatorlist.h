/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "settings/hostsettings.h"
#include "settings/internal/yamlreader.h"

namespace saltvane::settings {

enum class OperatorChecks { Run, Skip };

/// Reads the list `operators` of {name, public_key}, which settings and bundles share. Bundles skip the checks, because
/// model::checkBundle() does them.
[[nodiscard]] std::vector<model::Operator> readOperators(YamlReader& root, OperatorChecks checks);

} // namespace saltvane::settings
