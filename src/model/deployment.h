/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "model/bundle.h"

#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace saltvane::model {

/// A bundle compiled into tables for fast access. Immutable; shared by all components that work with this bundle.
class Deployment {
public:
    /// `bundle` must be free of findings (checkBundle).
    Deployment(Bundle bundle, LogPosition position);
    ~Deployment();

    [[nodiscard]] const Bundle& bundle() const { return bundle_; }
    /// Position in the replicated log at which this bundle came into force.
    [[nodiscard]] LogPosition position() const { return position_; }

    [[nodiscard]] uint32_t zoneCount() const;
    [[nodiscard]] uint32_t regionCount() const;
    [[nodiscard]] uint32_t serviceCount() const;
    [[nodiscard]] std::optional<ZoneIndex> findZone(const ZoneName& name) const;
    [[nodiscard]] std::optional<RegionIndex> findRegion(const RegionName& name) const;
    [[nodiscard]] std::optional<ServiceIndex> findService(const ServiceName& name) const;
    [[nodiscard]] const Zone& zone(ZoneIndex index) const;
    [[nodiscard]] const Region& region(RegionIndex index) const;
    [[nodiscard]] const Service& service(ServiceIndex index) const;
    [[nodiscard]] RegionIndex regionOf(ZoneIndex zone) const;
    /// Fraction of a zone's capacity that is open for a service; 0 if the bundle does not list the zone for it.
    [[nodiscard]] double openShare(ServiceIndex service, ZoneIndex zone) const;
    /// One-way delay between two regions or two zones; 0 if they are the same.
    [[nodiscard]] Duration delay(RegionIndex from, RegionIndex to) const;
    [[nodiscard]] Duration delay(ZoneIndex from, ZoneIndex to) const;
    /// All zones ordered by delay from a region, nearest first; ties are ordered by index.
    [[nodiscard]] std::span<const ZoneIndex> zonesByDelay(RegionIndex from) const;
    /// Maximum number of requests in flight from one region to another; no value if unlimited.
    [[nodiscard]] std::optional<uint32_t> linkLimit(RegionIndex from, RegionIndex to) const;
    /// Region of a client address by longest-prefix match; the default region if no block matches or the text is not an
    /// address.
    [[nodiscard]] RegionIndex clientRegion(std::string_view address) const;
    [[nodiscard]] bool isRepeatable(ServiceIndex service, std::string_view method, std::string_view path) const;

private:
    struct Tables;
    Bundle bundle_;
    LogPosition position_;
    std::unique_ptr<const Tables> tables_;
};

using DeploymentPtr = std::shared_ptr<const Deployment>;

} // namespace saltvane::model
