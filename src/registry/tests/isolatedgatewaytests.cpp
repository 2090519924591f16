/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/peerdirectory.h"
#include "registrycluster.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace saltvane::registry::test {

namespace {

const std::string LookUp = "/v1/entry?name=h&region=north&zone=north-a";

class IsolatedGatewayTest : public testing::Test {
protected:
    IsolatedGatewayTest()
        : cluster_(1)
    {
        (void)cluster_.runUntil([&] { return cluster_.leader().has_value(); });
    }
    void heartbeat(const std::string& host, const std::string& zone, const std::string& region, bool isIsolated)
    {
        cluster_.gatewayHeartbeat(0, host, zone, region, model::HostState::Serving, isIsolated);
    }
    std::string lookUp()
    {
        const auto answer = cluster_.call(0, "GET", LookUp);
        return answer ? answer->body : "";
    }

    RegistryCluster cluster_;
};

std::vector<model::PeerRecord> fleetOf(size_t gateways)
{
    constexpr size_t ZonesPerRegion = 3;
    constexpr size_t Zones = 12;
    std::vector<model::PeerRecord> fleet;
    for (size_t i = 0; i < gateways; ++i) {
        const size_t zone = i % Zones;
        fleet.push_back({.host = HostId("g-" + std::to_string(i)),
            .zone = ZoneName("z-" + std::to_string(zone)),
            .region = RegionName("r-" + std::to_string(zone / ZonesPerRegion)),
            .frontAddress = {}});
    }
    std::ranges::sort(fleet, {}, &model::PeerRecord::host);
    return fleet;
}

} // namespace

// Guards against look-ups that name gateways which reach no target while others do.
TEST_F(IsolatedGatewayTest, LookUpsLeaveOutIsolatedGateways)
{
    heartbeat("10.0.1.1:7000", "north-a", "north", false);
    heartbeat("10.0.1.2:7000", "north-a", "north", true);
    EXPECT_EQ(lookUp().find("10.0.1.2"), std::string::npos);
    EXPECT_NE(lookUp().find("10.0.1.1"), std::string::npos);
    heartbeat("10.0.1.2:7000", "north-a", "north", false);
    EXPECT_NE(lookUp().find("10.0.1.2"), std::string::npos);
}

// Guards against callers of a zone whose gateways are all isolated being left without a gateway, or with isolated ones.
TEST_F(IsolatedGatewayTest, WhereAZoneIsIsolatedLookUpsNameTheRegionsOthers)
{
    heartbeat("10.0.1.1:7000", "north-a", "north", true);
    heartbeat("10.0.1.2:7000", "north-b", "north", false);
    heartbeat("10.0.1.3:7000", "south-a", "south", false);
    EXPECT_NE(lookUp().find("10.0.1.2"), std::string::npos);
    EXPECT_EQ(lookUp().find("10.0.1.1"), std::string::npos);
    heartbeat("10.0.1.2:7000", "north-b", "north", true);
    heartbeat("10.0.1.3:7000", "south-a", "south", true);
    EXPECT_NE(lookUp().find("10.0.1.1"), std::string::npos) << "an isolated gateway is better than none";
}

// Guards against isolated gateways that learn of no peer, or of peers that are isolated as well.
TEST_F(IsolatedGatewayTest, PeersAreGatewaysThatReachTargets)
{
    heartbeat("10.0.1.1:7000", "north-a", "north", true);
    heartbeat("10.0.1.2:7000", "north-a", "north", true);
    heartbeat("10.0.1.3:7000", "north-b", "north", false);
    heartbeat("10.0.1.4:7000", "south-a", "south", false);
    (void)cluster_.drainSentTo("10.0.1.1:7000");
    cluster_.deliverFromGateway(0, HostId("10.0.1.1:7000"), {1}, model::PeerRequest {});
    std::vector<HostId> peers;
    for (const model::Message& message : cluster_.drainSentTo("10.0.1.1:7000")) {
        if (const auto* report = std::get_if<model::PeerReport>(&message)) {
            for (const model::PeerRecord& peer : report->peers)
                peers.push_back(peer.host);
        }
    }
    EXPECT_EQ(peers, (std::vector<HostId> {HostId("10.0.1.3:7000"), HostId("10.0.1.4:7000")}));
}

// Guards against peer lists that grow with the number of gateways, and against one peer for a whole zone.
TEST(PeerDirectoryTest, EachGatewayHasFewPeersAndIsThePeerOfFew)
{
    for (const size_t gateways : {size_t {10}, size_t {100}, size_t {984}, size_t {2000}}) {
        const std::vector<model::PeerRecord> fleet = fleetOf(gateways);
        PeerDirectory directory;
        directory.update(fleet);
        std::map<HostId, size_t> selections;
        for (const model::PeerRecord& gateway : fleet) {
            const std::vector<model::PeerRecord> peers
                = directory.peersOf({.host = gateway.host, .zone = gateway.zone, .region = gateway.region});
            EXPECT_LE(peers.size(), 7U) << gateways;
            EXPECT_EQ(std::ranges::count(peers, gateway.host, &model::PeerRecord::host), 0) << gateways;
            for (const model::PeerRecord& peer : peers) {
                if (peer.region == gateway.region)
                    ++selections[peer.host];
            }
        }
        for (const auto& [host, count] : selections)
            EXPECT_LE(count, 8U) << host.value() << " of " << gateways;
    }
}

} // namespace saltvane::registry::test
