/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/replicachanges.h"

#include "control/internal/commandcodec.h"

#include <algorithm>
#include <utility>

namespace saltvane::control {

namespace {
/// A joining host sends several requests a second; it is not added once they stop for this time.
constexpr Duration JoinRequestTimeout = 2s;
/// Until an unresponsive replica is removed while another host waits to join: longer than a restart of its process.
constexpr Duration ReplacementDelay = 3s;
/// Until it is removed otherwise: longer than outages after which the host returns with its disk.
constexpr Duration RemovalDelay = 20s;
/// Maximum time from the join of a new host to the stop of the old one in a planned replacement.
constexpr Duration PlannedReplacementTimeout = 10s;
/// Smallest group that tolerates the loss of one replica; removals never go below it.
constexpr size_t MinReplicas = 3;
} // namespace

ReplicaChanges::ReplicaChanges(const ControlReplicaOptions& options, Consensus& consensus)
    : options_(options)
    , consensus_(consensus)
{
}

void ReplicaChanges::handle(const HostId& from, const model::JoinRequest& request, Timestamp now)
{
    const bool isControlHost = options_.isMembershipOpen
        || std::ranges::find(options_.bootstrapHosts, from) != options_.bootstrapHosts.end();
    if (!consensus_.isLeader() || !isControlHost || request.host != from || from == options_.self)
        return;
    joiners_[from] = {.replica = request.replica, .isNewDisk = request.isNewDisk, .requestedAt = now};
}

void ReplicaChanges::tick(Timestamp now)
{
    std::erase_if(joiners_, [&](const auto& item) { return now - item.second.requestedAt > JoinRequestTimeout; });
    recordUnresponsive(now);
    const Configuration& latest = consensus_.context().configurations.latest();
    const bool isChanging = latest.index > consensus_.context().commit;
    if (!consensus_.isEstablished() || isChanging)
        return;
    if (std::optional<std::vector<ReplicaInfo>> replicas = nextChange(now))
        consensus_.propose(encodeCommand(ChangeReplicas {*std::move(replicas)}));
}

std::optional<std::vector<ReplicaInfo>> ReplicaChanges::nextChange(Timestamp now)
{
    const Configuration& configuration = consensus_.context().configurations.latest();
    if (std::optional<std::vector<ReplicaInfo>> promotion = nextPromotion(configuration))
        return promotion;
    if (std::optional<std::vector<ReplicaInfo>> join = nextJoin(configuration, now))
        return join;
    return withoutUnresponsive(configuration, false, now);
}

void ReplicaChanges::recordUnresponsive(Timestamp now)
{
    if (!options_.isMembershipOpen || !consensus_.isEstablished())
        return unresponsiveSince_.clear();
    for (const ReplicaInfo& info : consensus_.context().configurations.latest().replicas) {
        const bool hasContact = info.host == options_.self
            || consensus_.replicator().hadContactWithin(info.replica, options_.electionTimeout);
        if (hasContact)
            unresponsiveSince_.erase(info.replica);
        else
            unresponsiveSince_.emplace(info.replica, now);
    }
}

bool ReplicaChanges::isReplaced(Timestamp unresponsiveSince) const
{
    return joinedAt_ && *joinedAt_ >= unresponsiveSince - PlannedReplacementTimeout;
}

bool ReplicaChanges::isOverdue(const ReplicaInfo& info, bool hasJoiner, Timestamp now) const
{
    const auto found = unresponsiveSince_.find(info.replica);
    if (found == unresponsiveSince_.end())
        return false;
    const Duration delay = hasJoiner || isReplaced(found->second) ? ReplacementDelay : RemovalDelay;
    return now - found->second >= delay;
}

bool ReplicaChanges::isRemovalUseful(const Configuration& configuration, Timestamp now) const
{
    const auto voters = std::ranges::count_if(configuration.replicas, &ReplicaInfo::isVoter);
    const auto overdue = std::ranges::count_if(
        configuration.replicas, [&](const ReplicaInfo& info) { return info.isVoter && isOverdue(info, false, now); });
    // An even group needs as many votes as the next larger odd one, so the last removal would gain nothing.
    const auto responsive = voters - overdue;
    const auto smallestOddGroup = responsive % 2 == 0 ? responsive + 1 : responsive;
    return voters > smallestOddGroup;
}

std::optional<std::vector<ReplicaInfo>> ReplicaChanges::withoutUnresponsive(
    const Configuration& configuration, bool hasJoiner, Timestamp now)
{
    const bool mayRemoveUnreplaced = isRemovalUseful(configuration, now);
    const ReplicaInfo* longest = nullptr;
    Timestamp since = now;
    for (const ReplicaInfo& info : configuration.replicas) {
        if (!isOverdue(info, hasJoiner, now))
            continue;
        const Timestamp unresponsiveSince = unresponsiveSince_.at(info.replica);
        const bool isUnreplacedVoter = info.isVoter && !hasJoiner && !isReplaced(unresponsiveSince);
        if (unresponsiveSince > since || (isUnreplacedVoter && !mayRemoveUnreplaced))
            continue;
        since = unresponsiveSince;
        longest = &info;
    }
    if (longest == nullptr || configuration.replicas.size() <= MinReplicas)
        return std::nullopt;
    if (!hasJoiner)
        joinedAt_.reset();
    std::vector<ReplicaInfo> replicas = configuration.replicas;
    std::erase_if(replicas, [&](const ReplicaInfo& info) { return info.replica == longest->replica; });
    return replicas;
}

std::optional<std::vector<ReplicaInfo>> ReplicaChanges::nextPromotion(const Configuration& configuration) const
{
    std::vector<ReplicaInfo> replicas = configuration.replicas;
    for (ReplicaInfo& info : replicas) {
        // The entry that added the learner follows everything that was committed when it joined.
        const bool isCaughtUp = consensus_.replicator().matchOf(info.replica) >= configuration.index;
        if (info.isVoter || !isCaughtUp
            || !consensus_.replicator().hadContactWithin(info.replica, options_.electionTimeout))
            continue;
        info.isVoter = true;
        return replicas;
    }
    return std::nullopt;
}

std::optional<std::vector<ReplicaInfo>> ReplicaChanges::nextJoin(const Configuration& configuration, Timestamp now)
{
    for (const auto& [joinerHost, joiner] : joiners_) {
        const HostId& host = joinerHost;
        if (configuration.find(joiner.replica))
            continue;
        if (joiner.isNewDisk && !configuration.findHost(host)) {
            if (std::optional<std::vector<ReplicaInfo>> freed = withoutUnresponsive(configuration, true, now))
                return freed;
        }
        std::vector<ReplicaInfo> replicas = configuration.replicas;
        if (configuration.findHost(host))
            std::erase_if(replicas, [&](const ReplicaInfo& info) { return info.host == host; });
        else {
            replicas.push_back({.replica = joiner.replica, .host = host, .isVoter = false});
            if (joiner.isNewDisk)
                joinedAt_ = now;
        }
        return replicas;
    }
    return std::nullopt;
}

} // namespace saltvane::control
