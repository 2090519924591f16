/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/replicacontext.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace saltvane::control {

namespace {

LogIndex lastRecovered(const RecoveredState& recovered)
{
    return recovered.entries.empty() ? recovered.snapshotIndex
                                     : std::max(recovered.snapshotIndex, recovered.entries.back().index);
}

} // namespace

uint64_t checksumOf(std::string_view bytes) { return XXH64(bytes.data(), bytes.size(), 0); }

ReplicaContext::ReplicaContext(const ControlReplicaOptions& replicaOptions, IStateMachine& stateMachine)
    : options(replicaOptions)
    , machine(stateMachine)
    , self(replicaOptions.recovered.replica)
    , hardState(replicaOptions.recovered.hardState)
    , log(replicaOptions.recovered.snapshotIndex, replicaOptions.recovered.snapshotTerm)
    , storage(lastRecovered(replicaOptions.recovered))
    , commit(replicaOptions.recovered.snapshotIndex)
{
    const RecoveredState& recovered = replicaOptions.recovered;
    if (!recovered.snapshot.empty()) {
        snapshot = std::make_shared<Snapshot>(Snapshot {.index = recovered.snapshotIndex,
            .term = recovered.snapshotTerm,
            .checksum = checksumOf(recovered.snapshot),
            .bytes = recovered.snapshot});
        if (std::optional<Configuration> configuration = machine.configurationIn(recovered.snapshot)) {
            machine.install(recovered.snapshot);
            configurations.reset(*std::move(configuration));
        }
    }
    for (const model::LogEntry& entry : recovered.entries) {
        if (entry.index <= recovered.snapshotIndex)
            continue;
        if (std::optional<std::vector<ReplicaInfo>> replicas = machine.replicasIn(entry))
            configurations.add({.index = entry.index, .replicas = *std::move(replicas)});
        log.append(entry);
    }
}

void ReplicaContext::send(const HostId& to, model::Message message)
{
    outgoing.push_back({.to = to, .message = std::move(message)});
}

void ReplicaContext::sendWhenDurable(uint64_t sequence, const HostId& to, model::Message message)
{
    if (sequence <= storage.completed())
        return send(to, std::move(message));
    delayed_.push_back({.sequence = sequence, .outgoing = {.to = to, .message = std::move(message)}});
}

void ReplicaContext::releaseDurable()
{
    for (DelayedMessage& delayed : delayed_) {
        if (delayed.sequence <= storage.completed())
            outgoing.push_back(std::move(delayed.outgoing));
    }
    std::erase_if(delayed_, [this](const DelayedMessage& delayed) { return delayed.sequence <= storage.completed(); });
}

void ReplicaContext::follow(LogTerm term)
{
    role = Role::Follower;
    leader = {};
    leaderHost = {};
    if (term > hardState.term)
        setHardState({.term = term, .votedFor = {}});
}

uint64_t ReplicaContext::setHardState(const HardState& state)
{
    if (state.term > hardState.term)
        proof.startTerm();
    hardState = state;
    return storage.setHardState(state);
}

void ReplicaContext::append(model::LogEntry entry)
{
    if (std::optional<std::vector<ReplicaInfo>> replicas = machine.replicasIn(entry))
        configurations.add({.index = entry.index, .replicas = *std::move(replicas)});
    storage.append(entry);
    log.append(std::move(entry));
}

void ReplicaContext::truncateFrom(LogIndex index)
{
    storage.truncateFrom(index);
    configurations.truncateFrom(index);
    log.truncateFrom(index);
}

void ReplicaContext::count(model::Counter counter) const
{
    if (options.counters)
        options.counters->add(counter);
}

} // namespace saltvane::control
