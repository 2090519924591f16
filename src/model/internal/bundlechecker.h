/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/bundle.h"

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace saltvane::model {

/// Checks one bundle and collects the findings.
class BundleChecker {
public:
    explicit BundleChecker(const Bundle& bundle);

    [[nodiscard]] Findings check();

private:
    void checkTopLevel();
    void checkDelays();
    void checkRegionsAndZones();
    void checkRegionDelays();
    void checkLinkLimits();
    void checkClients();
    void checkOperators();
    void checkService(const Service& service);
    void checkServiceZones(const Service& service);
    void checkShiftCaps(const Service& service);
    void checkRepeatable(const Service& service);
    void checkServiceTimes(const Service& service);

    void add(const Location& location, std::string field, std::string message);
    void checkName(const Location& location, const std::string& field, const std::string& name);
    void checkRegion(const Location& location, const std::string& field, const RegionName& name);
    void checkCap(const Location& location, const std::string& field, const ShiftCap& cap);
    void checkRange(
        const Location& location, const std::string& field, Duration value, Duration minimum, Duration maximum);
    void checkRegionPair(
        const Location& location, const std::string& list, const RegionName& from, const RegionName& to);
    template <typename Entry> void checkNames(const std::vector<Entry>& entries, const std::string& field);

    const Bundle& bundle_;
    std::set<RegionName> regions_;
    std::set<ZoneName> zones_;
    Findings findings_;
};

} // namespace saltvane::model
