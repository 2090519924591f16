/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/ordertracker.h"

#include <utility>

namespace saltvane::registry {

namespace {

/// Less than the second after which callers switch to another host.
constexpr Duration MaxWaitForLeader = 800ms;

bool isFinal(control::ControlErrorKind kind)
{
    using enum control::ControlErrorKind;
    return kind != NotCurrent && kind != NotLeader && kind != Busy && kind != StorageFull;
}

} // namespace

OrderTracker::OrderTracker(control::IControlReplica& replica)
    : replica_(replica)
{
}

void OrderTracker::submit(requests::HttpHandle handle, control::Command command, Timestamp now)
{
    submitToReplica({.handle = handle, .command = std::move(command), .submittedAt = now}, now);
    tick(now);
}

void OrderTracker::submitToReplica(Order order, Timestamp now)
{
    const control::SubmissionId submission = replica_.submit(order.command, now);
    submitted_.emplace(submission, std::move(order));
}

void OrderTracker::detachCaller(requests::HttpHandle handle)
{
    std::erase_if(submitted_, [&](const auto& item) { return item.second.handle == handle; });
    std::erase_if(waiting_, [&](const Order& order) { return order.handle == handle; });
}

void OrderTracker::retryWaiting(Timestamp now)
{
    for (Order& order : std::exchange(waiting_, {}))
        submitToReplica(std::move(order), now);
    tick(now);
}

void OrderTracker::tick(Timestamp now)
{
    for (control::SubmissionAnswer& answer : replica_.drainAnswers()) {
        const auto found = submitted_.extract(answer.submission);
        if (!found.empty())
            complete(std::move(found.mapped()), answer.result, now);
    }
}

void OrderTracker::complete(
    Order order, const Result<control::BundleRecord, control::ControlError>& result, Timestamp now)
{
    const auto answer
        = [&](OrderOutcome outcome) { answers_.push_back({.handle = order.handle, .outcome = std::move(outcome)}); };
    if (result)
        return answer(OrderCommitted {.version = result.value().version});
    const control::ControlError& error = result.error();
    if (isFinal(error.kind))
        return answer(OrderRefused {.error = error});
    if (error.kind == control::ControlErrorKind::NotLeader)
        return answer(OrderRedirected {.leader = error.leader});
    if (now - order.submittedAt >= MaxWaitForLeader)
        return answer(OrderTimedOut {.reason = error.message});
    waiting_.push_back(std::move(order));
}

std::vector<OrderAnswer> OrderTracker::drainAnswers() { return std::exchange(answers_, {}); }

} // namespace saltvane::registry
