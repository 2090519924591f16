/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/finding.h"

#include <string>
#include <vector>

namespace saltvane::settings {

constexpr const char* ValidHost = R"(deployment: test
host: n1-1
zone: n1
region: north
roles: [entry, control]
entry_address: 127.0.0.1:18080
link_address: 127.0.0.1:18081
seeds: [127.0.0.2:18081]
control_hosts:
  - {host: n1-1, link_address: "127.0.0.1:18081"}
  - {host: s1-1, link_address: "127.0.0.2:18081"}
data_folder: run/n1-1
link_key: 0123456789abcdef0123456789abcdef
token_key: fedcba9876543210fedcba9876543210
announce_keys:
  - {service: prices, secret: 0123456789abcdef}
operators:
  - {name: ana, public_key: "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="}
  - {name: luz, public_key: "BAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="}
limits:
  connections: 100
  idle_timeout_s: 2.5
)";

constexpr const char* ValidBundle = R"(deployment: test
version: 7
objective: headroom
delays: {between_zones_ms: 1.5, between_regions_ms: 12, to_clients_ms: 1}
regions:
  - {name: north, zones: [n1, n2]}
  - {name: south, zones: [s1]}
region_delays:
  - {from: north, to: south, delay_ms: 3}
link_limits:
  - {from: north, to: south, requests_in_flight: 5}
clients:
  default_region: north
  blocks:
    - {prefix: 10.0.0.0/8, region: south}
services:
  - name: prices
    zones:
      - {zone: n1, open: 0.5}
      - {zone: s1}
    shift_cap: {share: 0.2, window_s: 30}
    repeatable:
      - {method: GET, path_prefix: /nav}
    default_deadline_ms: 500
)";

/// "line:column field" of each finding.
inline std::vector<std::string> summaryOf(const Findings& findings)
{
    std::vector<std::string> result;
    for (const Finding& finding : findings.items())
        result.push_back(std::to_string(finding.location.line) + ":" + std::to_string(finding.location.column) + " "
            + finding.field);
    return result;
}

/// `text` with the first occurrence of `from` replaced by `to`.
inline std::string replaceFirst(std::string text, const std::string& from, const std::string& to)
{
    const size_t start = text.find(from);
    if (start != std::string::npos)
        text.replace(start, from.size(), to);
    return text;
}

} // namespace saltvane::settings
