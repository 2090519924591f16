/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/internal/configurationhistory.h"
#include "model/controlmessages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace saltvane::control {

/// State to which the entries of the log are applied. Must be deterministic: the same entries give the same state and
/// the same snapshot bytes.
class IStateMachine {
public:
    virtual ~IStateMachine() = default;

    /// Called once for each entry, in log order.
    virtual void apply(const model::LogEntry& entry) = 0;
    [[nodiscard]] virtual std::string encodeSnapshot() const = 0;
    /// The configuration in a snapshot; no value if the bytes are not a valid snapshot.
    [[nodiscard]] virtual std::optional<Configuration> configurationIn(std::string_view snapshot) const = 0;
    /// Replaces the state by a snapshot for which configurationIn returned a value.
    virtual void install(std::string_view snapshot) = 0;
    /// The replicas that a configuration change sets; no value for any other entry.
    [[nodiscard]] virtual std::optional<std::vector<ReplicaInfo>> replicasIn(const model::LogEntry& entry) const = 0;
};

} // namespace saltvane::control
