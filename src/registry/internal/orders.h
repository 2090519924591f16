/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/icontrolreplica.h"
#include "requests/exchangetypes.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace saltvane::registry {

/// What an order came to.
struct OrderDone {
    BundleVersion version;
};
struct OrderRefused {
    control::ControlError error;
};
/// Another control host leads; the caller should ask there.
struct OrderElsewhere {
    HostId leader;
};
/// Nobody took it in time; the same order may be sent again.
struct OrderUnanswered {
    std::string reason;
};
using OrderOutcome = std::variant<OrderDone, OrderRefused, OrderElsewhere, OrderUnanswered>;

struct OrderAnswer {
    requests::HttpHandle handle;
    OrderOutcome outcome;
};

/// Orders of operators and targets on their way through the replicated log. While no leader is known an order waits a
/// little, so that callers need not find out about each election.
class Orders {
public:
    explicit Orders(control::IControlReplica& replica);

    void submit(requests::HttpHandle handle, control::Command command, Timestamp now);
    /// The caller is gone; the order itself goes on.
    void forget(requests::HttpHandle handle);
    /// Gathers what the replica answered.
    void tick(Timestamp now);
    /// Tries again what waits for a leader.
    void retryWaiting(Timestamp now);
    [[nodiscard]] std::vector<OrderAnswer> takeAnswers();
    [[nodiscard]] bool isEmpty() const { return submitted_.empty() && waiting_.empty(); }

private:
    struct Order {
        requests::HttpHandle handle;
        control::Command command;
        Timestamp since;
    };

    void put(Order order, Timestamp now);
    void settle(Order order, const Result<control::BundleRecord, control::ControlError>& result, Timestamp now);

    control::IControlReplica& replica_;
    std::map<control::SubmissionId, Order> submitted_;
    std::vector<Order> waiting_;
    std::vector<OrderAnswer> answers_;
};

} // namespace saltvane::registry
