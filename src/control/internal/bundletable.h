/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/result.h"
#include "control/controltypes.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <vector>

namespace saltvane::control {

using BundleOutcome = Result<BundleRecord, ControlError>;

/// Life cycle of bundles: proposed, in force after another operator's approval, superseded. The order of the log
/// resolves all races. Signatures are checked before a command is appended to the log.
class BundleTable {
public:
    [[nodiscard]] BundleOutcome apply(const ProposeBundle& command, LogPosition position);
    [[nodiscard]] BundleOutcome apply(const ApproveBundle& command, LogPosition position);
    [[nodiscard]] BundleOutcome apply(const RevertBundle& command, LogPosition position);

    /// The answer if it follows from the state alone: to a resent request, or to one that cannot succeed.
    [[nodiscard]] std::optional<BundleOutcome> answerFor(const ProposeBundle& command) const;
    [[nodiscard]] std::optional<BundleOutcome> answerFor(const ApproveBundle& command) const;
    [[nodiscard]] std::optional<BundleOutcome> answerFor(const RevertBundle& command) const;

    [[nodiscard]] const BundleRecord* find(BundleVersion version) const;
    [[nodiscard]] const BundleRecord* inForce() const;
    /// Sorted by version.
    [[nodiscard]] std::vector<const BundleRecord*> all() const;

    [[nodiscard]] nlohmann::json toJson() const;
    [[nodiscard]] static std::optional<BundleTable> fromJson(const nlohmann::json& array);

private:
    [[nodiscard]] std::optional<BundleOutcome> answerForNew(BundleVersion version) const;
    void prune();
    void pruneContents();

    std::map<BundleVersion, BundleRecord> records_;
    std::optional<BundleVersion> inForce_;
};

} // namespace saltvane::control
