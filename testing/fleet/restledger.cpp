/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "restledger.h"

#include <algorithm>

namespace saltvane::fleet::test {

namespace {

constexpr Duration ToldFor = 500ms;

} // namespace

RestLedger::RestLedger(Fleet& fleet, EndingTargets& targets)
    : fleet_(fleet)
{
    targets.onArrival.emplace_back([this](const EndingTargets::Contact& contact) {
        const auto found = current_.find({contact.start, contact.gateway});
        if (found == current_.end() || now() < found->second.from || now() >= found->second.until)
            return;
        most_ = std::max(most_, ++found->second.requests);
    });
    targets.onAnswered.emplace_back([this](const EndingTargets::Contact& contact, const EndingTargets::Needs& needs) {
        if (!needs.rest)
            return;
        ++turnedAway_;
        const auto [rest, isNew] = current_.try_emplace({contact.start, contact.gateway});
        if (!isNew && now() < rest->second.until)
            return;
        ++rests_;
        rest->second = {.from = now() + ToldFor, .until = now() + *needs.rest};
    });
}

void RestLedger::excuse(size_t gateway)
{
    std::erase_if(current_, [&](const auto& rest) { return rest.first.second == gateway; });
}

} // namespace saltvane::fleet::test
