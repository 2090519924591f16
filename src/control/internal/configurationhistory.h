/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/controltypes.h"

#include <cstddef>
#include <vector>

namespace saltvane::control {

/// The replicas as of one log entry.
struct Configuration {
    LogIndex index;
    std::vector<ReplicaInfo> replicas;

    [[nodiscard]] const ReplicaInfo* find(const model::ReplicaId& replica) const;
    [[nodiscard]] const ReplicaInfo* findHost(const HostId& host) const;
    [[nodiscard]] bool isVoter(const model::ReplicaId& replica) const;
    /// Number of votes or acknowledgements that form a majority of the voters.
    [[nodiscard]] size_t quorum() const;
};

/// The configurations in the log. The latest applies as soon as it is appended, committed or not.
class ConfigurationHistory {
public:
    ConfigurationHistory();

    [[nodiscard]] const Configuration& latest() const { return configurations_.back(); }
    /// The latest configuration up to `index`; empty if none is known.
    [[nodiscard]] const Configuration& asOf(LogIndex index) const;
    void add(Configuration configuration);
    void truncateFrom(LogIndex index);
    /// Removes configurations that a later one up to `index` has replaced.
    void compactTo(LogIndex index);
    /// Replaces the history by a snapshot's configuration.
    void reset(const Configuration& configuration);

private:
    std::vector<Configuration> configurations_; ///< By index; the first is that of the snapshot, or empty.
};

} // namespace saltvane::control
