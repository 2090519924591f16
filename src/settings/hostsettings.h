/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/finding.h"
#include "base/ids.h"
#include "base/result.h"
#include "base/timetypes.h"
#include "model/bundle.h"
#include "model/hostmessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace saltvane::settings {

/// A control host listed in the settings.
struct ControlHost {
    HostId host;
    model::Address linkAddress;
};

/// Secret with which the targets of a service authenticate their announcements (docs/TARGETS.md).
struct AnnounceKey {
    ServiceName service;
    std::string secret; ///< Sent in the header Saltvane-Announce-Key.
};

struct Limits {
    uint64_t requestHeaderBytes = 32 * 1024;
    uint64_t requestBodyBytes = 4ull * 1024 * 1024 * 1024;
    uint32_t connections = 4096;
    Duration idleTimeout = 60s;
    Duration headerTimeout = 10s;
    Duration stopTimeLimit = 60s;
    uint64_t memoryBytes = 256ull * 1024 * 1024; ///< Memory that the host may use.
};

/// Settings of one saltvaned process (docs/SETTINGS.md).
struct HostSettings {
    std::string deployment;
    HostId host;
    ZoneName zone;
    RegionName region;
    bool isEntry = false;
    bool isControl = false;
    model::Address entryAddress; ///< HTTP address for callers, targets and operators.
    model::Address linkAddress; ///< Address for links from other hosts.
    std::vector<model::Address> seeds; ///< Link addresses of other hosts to connect to first.
    std::vector<ControlHost> controlHosts;
    std::string dataFolder; ///< Required by the control role.
    std::string linkKey; ///< Authenticates links; at least 32 bytes.
    std::string tokenKey; ///< MAC key of idempotency tokens; at least 32 bytes.
    std::vector<AnnounceKey> announceKeys;
    std::vector<model::Operator> operators; ///< Who may sign the first bundle.
    Limits limits;
    Location location;
};

/// Parses and checks settings. Reports all findings with their locations, including unknown keys.
[[nodiscard]] Result<HostSettings, Findings> parseHostSettings(std::string_view text, std::string_view sourceName);
/// The same for a file; a file that cannot be read is reported as a finding.
[[nodiscard]] Result<HostSettings, Findings> loadHostSettings(const std::string& path);

/// The same for bundles (docs/BUNDLES.md); includes the findings of model::checkBundle().
[[nodiscard]] Result<model::Bundle, Findings> parseBundle(std::string_view text, std::string_view sourceName);
[[nodiscard]] Result<model::Bundle, Findings> loadBundle(const std::string& path);

} // namespace saltvane::settings
