/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "trafficfleet.h"

#include <gtest/gtest.h>
#include <map>

namespace saltvane::fleet::test {

namespace {

constexpr size_t Targets = 24;
constexpr size_t Leaving = 4;
/// Time from a target's announcement of its leave until it gets no more requests.
constexpr Duration LeaveLimit = 2500ms;

/// Records which gateways were informed, and when, of targets that announce their leave in responses only, and counts
/// the requests that reach such a target later than LeaveLimit.
class LeaveLedger {
public:
    LeaveLedger(Fleet& fleet, CrashingTargets& targets)
    {
        targets.onResponse.emplace_back(
            [this, &fleet](const CrashingTargets::Exchange& exchange, const CrashingTargets::Signals& signals) {
                if (!signals.isLeaving)
                    return;
                informedAt_.try_emplace({exchange.target, exchange.gateway}, fleet.registries().now());
                firstInformedAt_.try_emplace(exchange.target, fleet.registries().now());
            });
        targets.onArrival.emplace_back([this, &fleet](const CrashingTargets::Exchange& exchange) {
            const auto informed = informedAt_.find({exchange.target, exchange.gateway});
            if (informed != informedAt_.end() && fleet.registries().now() > informed->second + LeaveLimit)
                ++lateRequests_;
            const auto first = firstInformedAt_.find(exchange.target);
            if (first != firstInformedAt_.end() && fleet.registries().now() > first->second + LeaveLimit)
                ++lateRequestsOfAnyGateway_;
        });
    }
    void clear() { informedAt_.clear(); }
    [[nodiscard]] size_t lateRequests() const { return lateRequests_; }
    /// Includes requests of gateways that got no such response from the target themselves.
    [[nodiscard]] size_t lateRequestsOfAnyGateway() const { return lateRequestsOfAnyGateway_; }
    [[nodiscard]] size_t announcedLeaves() const { return firstInformedAt_.size(); }

private:
    std::map<std::pair<size_t, size_t>, Timestamp> informedAt_; ///< By target and gateway.
    std::map<size_t, Timestamp> firstInformedAt_;
    size_t lateRequests_ = 0;
    size_t lateRequestsOfAnyGateway_ = 0;
};

} // namespace

// Guards against gateways that send new requests to a target that announces its leave in its responses, whatever its
// reports say.
TEST(TargetLeaveTest, ATargetThatAnnouncesItsLeaveGetsNoNewWorkFromAnyGateway)
{
    for (const size_t gateways : {size_t {9}, size_t {89}}) {
        TrafficFleet fleet(
            5, {.count = Targets}, {.gateways = gateways}, {.requestsPerSecond = 144, .haveObjects = true});
        LeaveLedger ledger(fleet.fleet(), fleet.targets());
        fleet.run(4s);
        for (size_t target = 0; target < Leaving; ++target)
            fleet.targets().setSignals(target, {.isLeaving = true});
        fleet.run(12s);
        EXPECT_EQ(ledger.announcedLeaves(), Leaving) << gateways << " gateways";
        EXPECT_EQ(ledger.lateRequests(), 0U) << gateways << " gateways";
        EXPECT_EQ(ledger.lateRequestsOfAnyGateway(), 0U) << gateways << " gateways";
    }
}

// Guards against a gateway that is cut off from the registry and goes on using a target that announced its leave to it.
TEST(TargetLeaveTest, ItHoldsAtAGatewayThatIsCutOff)
{
    TrafficFleet fleet(6, {.count = Targets}, {.gateways = 3}, {.requestsPerSecond = 144, .haveObjects = true});
    LeaveLedger ledger(fleet.fleet(), fleet.targets());
    fleet.run(4s);
    for (size_t gateway = 0; gateway < 3; ++gateway)
        fleet.fleet().cutOffGateway(gateway, 20s);
    fleet.run(1s);
    for (size_t target = 0; target < Leaving; ++target)
        fleet.targets().setSignals(target, {.isLeaving = true});
    fleet.run(12s);
    EXPECT_EQ(ledger.announcedLeaves(), Leaving);
    EXPECT_EQ(ledger.lateRequests(), 0U);
}

} // namespace saltvane::fleet::test
