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
/// A joiner asks several times a second; one that fell silent is not added.
constexpr Duration JoinerMemory = 2s;
/// With another host waiting to take its place: longer than a restart of the process takes.
constexpr Duration ReplaceAfter = 3s;
/// Without one: longer than outages that the host comes back from with its disk.
constexpr Duration RemoveAfter = 20s;
/// In a planned replacement the new host joins so long before the old one stops, at most.
constexpr Duration PlannedReplacement = 10s;
/// A group is never made smaller than what survives the loss of one.
constexpr size_t LeastReplicas = 3;
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
    joiners_[from] = {.replica = request.replica, .askedAt = now};
}

void ReplicaChanges::tick(Timestamp now)
{
    std::erase_if(joiners_, [&](const auto& item) { return now - item.second.askedAt > JoinerMemory; });
    noteSilence(now);
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
    return withoutSilent(configuration, false, now);
}

void ReplicaChanges::noteSilence(Timestamp now)
{
    if (!options_.isMembershipOpen || !consensus_.isEstablished())
        return silentSince_.clear();
    for (const ReplicaInfo& info : consensus_.context().configurations.latest().replicas) {
        const bool isHeard = info.host == options_.self
            || consensus_.replicator().wasHeardWithin(info.replica, options_.electionTimeout);
        if (isHeard)
            silentSince_.erase(info.replica);
        else
            silentSince_.emplace(info.replica, now);
    }
}

Duration ReplicaChanges::patience(Timestamp silentSince, bool hasJoiner) const
{
    const bool isReplaced = joinedAt_ && *joinedAt_ >= silentSince - PlannedReplacement;
    return hasJoiner || isReplaced ? ReplaceAfter : RemoveAfter;
}

std::optional<std::vector<ReplicaInfo>> ReplicaChanges::withoutSilent(
    const Configuration& configuration, bool hasJoiner, Timestamp now)
{
    const ReplicaInfo* longest = nullptr;
    Timestamp since = now;
    for (const ReplicaInfo& info : configuration.replicas) {
        const auto silent = silentSince_.find(info.replica);
        if (silent == silentSince_.end() || now - silent->second < patience(silent->second, hasJoiner)
            || silent->second > since)
            continue;
        since = silent->second;
        longest = &info;
    }
    if (longest == nullptr || configuration.replicas.size() <= LeastReplicas)
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
        // The entry that added the learner comes after everything committed when it came back.
        const bool isCaughtUp = consensus_.replicator().matchOf(info.replica) >= configuration.index;
        if (info.isVoter || !isCaughtUp
            || !consensus_.replicator().wasHeardWithin(info.replica, options_.electionTimeout))
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
        if (!configuration.findHost(host)) {
            if (std::optional<std::vector<ReplicaInfo>> freed = withoutSilent(configuration, true, now))
                return freed;
        }
        std::vector<ReplicaInfo> replicas = configuration.replicas;
        if (configuration.findHost(host))
            std::erase_if(replicas, [&](const ReplicaInfo& info) { return info.host == host; });
        else {
            replicas.push_back({.replica = joiner.replica, .host = host, .isVoter = false});
            joinedAt_ = now;
        }
        return replicas;
    }
    return std::nullopt;
}

} // namespace saltvane::control
