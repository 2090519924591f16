/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/controlreplica.h"

#include <algorithm>
#include <concepts>
#include <utility>

namespace saltvane::control {

namespace {

template <typename Kind>
concept LogMessage
    = std::same_as<Kind, model::VoteRequest> || std::same_as<Kind, model::VoteReply> || std::same_as<Kind,
        model::StartNotice> || std::same_as<Kind, model::AppendRequest> || std::same_as<Kind,
        model::AppendReply> || std::same_as<Kind, model::SnapshotChunk> || std::same_as<Kind, model::SnapshotReply>;

} // namespace

ControlReplica::ControlReplica(const ControlReplicaOptions& options)
    : options_(options)
    , consensus_(options_, state_)
    , joining_(options_, consensus_)
    , replicaChanges_(options_, consensus_)
    , operatorRequests_(options_, consensus_, state_)
    , claimRequests_(options_, consensus_, state_)
{
    // Already copied into the log and the state.
    options_.recovered.entries = {};
    options_.recovered.snapshot = {};
}

void ControlReplica::onLinkUp(const HostId& host, Incarnation incarnation)
{
    incarnations_.insert_or_assign(host, incarnation);
}

bool ControlReplica::isOutdated(const model::Delivery& delivery)
{
    Incarnation& latest = incarnations_[delivery.from];
    if (delivery.fromIncarnation < latest)
        return true;
    latest = delivery.fromIncarnation;
    return false;
}

template <typename Kind>
void ControlReplica::dispatch(const model::Delivery& delivery, const Kind& message, Timestamp now)
{
    if constexpr (LogMessage<Kind>) {
        consensus_.handle(delivery.from, message);
    } else if constexpr (std::same_as<Kind, model::JoinRequest>) {
        joining_.handle(delivery.from, message, now);
        replicaChanges_.handle(delivery.from, message, now);
    } else if constexpr (std::same_as<Kind, model::ClaimRequest>) {
        claimRequests_.handle(delivery, message, now);
    }
}

void ControlReplica::handle(const model::Delivery& delivery, Timestamp now)
{
    consensus_.begin(now);
    if (isOutdated(delivery)) {
        consensus_.context().count(model::Counter::StaleMessages);
        return;
    }
    std::visit([&](const auto& message) { dispatch(delivery, message, now); }, delivery.message);
    finishEvent(now);
}

void ControlReplica::handle(const StorageDone& done, Timestamp now)
{
    consensus_.begin(now);
    consensus_.complete(done);
    finishEvent(now);
}

void ControlReplica::handle(const StorageFailed& failed, Timestamp now)
{
    consensus_.begin(now);
    consensus_.fail(failed);
    finishEvent(now);
}

void ControlReplica::tick(Timestamp now)
{
    consensus_.begin(now);
    consensus_.tick();
    joining_.tick(now);
    replicaChanges_.tick(now);
    finishEvent(now);
}

void ControlReplica::finishEvent(Timestamp now)
{
    for (const AppliedEntry& applied : state_.drainApplied()) {
        operatorRequests_.onApplied(applied);
        claimRequests_.onApplied(applied);
    }
    operatorRequests_.advance(now);
    claimRequests_.advance();
}

SubmissionId ControlReplica::submit(Command command, Timestamp now)
{
    consensus_.begin(now);
    return operatorRequests_.submit(std::move(command), now);
}

std::vector<SubmissionAnswer> ControlReplica::drainAnswers() { return operatorRequests_.drainAnswers(); }

std::vector<model::OutgoingMessage> ControlReplica::drainOutgoing() { return consensus_.drainOutgoing(); }

std::vector<StorageWrite> ControlReplica::drainWrites() { return consensus_.drainWrites(); }

bool ControlReplica::isLeader() const { return consensus_.isLeader(); }

bool ControlReplica::isCurrent(Timestamp now) const { return consensus_.isCurrent(now); }

Duration ControlReplica::proofAge(Timestamp now) const { return consensus_.proofAge(now); }

HostId ControlReplica::leaderHost() const { return consensus_.context().leaderHost; }

LogTerm ControlReplica::term() const { return consensus_.context().hardState.term; }

LogIndex ControlReplica::commitIndex() const { return consensus_.context().commit; }

const std::vector<ReplicaInfo>& ControlReplica::replicas() const
{
    return consensus_.context().configurations.asOf(commitIndex()).replicas;
}

bool ControlReplica::isVoter() const
{
    return consensus_.context().configurations.asOf(commitIndex()).isVoter(consensus_.context().self);
}

std::vector<const BundleRecord*> ControlReplica::bundles() const
{
    std::vector<const BundleRecord*> records = state_.bundles().all();
    std::ranges::sort(records, {}, &BundleRecord::proposed);
    return records;
}

const BundleRecord* ControlReplica::inForce() const { return state_.bundles().inForce(); }

} // namespace saltvane::control
