/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/orders.h"

#include <utility>

namespace saltvane::registry {

namespace {

/// Under the second after which callers turn to another host.
constexpr Duration LongestWait = 800ms;

bool isFinal(control::ControlErrorKind kind)
{
    using enum control::ControlErrorKind;
    return kind != NotCurrent && kind != NotLeader && kind != Busy && kind != StorageFull;
}

} // namespace

Orders::Orders(control::IControlReplica& replica)
    : replica_(replica)
{
}

void Orders::submit(requests::HttpHandle handle, control::Command command, Timestamp now)
{
    put({.handle = handle, .command = std::move(command), .since = now}, now);
    tick(now);
}

void Orders::put(Order order, Timestamp now)
{
    const control::SubmissionId submission = replica_.submit(order.command, now);
    submitted_.emplace(submission, std::move(order));
}

void Orders::forget(requests::HttpHandle handle)
{
    std::erase_if(submitted_, [&](const auto& item) { return item.second.handle == handle; });
    std::erase_if(waiting_, [&](const Order& order) { return order.handle == handle; });
}

void Orders::retryWaiting(Timestamp now)
{
    for (Order& order : std::exchange(waiting_, {}))
        put(std::move(order), now);
    tick(now);
}

void Orders::tick(Timestamp now)
{
    for (control::SubmissionAnswer& answer : replica_.takeAnswers()) {
        const auto found = submitted_.extract(answer.submission);
        if (!found.empty())
            settle(std::move(found.mapped()), answer.result, now);
    }
}

void Orders::settle(Order order, const Result<control::BundleRecord, control::ControlError>& result, Timestamp now)
{
    const auto answer
        = [&](OrderOutcome outcome) { answers_.push_back({.handle = order.handle, .outcome = std::move(outcome)}); };
    if (result)
        return answer(OrderDone {.version = result.value().version});
    const control::ControlError& error = result.error();
    if (isFinal(error.kind))
        return answer(OrderRefused {.error = error});
    if (error.kind == control::ControlErrorKind::NotLeader)
        return answer(OrderElsewhere {.leader = error.leader});
    if (now - order.since >= LongestWait)
        return answer(OrderUnanswered {.reason = error.message});
    waiting_.push_back(std::move(order));
}

std::vector<OrderAnswer> Orders::takeAnswers() { return std::exchange(answers_, {}); }

} // namespace saltvane::registry
