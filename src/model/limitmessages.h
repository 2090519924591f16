/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "model/clientaccount.h"
#include "model/targetmessages.h"

#include <cstdint>
#include <optional>
#include <vector>

/// How hosts share out what limits over all gateways leave: of client accounts (docs/design/0016-client-accounts.md)
/// and of targets (docs/design/0018-target-limits.md).
namespace saltvane::model {

/// What a limit binds.
using LimitId = Name<struct LimitIdTag>;
[[nodiscard]] LimitId limitIdOf(const ClientAccountName& account);
/// Of this start alone.
[[nodiscard]] LimitId limitIdOf(const TargetIncarnation& start);

/// For requests that wait: each takes one credit to be sent to a target.
struct LimitCreditAsk {
    uint64_t ask = 0; ///< The asking host's number for it; the answer tells it.
    LimitId limit;
    uint32_t credits = 0;
    auto operator<=>(const LimitCreditAsk&) const = default;
};

/// To a registry host, from a gateway or from another registry host that has none left.
struct LimitCreditRequest {
    std::vector<LimitCreditAsk> asks;
};

struct LimitCreditAnswer {
    uint64_t ask = 0;
    uint32_t credits = 0; ///< Taken off what the answering host has: they are lost where the answer is.
    Duration retryAfter {}; ///< Of fewer than asked for: when more can be expected.
    auto operator<=>(const LimitCreditAnswer&) const = default;
};

struct LimitCreditReply {
    std::vector<LimitCreditAnswer> answers;
};

/// What a target's answers say of how much it takes.
struct BackpressureNotice {
    TargetIncarnation target;
    std::optional<double> limit; ///< Requests a second, of all gateways together; none: no limit any more.
    Duration age {}; ///< Since an answer said so.
    auto operator<=>(const BackpressureNotice&) const = default;
};

/// From a gateway that heard it to registry hosts, between these, and from them to gateways.
struct BackpressureReport {
    std::vector<BackpressureNotice> notices;
};

} // namespace saltvane::model
