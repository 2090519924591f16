/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/outbox.h"

#include <utility>

namespace saltvane::host {

Outbox::Outbox(HostId self, Incarnation incarnation)
    : self_(std::move(self))
    , incarnation_(incarnation)
{
}

void Outbox::add(Action action) { actions_.push_back(std::move(action)); }

void Outbox::add(requests::Action action)
{
    if (auto* outgoing = std::get_if<model::OutgoingMessage>(&action)) {
        send(std::move(*outgoing));
        return;
    }
    actions_.emplace_back(std::move(action));
}

void Outbox::add(std::vector<requests::Action> actions)
{
    for (requests::Action& action : actions)
        add(std::move(action));
}

void Outbox::send(model::OutgoingMessage outgoing)
{
    if (outgoing.to == self_) {
        ownDeliveries_.push_back({self_, incarnation_, std::move(outgoing.message)});
        return;
    }
    actions_.emplace_back(requests::Action(std::move(outgoing)));
}

void Outbox::send(std::vector<model::OutgoingMessage> outgoing)
{
    for (model::OutgoingMessage& message : outgoing)
        send(std::move(message));
}

void Outbox::log(LogSeverity severity, std::string text)
{
    actions_.emplace_back(LogLine {.severity = severity, .module = "host", .text = std::move(text)});
}

std::vector<Action> Outbox::drainActions() { return std::exchange(actions_, {}); }

std::optional<model::Delivery> Outbox::popOwnDelivery()
{
    if (ownDeliveries_.empty())
        return std::nullopt;
    model::Delivery delivery = std::move(ownDeliveries_.front());
    ownDeliveries_.pop_front();
    return delivery;
}

} // namespace saltvane::host
