/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/servingdeployment.h"

#include <cmath>
#include <numeric>
#include <sstream>

namespace saltvane::host {

using namespace fakes;

namespace {

constexpr Duration BinDuration = 2s;
constexpr Duration CapWindow = 10s;
constexpr double CapShare = 0.1;
/// The counts of a bin deviate from the shares by about one request for each host and region.
constexpr double CountingError = 0.04;

/// The plan with the larger failover caps removed from its bundles, so that every movement must keep to the shift cap.
DeploymentPlan planWithOneCap()
{
    DeploymentPlan plan = loadDeploymentPlan(ValoriaFolder);
    const std::string failoverCap = "    failover_cap: {share: 0.5, window_s: 10}\n";
    for (std::string& bundle : plan.bundles)
        bundle = edited(edited(bundle, failoverCap, ""), failoverCap, "");
    return plan;
}

/// The zones that the requests of each client region went to, as shares of its requests, in time bins. Refused requests
/// count for no zone.
class TrafficShares {
public:
    explicit TrafficShares(FakeDeployment& deployment)
        : deployment_(deployment)
    {
    }

    /// Adds a bin with the requests recorded since the last call.
    void closeBin()
    {
        std::map<RegionName, std::map<ZoneName, double>> bin;
        const std::vector<requests::AccessRecord>& records = deployment_.accessRecords();
        for (; next_ < records.size(); ++next_) {
            const requests::AccessRecord& record = records[next_];
            if (!record.isOwnerSide)
                bin[record.clientRegion][destinationOf(record)] += 1;
        }
        for (auto& [region, zones] : bin) {
            const double sum = std::accumulate(
                zones.begin(), zones.end(), 0.0, [](double total, const auto& item) { return total + item.second; });
            for (auto& [zone, count] : zones)
                count /= sum;
        }
        bins_.push_back(std::move(bin));
    }

    /// The bins and the movement since the first one, for messages of failed tests.
    [[nodiscard]] std::string text() const
    {
        std::ostringstream text;
        for (size_t bin = 0; bin < bins_.size(); ++bin) {
            text << "\n" << bin << " moved since the first: " << movement(0, bin);
            for (const auto& [region, shares] : bins_[bin]) {
                text << " | " << region.value();
                for (const auto& [zone, share] : shares)
                    text << " " << zone.value() << "=" << share;
            }
        }
        return text.str();
    }

    /// Largest movement, averaged over the regions, between two bins that lie within the window.
    [[nodiscard]] double maxMovement() const
    {
        const size_t reach = static_cast<size_t>(CapWindow / BinDuration) - 1;
        double largest = 0;
        for (size_t first = 0; first < bins_.size(); ++first) {
            for (size_t second = first + 1; second < bins_.size() && second - first <= reach; ++second)
                largest = std::max(largest, movement(first, second));
        }
        return largest;
    }

    [[nodiscard]] double shareOf(size_t bin, const RegionName& region, const ZoneName& zone) const
    {
        const auto& zones = bins_.at(bin).at(region);
        return zones.contains(zone) ? zones.at(zone) : 0;
    }

private:
    static ZoneName destinationOf(const requests::AccessRecord& record)
    {
        return record.outcome == model::Outcome::NotRun ? ZoneName {} : record.zone;
    }

    /// Share of the traffic that moved from one zone to another. Traffic that is refused, or no longer refused, has not
    /// moved between zones.
    [[nodiscard]] double movement(size_t first, size_t second) const
    {
        double sum = 0;
        for (const auto& [region, shares] : bins_[first]) {
            double left = 0;
            double arrived = 0;
            for (const ZoneName& zone : zonesOf(deployment_)) {
                const double difference = shareOf(second, region, zone) - shareOf(first, region, zone);
                (difference < 0 ? left : arrived) += std::abs(difference);
            }
            sum += std::min(left, arrived);
        }
        return sum / static_cast<double>(bins_[first].size());
    }

    static std::vector<ZoneName> zonesOf(const FakeDeployment& deployment)
    {
        std::vector<ZoneName> zones;
        for (const model::Zone& zone : deployment.plan().first->bundle().zones)
            zones.push_back(zone.name);
        return zones;
    }

    FakeDeployment& deployment_;
    size_t next_ = 0;
    std::vector<std::map<RegionName, std::map<ZoneName, double>>> bins_;
};

void runBins(ServingDeployment& serving, TrafficShares& traffic, int bins)
{
    for (int i = 0; i < bins; ++i) {
        serving.run(BinDuration);
        traffic.closeBin();
    }
}

} // namespace

TEST(ShiftTests, MeasuredTrafficKeepsToTheCapDuringAShiftWithARestartAndACut)
{
    ServingDeployment serving({.plan = planWithOneCap(),
        .requestsPerSecond = 400,
        .tokenKeyPercent = 0,
        .services = {ServiceName("valuator")}});
    FakeDeployment& deployment = serving.deployment;
    TrafficShares traffic(deployment);
    serving.run(2s);
    traffic.closeBin();
    ASSERT_TRUE(deployment.putInForce(deployment.plan().bundles.at(1), {2})) << deployment.describe();
    runBins(serving, traffic, 4);
    deployment.host(HostId("uio-carolina-1")).kill();
    runBins(serving, traffic, 1);
    deployment.host(HostId("uio-carolina-1")).start();
    runBins(serving, traffic, 3);
    deployment.cutOff(ZoneName("gye-ceibos"));
    runBins(serving, traffic, 3);
    deployment.heal();
    runBins(serving, traffic, 4);
    EXPECT_LE(traffic.maxMovement(), CapShare + CountingError) << traffic.text();
    const RegionName quito("quito");
    const ZoneName closed("uio-carolina");
    EXPECT_LT(traffic.shareOf(15, quito, closed), traffic.shareOf(0, quito, closed) - 0.1) << "the shift goes on";
    serving.finish();
}

TEST(ShiftTests, RowsOfAllHostsKeepToTheCapWhileEveryHostRestarts)
{
    ServingDeployment serving({.plan = planWithOneCap(), .requestsPerSecond = 60});
    FakeDeployment& deployment = serving.deployment;
    ASSERT_TRUE(deployment.putInForce(deployment.plan().bundles.at(1), {2})) << deployment.describe();
    for (FakeHost* host : deployment.hosts()) {
        host->kill();
        serving.run(300ms);
        host->start();
        serving.run(1200ms);
    }
    serving.finish();
    EXPECT_GT(serving.monitor.maxMovement(), 0.05) << "the shift goes on";
}

} // namespace saltvane::host
