/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/deployment.h"
#include "steering/isteering.h"

#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>

namespace saltvane::steering {

/// Grants credit in every zone except those that a test has excluded.
class FakeCreditView : public ICreditView {
public:
    [[nodiscard]] bool hasCredit(ServiceIndex /*service*/, ZoneIndex zone) const override
    {
        return !zonesWithoutCredit_.contains(zone.value);
    }
    void removeCredit(ZoneIndex zone) { zonesWithoutCredit_.insert(zone.value); }
    void restoreCredit(ZoneIndex zone) { zonesWithoutCredit_.erase(zone.value); }

private:
    std::set<uint32_t> zonesWithoutCredit_;
};

/// Three regions a, b and c with two zones each (a1, a2 ...) and one service.
inline model::Bundle smallBundle(uint64_t version = 1)
{
    model::Bundle bundle;
    bundle.deployment = "test";
    bundle.version = {version};
    model::Service service;
    service.name = ServiceName("pricing");
    service.shiftCap = {.share = 0.1, .window = 10s};
    for (const char* region : {"a", "b", "c"}) {
        bundle.regions.push_back({.name = RegionName(region)});
        for (const char* number : {"1", "2"}) {
            const ZoneName zone(std::string(region) + number);
            bundle.zones.push_back({.name = zone, .region = RegionName(region)});
            service.zones.push_back({.zone = zone, .open = 1});
        }
    }
    bundle.defaultClientRegion = RegionName("a");
    bundle.services.push_back(service);
    return bundle;
}

inline void setOpen(model::Bundle& bundle, const char* zone, double open)
{
    for (auto& share : bundle.services[0].zones) {
        if (share.zone == ZoneName(zone))
            share.open = open;
    }
}

inline model::DeploymentPtr deploy(model::Bundle bundle)
{
    const auto version = bundle.version.value;
    return std::make_shared<const model::Deployment>(std::move(bundle), LogPosition {.term = {1}, .index = {version}});
}

constexpr ServiceIndex Pricing {0};
constexpr RegionIndex RegionA {0};
constexpr RegionIndex RegionB {1};
constexpr RegionIndex RegionC {2};
constexpr ZoneIndex A1 {0};
constexpr ZoneIndex A2 {1};
constexpr ZoneIndex B1 {2};
constexpr uint32_t ZoneCount = 6;

/// Steering with the small bundle, and the capacities and demands that sendUpdate() passes to it.
class SteeringFixture : public ::testing::Test {
protected:
    static constexpr Duration TickInterval = 20ms;

    void start(model::Bundle bundle = smallBundle())
    {
        steering_ = makeSteering({.ownRegion = RegionA, .seed = 7, .counters = &counters_});
        steering_->install(deploy(std::move(bundle)), now_);
        rooms_.assign(ZoneCount, 100);
        demands_ = {60, 60, 60};
        sendUpdate();
    }

    void sendUpdate()
    {
        std::vector<ZoneRoom> rooms;
        for (uint32_t zone = 0; zone < rooms_.size(); ++zone) {
            if (rooms_[zone] > 0)
                rooms.push_back({.service = Pricing, .zone = {zone}, .room = rooms_[zone]});
        }
        std::vector<RegionDemand> demands;
        for (uint32_t region = 0; region < demands_.size(); ++region)
            demands.push_back({.service = Pricing, .clientRegion = {region}, .concurrency = demands_[region]});
        steering_->update(rooms, demands, now_);
    }

    void tick()
    {
        now_ += TickInterval;
        steering_->tick(now_);
    }

    void runFor(Duration length)
    {
        for (const auto end = now_ + length; now_ < end;)
            tick();
    }

    Result<Choice, Refusal> choose(RegionIndex region = RegionA)
    {
        return steering_->choose({.service = Pricing, .clientRegion = region}, credits_, now_);
    }

    /// Share of a zone in the row of a client region.
    double share(RegionIndex region, const char* zone) const
    {
        const auto row = steering_->rows()[region.value];
        for (size_t index = 0; index < row.zones.size(); ++index) {
            if (row.zones[index] == ZoneName(zone))
                return row.shares[index];
        }
        return 0;
    }

    Timestamp now_ {1000s};
    model::Counters counters_;
    std::unique_ptr<ISteering> steering_;
    std::vector<uint32_t> rooms_;
    std::vector<double> demands_;
    FakeCreditView credits_;
};

} // namespace saltvane::steering
