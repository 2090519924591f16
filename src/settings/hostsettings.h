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

/// A control host as the settings name it.
struct ControlHost {
    HostId host;
    model::Address linkAddress;
};

/// Key that targets of a service sign their announcements with (docs/TARGETS.md).
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
    uint64_t memoryBytes = 256ull * 1024 * 1024; ///< That the host may use.
};

/// Settings of one saltvaned (docs/SETTINGS.md).
struct HostSettings {
    std::string deployment;
    HostId host;
    ZoneName zone;
    RegionName region;
    bool isEntry = false;
    bool isControl = false;
    model::Address entryAddress; ///< HTTP, for callers, targets and operators.
    model::Address linkAddress; ///< Links of other hosts.
    std::vector<model::Address> seeds; ///< Link addresses.
    std::vector<ControlHost> controlHosts;
    std::string dataFolder; ///< Needed by the control role.
    std::string linkKey; ///< Authenticates links; at least 32 bytes.
    std::string tokenKey; ///< MACs idempotency tokens; at least 32 bytes.
    std::vector<AnnounceKey> announceKeys;
    std::vector<model::Operator> operators; ///< Who may sign the first bundle.
    Limits limits;
    Place place;
};

/// Parses and checks settings whole: all findings with their places, unknown keys included.
[[nodiscard]] Result<HostSettings, Findings> parseHostSettings(std::string_view text, std::string_view sourceName);
/// Reads a file; a file that cannot be read is a finding.
[[nodiscard]] Result<HostSettings, Findings> loadHostSettings(const std::string& path);

/// The same for bundles (docs/BUNDLES.md); includes model::checkBundle's findings.
[[nodiscard]] Result<model::Bundle, Findings> parseBundle(std::string_view text, std::string_view sourceName);
[[nodiscard]] Result<model::Bundle, Findings> loadBundle(const std::string& path);

} // namespace saltvane::settings
