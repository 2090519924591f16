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

struct OrderCommitted {
    BundleVersion version;
};
struct OrderRefused {
    control::ControlError error;
};
/// Another control host is the leader; the caller should send the order there.
struct OrderRedirected {
    HostId leader;
};
/// No leader accepted the order in time; it may be sent again.
struct OrderTimedOut {
    std::string reason;
};
using OrderOutcome = std::variant<OrderCommitted, OrderRefused, OrderRedirected, OrderTimedOut>;

struct OrderAnswer {
    requests::HttpHandle handle;
    OrderOutcome outcome;
};

/// Tracks orders of operators and targets until the replicated log has committed or refused them. While no leader is
/// known an order waits for up to MaxWaitForLeader, so that callers don't notice short elections.
class OrderTracker {
public:
    explicit OrderTracker(control::IControlReplica& replica);

    void submit(requests::HttpHandle handle, control::Command command, Timestamp now);
    /// The caller has disconnected: the order gets no answer, but stays submitted to the log.
    void detachCaller(requests::HttpHandle handle);
    /// Collects the replica's answers.
    void tick(Timestamp now);
    /// Submits the orders that wait for a leader again.
    void retryWaiting(Timestamp now);
    [[nodiscard]] std::vector<OrderAnswer> drainAnswers();
    [[nodiscard]] bool isEmpty() const { return submitted_.empty() && waiting_.empty(); }

private:
    struct Order {
        requests::HttpHandle handle;
        control::Command command;
        Timestamp submittedAt;
    };

    void submitToReplica(Order order, Timestamp now);
    void complete(Order order, const Result<control::BundleRecord, control::ControlError>& result, Timestamp now);

    control::IControlReplica& replica_;
    std::map<control::SubmissionId, Order> submitted_;
    std::vector<Order> waiting_;
    std::vector<OrderAnswer> answers_;
};

} // namespace saltvane::registry
