/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "fatalfleet.h"

#include <gtest/gtest.h>
#include <map>

namespace saltvane::fleet::test {

namespace {

constexpr size_t Targets = 24;
constexpr size_t Leaving = 4;
/// From a target's word until it gets nothing more.
constexpr Duration LeaveLimit = 2500ms;

/// When a target that leaves by its own word alone was heard, by whom, and what reached it later.
class LeaveLedger {
public:
    LeaveLedger(Fleet& fleet, EndingTargets& targets)
    {
        targets.onAnswered.emplace_back(
            [this, &fleet](const EndingTargets::Contact& contact, const EndingTargets::Needs& needs) {
                if (!needs.isLeaving)
                    return;
                toldAt_.try_emplace({contact.target, contact.gateway}, fleet.registries().now());
                firstToldAt_.try_emplace(contact.target, fleet.registries().now());
            });
        targets.onArrival.emplace_back([this, &fleet](const EndingTargets::Contact& contact) {
            const auto told = toldAt_.find({contact.target, contact.gateway});
            if (told != toldAt_.end() && fleet.registries().now() > told->second + LeaveLimit)
                ++late_;
            const auto first = firstToldAt_.find(contact.target);
            if (first != firstToldAt_.end() && fleet.registries().now() > first->second + LeaveLimit)
                ++lateOfAny_;
        });
    }
    void forget() { toldAt_.clear(); }
    [[nodiscard]] size_t late() const { return late_; }
    /// Also of gateways that had not heard it from the target itself.
    [[nodiscard]] size_t lateOfAny() const { return lateOfAny_; }
    [[nodiscard]] size_t heard() const { return firstToldAt_.size(); }

private:
    std::map<std::pair<size_t, size_t>, Timestamp> toldAt_; ///< By target and gateway.
    std::map<size_t, Timestamp> firstToldAt_;
    size_t late_ = 0;
    size_t lateOfAny_ = 0;
};

} // namespace

// Guards against targets that say in their answers that they leave being sent new work, at any gateway, whatever their
// reports say.
TEST(TargetLeaveTest, ATargetThatSaysThatItLeavesGetsNoNewWorkFromAnyGateway)
{
    for (const size_t gateways : {size_t {9}, size_t {89}}) {
        FatalFleet fleet(5, {.count = Targets}, {.gateways = gateways}, {.perSecond = 144, .haveObjects = true});
        LeaveLedger ledger(fleet.fleet(), fleet.targets());
        fleet.run(4s);
        for (size_t target = 0; target < Leaving; ++target)
            fleet.targets().setNeeds(target, {.isLeaving = true});
        fleet.run(12s);
        EXPECT_EQ(ledger.heard(), Leaving) << gateways << " gateways";
        EXPECT_EQ(ledger.late(), 0U) << gateways << " gateways";
        EXPECT_EQ(ledger.lateOfAny(), 0U) << gateways << " gateways";
    }
}

// Guards against a gateway that is cut off from the registry going on to use a target that told it that it leaves.
TEST(TargetLeaveTest, ItHoldsAtAGatewayThatIsCutOff)
{
    FatalFleet fleet(6, {.count = Targets}, {.gateways = 3}, {.perSecond = 144, .haveObjects = true});
    LeaveLedger ledger(fleet.fleet(), fleet.targets());
    fleet.run(4s);
    for (size_t gateway = 0; gateway < 3; ++gateway)
        fleet.fleet().cutOffGateway(gateway, 20s);
    fleet.run(1s);
    for (size_t target = 0; target < Leaving; ++target)
        fleet.targets().setNeeds(target, {.isLeaving = true});
    fleet.run(12s);
    EXPECT_EQ(ledger.heard(), Leaving);
    EXPECT_EQ(ledger.late(), 0U);
}

} // namespace saltvane::fleet::test
