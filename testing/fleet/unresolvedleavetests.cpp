/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "fleet.h"
#include "leavingtargets.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

/// Targets that state their start in their reports, but not in the call by which they leave.
namespace saltvane::fleet::test {

namespace {

constexpr size_t Targets = 24;
constexpr size_t Registries = 6;
/// Time from the acknowledgement of a leave until the target gets no more requests.
constexpr Duration LeaveLimit = 2500ms;

class UnresolvedLeaveTest : public testing::Test {
protected:
    UnresolvedLeaveTest()
    {
        constexpr Duration StartTimeout = 10s;
        EXPECT_TRUE(fleet_.putPlan(0, makePlan(1, {{"/read/", "quotes"}})));
        EXPECT_TRUE(fleet_.runUntil([this] { return fleet_.isPlanInForceEverywhere(1); }, StartTimeout));
        fleet_.onStep = [this] { targets_.step(); };
        targets_.onAcknowledged = [this](size_t /*registry*/) { ++acknowledged_; };
    }
    void run(Duration duration) { fleet_.run(duration); }
    /// Targets that state their start in their reports only.
    [[nodiscard]] std::vector<size_t> leavingTargets() const
    {
        std::vector<size_t> leaving;
        for (size_t target = 0; target < targets_.size(); ++target) {
            if (targets_.startStatementOf(target) == LeavingTargets::StartStatement::Reports)
                leaving.push_back(target);
        }
        return leaving;
    }
    void leave()
    {
        for (const size_t target : leavingTargets())
            targets_.startLeave(target, LeavingTargets::LeaveKind::Call);
        ASSERT_TRUE(fleet_.runUntil([this] { return acknowledged_ == leavingTargets().size(); }, 2s));
    }
    /// The targets that any gateway uses, by address.
    [[nodiscard]] std::set<model::Address> usedAddresses()
    {
        constexpr int Lookups = 200;
        std::set<model::Address> used;
        for (size_t gateway = 0; gateway < fleet_.gateways(); ++gateway) {
            for (int i = 0; i < Lookups; ++i) {
                const Fleet::Outcome outcome = fleet_.sendRequest(gateway, "/read/1", std::to_string(i));
                if (outcome.target)
                    used.insert(outcome.address);
            }
        }
        return used;
    }
    /// The leaving targets that any gateway uses at their present address.
    [[nodiscard]] size_t countUsed()
    {
        const std::set<model::Address> used = usedAddresses();
        const std::vector<size_t> leaving = leavingTargets();
        return static_cast<size_t>(
            std::ranges::count_if(leaving, [&](size_t target) { return used.contains(targets_.addressOf(target)); }));
    }

    Fleet fleet_;
    LeavingTargets targets_ {fleet_.registries(), Targets, 1};
    size_t acknowledged_ = 0;
};

} // namespace

// Guards against gateways that start after a leave was acknowledged and use the target, since the registry host that it
// reported to lists it and the order doesn't state its start.
TEST_F(UnresolvedLeaveTest, GatewaysThatStartAfterwardsDoNotUseTheTarget)
{
    run(4s);
    ASSERT_EQ(countUsed(), leavingTargets().size());
    leave();
    for (size_t gateway = 0; gateway < fleet_.gateways(); ++gateway)
        fleet_.restartGateway(gateway);
    run(LeaveLimit);
    EXPECT_EQ(countUsed(), 0U);
    run(5s);
    EXPECT_EQ(countUsed(), 0U);
}

// Guards against the same after a restart of all registry hosts and gateways.
TEST_F(UnresolvedLeaveTest, RestartOfAllHostsDoesNotBringTheTargetBack)
{
    run(4s);
    leave();
    for (size_t registry = 0; registry < Registries; ++registry)
        fleet_.killRegistry(registry);
    for (size_t gateway = 0; gateway < fleet_.gateways(); ++gateway)
        fleet_.restartGateway(gateway);
    for (size_t registry = 0; registry < Registries; ++registry)
        fleet_.startRegistry(registry);
    run(LeaveLimit);
    EXPECT_EQ(countUsed(), 0U);
    run(5s);
    EXPECT_EQ(countUsed(), 0U);
}

// Guards against targets that stay unused after they started again under their id.
TEST_F(UnresolvedLeaveTest, TargetsThatStartAgainAreUsed)
{
    run(4s);
    leave();
    run(LeaveLimit);
    for (const size_t target : leavingTargets())
        targets_.restart(target);
    run(3s);
    EXPECT_EQ(countUsed(), leavingTargets().size());
    for (size_t gateway = 0; gateway < fleet_.gateways(); ++gateway)
        fleet_.restartGateway(gateway);
    run(4s);
    EXPECT_EQ(countUsed(), leavingTargets().size());
}

} // namespace saltvane::fleet::test
