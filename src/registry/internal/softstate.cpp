/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/registrycore.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <xxhash.h>

/// The part of RegistryCore that recalls targets after a restart. Targets report every 1 to 2 s: when all registry
/// hosts and gateways restart, gateways would learn of the targets that much later than of the plan, and refuse
/// requests that could be served. Recalled targets are only hints: requests to a target carry its id, so that another
/// process at its address doesn't run them; recalled targets are sent only once the log is proven current; and they
/// expire unless the target reports within model::TargetHeartbeatTimeout. docs/design/0011-common-restart.md
namespace saltvane::registry {

namespace {

/// At most one write, of a few syncs, in this time. A crash loses the changes of targets within it.
constexpr Duration SoftStateInterval = 1s;
/// The same for verdicts, which are rare: where all hosts forget one, its request crashes further targets.
constexpr Duration VerdictInterval = 100ms;
/// The same for failures that may lead to a verdict. There are more of these than verdicts when many targets fail.
constexpr Duration UnconfirmedInterval = 300ms;

/// Covers what matters after a restart; excludes the time of the last report, which changes all the time.
uint64_t contentHash(const model::TargetReport& state)
{
    uint64_t hash = state.orders.index.value + 1;
    for (const model::TargetRecord& record : state.targets) {
        const bool isSlow = record.slowStartLeft > Duration::zero();
        const std::string text = record.target.value() + '|' + std::to_string(record.incarnation.value) + '|'
            + toString(record.address) + '|' + record.service.value() + '|' + record.zone.value() + '|'
            + std::to_string(record.slots) + (isSlow ? "|slow" : "|");
        hash = XXH64(text.data(), text.size(), hash);
    }
    return hash;
}

} // namespace

void RegistryCore::recallTargets(Timestamp now)
{
    if (recalled_.empty())
        return;
    const std::vector<model::TargetRecord> records = std::exchange(recalled_, {});
    targets_.recall(records, now);
    log(host::LogSeverity::Info, "event=targets_recalled count=" + std::to_string(records.size()));
}

/// Needs no proof of the log: orders don't affect verdicts.
void RegistryCore::recallSuspects(Timestamp now)
{
    if (recalledSuspects_.empty())
        return;
    const std::vector<model::SuspectRequest> recalled = std::exchange(recalledSuspects_, {});
    suspects_.record(recalled, now);
    writtenVerdictChanges_ = suspects_.verdictChanges(); // They are on the disk.
    writtenUnconfirmedChanges_ = suspects_.unconfirmedChanges();
    const size_t verdicts = suspects_.blamedCount();
    log(host::LogSeverity::Info,
        "event=verdicts_recalled count=" + std::to_string(verdicts)
            + " unconfirmed=" + std::to_string(recalled.size() - std::min(verdicts, recalled.size())));
}

void RegistryCore::releaseRecalled(Timestamp now)
{
    if (isRecallReleased_ || !replica_->isCurrent(now))
        return;
    isRecallReleased_ = true;
    targets_.releaseRecalled(retired_);
    nextReportAt_ = now;
}

/// After a restart, only orders after this position are treated as new. It precedes each recent reopening of a zone.
LogPosition RegistryCore::settledOrdersPosition(Timestamp now) const
{
    LogPosition settled = appliedOrdersPosition_;
    for (const model::ReopenedZone& zone : recentlyReopenedZones(std::numeric_limits<size_t>::max(), now)) {
        const LogPosition before {.term = zone.position.term, .index = {zone.position.index.value - 1}};
        settled = std::min(settled, before);
    }
    return settled;
}

Duration RegistryCore::softStateInterval() const
{
    if (suspects_.verdictChanges() != writtenVerdictChanges_)
        return VerdictInterval;
    return suspects_.unconfirmedChanges() != writtenUnconfirmedChanges_ ? UnconfirmedInterval : SoftStateInterval;
}

void RegistryCore::writeSoftState(Timestamp now)
{
    const bool isFirstTick = softStateCheckedAt_ == Timestamp {};
    if (now - softStateCheckedAt_ < softStateInterval())
        return;
    softStateCheckedAt_ = now;
    if (isFirstTick) // The disk is busy while the host starts.
        return;
    writtenVerdictChanges_ = suspects_.verdictChanges();
    writtenUnconfirmedChanges_ = suspects_.unconfirmedChanges();
    // Iterates over all targets only if a target, an order or a suspect changed.
    const LogPosition settledOrders = settledOrdersPosition(now);
    const std::tuple version(targets_.changes(), appliedOrdersPosition_, settledOrders, suspects_.verdictChanges(),
        suspects_.unconfirmedChanges());
    if (std::exchange(softStateVersion_, version) == version)
        return;
    host::SoftState state;
    state.targets.orders = settledOrders;
    state.targets.targets = targets_.recallable(evacuated_, now);
    state.suspects.requests = suspects_.unconfirmed(now);
    for (const model::SuspectReport& report : suspects_.verdicts(now))
        state.suspects.requests.insert(state.suspects.requests.end(), report.requests.begin(), report.requests.end());
    const uint64_t hash = contentHash(state.targets) + suspects_.verdictChanges() + suspects_.unconfirmedChanges();
    if (hash == writtenSoftStateHash_)
        return;
    writtenSoftStateHash_ = hash;
    actions_.emplace_back(host::SoftStateWrite {.state = std::move(state)});
}

} // namespace saltvane::registry
