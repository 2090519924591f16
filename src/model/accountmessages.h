/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "model/clientaccount.h"

#include <cstdint>
#include <vector>

/// How hosts share out what the limits of client accounts leave. docs/design/0016-client-accounts.md
namespace saltvane::model {

/// For requests that wait: each takes one credit to be sent to a target.
struct AccountCreditAsk {
    uint64_t ask = 0; ///< The asking host's number for it; the answer tells it.
    ClientAccountName account;
    uint32_t credits = 0;
    auto operator<=>(const AccountCreditAsk&) const = default;
};

/// To a registry host, from a gateway or from another registry host that has none left.
struct AccountCreditRequest {
    std::vector<AccountCreditAsk> asks;
};

struct AccountCreditAnswer {
    uint64_t ask = 0;
    uint32_t credits = 0; ///< Taken off what the answering host has: they are lost where the answer is.
    Duration retryAfter {}; ///< Of fewer than asked for: when more can be expected.
    auto operator<=>(const AccountCreditAnswer&) const = default;
};

struct AccountCreditReply {
    std::vector<AccountCreditAnswer> answers;
};

} // namespace saltvane::model
