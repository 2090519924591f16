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

/// Messages by which registry hosts assign credits to gateways under limits that apply to all gateways together: limits
/// of client accounts (docs/design/0016-client-accounts.md) and of targets (docs/design/0018-target-limits.md).
namespace saltvane::model {

/// Identifies a limit by the client account or target incarnation that it applies to.
using LimitId = Name<struct LimitIdTag>;
[[nodiscard]] LimitId limitIdOf(const ClientAccountName& account);
/// The limit of this target incarnation only.
[[nodiscard]] LimitId limitIdOf(const TargetIncarnation& start);

/// A request for credits. Each waiting request needs one credit to be sent to a target.
struct LimitCreditAsk {
    uint64_t ask = 0; ///< Assigned by the requesting host and echoed in the answer.
    LimitId limit;
    uint32_t credits = 0;
    auto operator<=>(const LimitCreditAsk&) const = default;
};

/// The limit of a client account, by the plan at a log position.
struct AccountLimitNotice {
    LimitId limit;
    RateLimit rate;
    LogPosition plan;
    auto operator<=>(const AccountLimitNotice&) const = default;
};

/// The limit that a target's responses report.
struct BackpressureNotice {
    TargetIncarnation target;
    std::optional<double> limit; ///< Requests per second, of all gateways together; not set: the limit is lifted.
    Duration age {}; ///< Time since a response reported it.
    auto operator<=>(const BackpressureNotice&) const = default;
};

/// Sent to a registry host by a gateway, or by another registry host that has no credits left.
struct LimitCreditRequest {
    std::vector<LimitCreditAsk> asks;
    // The limits asked for, as the sender knows them: a receiver that is cut off from the other registry hosts may have
    // an older plan, or an older limit of a target.
    std::vector<AccountLimitNotice> accountLimits;
    std::vector<BackpressureNotice> targetLimits;
};

struct LimitCreditAnswer {
    uint64_t ask = 0;
    uint32_t credits = 0; ///< Deducted from the answering host's credits; lost if the answer is lost.
    Duration retryAfter {}; ///< If fewer credits than requested are granted: when to expect more.
    auto operator<=>(const LimitCreditAnswer&) const = default;
};

struct LimitCreditReply {
    std::vector<LimitCreditAnswer> answers;
};

/// Sent by the gateway that received the response to registry hosts, between registry hosts, and from these to
/// gateways.
struct BackpressureReport {
    std::vector<BackpressureNotice> notices;
};

} // namespace saltvane::model
