/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/ibundleholder.h"

#include <string_view>

namespace saltvane::gateway {

/// How far this gateway may go by what the registry has told it.
enum class RegistryWord {
    Current, ///< Whatever was acknowledged a while ago is known here.
    Late, ///< The registry is there, but its word comes late, or has not been read yet: it may not be gone by.
    CutOff ///< Nothing is heard of the registry: what was known last is what there is.
};
[[nodiscard]] std::string_view toString(RegistryWord word);

/// Judges the registry's word by what it answers: links keep the order of what is said on them, so an answer comes
/// after everything that was said before it. Targets that leave get nothing, and plans are in force, within the limits
/// that operators set, also at gateways that stood still or whose links are full.
class RegistryWatch {
public:
    struct Limits {
        Duration leave; ///< From the acknowledgement that a target leaves until it gets nothing more.
        Duration plan; ///< From a plan's acknowledgement until it is in force.
    };
    explicit RegistryWatch(const Limits& limits);

    /// To be told of each event and tick, before anything else.
    void noteAwake(Timestamp now);
    /// Something came from a registry host.
    void noteHeard(Timestamp now) { heardAt_ = now; }
    [[nodiscard]] RegistryWord word(const control::IBundleHolder& holder, Timestamp now) const;

private:
    Duration longestUnanswered_;
    Duration longestReplaced_;
    Timestamp seenAt_ {};
    Timestamp awakeSince_ {};
    Timestamp heardAt_ {};
};

} // namespace saltvane::gateway
