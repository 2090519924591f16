/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/joining.h"

#include "control/internal/commandcodec.h"

#include <algorithm>
#include <set>

namespace saltvane::control {

namespace {
constexpr Duration JoinRequestInterval = 200ms;
constexpr Duration JoinAnswerTimeout = 2s;
/// Election timeouts without a leader after which a member sends join requests: longer than most elections take.
constexpr int LeaderlessTimeouts = 3;
} // namespace

Joining::Joining(const ControlReplicaOptions& options, Consensus& consensus)
    : options_(options)
    , consensus_(consensus)
{
}

HostId Joining::coordinator() const
{
    const auto lowest = std::ranges::min_element(options_.bootstrapHosts);
    return lowest == options_.bootstrapHosts.end() ? HostId {} : *lowest;
}

bool Joining::isKnownMember(Timestamp now) const
{
    const ReplicaContext& context = consensus_.context();
    // Until the change is committed, the leader that added this replica may fail and the change be lost.
    if (!context.configurations.asOf(context.commit).find(context.self))
        return false;
    // Leaders send nothing to replicas that they have removed, so a removed one never receives that configuration.
    return consensus_.isLeader() || now - context.leaderContactAt <= LeaderlessTimeouts * options_.electionTimeout;
}

void Joining::tick(Timestamp now)
{
    if (isKnownMember(now) || (hasRequested_ && now < nextRequestAt_))
        return;
    hasRequested_ = true;
    nextRequestAt_ = now + JoinRequestInterval;
    startDeployment(now);
    sendJoinRequests();
}

void Joining::sendJoinRequests()
{
    std::set<HostId> hosts(options_.bootstrapHosts.begin(), options_.bootstrapHosts.end());
    for (const ReplicaInfo& info : consensus_.context().configurations.latest().replicas)
        hosts.insert(info.host);
    hosts.insert(otherHosts_.begin(), otherHosts_.end());
    hosts.erase(options_.self);
    for (const HostId& host : hosts)
        sendJoinRequest(host, {});
}

void Joining::sendJoinRequest(const HostId& host, const model::ReplicaId& inviter)
{
    consensus_.send(host,
        model::JoinRequest {.replica = consensus_.context().self,
            .host = options_.self,
            .isNewDisk = consensus_.isUnwritten(),
            .inviter = inviter});
}

void Joining::handle(const HostId& from, const model::JoinRequest& request, Timestamp now)
{
    if (!consensus_.isUnwritten() || !request.isNewDisk || request.host != from)
        return;
    const bool isInvitation = request.inviter.isEmpty() && from == coordinator();
    if (isInvitation && from != options_.self)
        return sendJoinRequest(from, request.replica);
    if (coordinator() != options_.self || request.inviter != consensus_.context().self)
        return;
    answers_[from] = {.replica = request.replica, .at = now};
    startDeployment(now);
}

void Joining::startDeployment(Timestamp now)
{
    if (!options_.mayBootstrap || !consensus_.isUnwritten() || coordinator() != options_.self)
        return;
    const std::set<HostId> hosts(options_.bootstrapHosts.begin(), options_.bootstrapHosts.end());
    ChangeReplicas first;
    for (const HostId& host : hosts) {
        if (host == options_.self) {
            first.replicas.push_back({.replica = consensus_.context().self, .host = host});
            continue;
        }
        const auto answer = answers_.find(host);
        if (answer == answers_.end() || now - answer->second.at > JoinAnswerTimeout)
            return;
        first.replicas.push_back({.replica = answer->second.replica, .host = host});
    }
    consensus_.bootstrap(encodeCommand(first));
}

} // namespace saltvane::control
