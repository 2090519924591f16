/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/messagerouter.h"

#include <concepts>

namespace saltvane::host {

namespace {

template <typename T, typename... Options>
concept OneOf = (std::same_as<T, Options> || ...);

template <typename T>
concept LogMessage = OneOf<T, model::VoteRequest, model::VoteReply, model::StartNotice, model::AppendRequest,
    model::AppendReply, model::SnapshotChunk, model::SnapshotReply, model::JoinRequest>;

template <typename T>
concept DistributionMessage = OneOf<T, model::BundlePush, model::BundlePart, model::BundlePull, model::BundleCurrent>;

template <typename T>
concept ReplyToEntry = OneOf<T, model::ForwardResponseHead, model::ForwardEnd, model::ClaimReply>;

template <typename T>
concept HostTableMessage = OneOf<T, model::Heartbeat, model::ZoneReport>;

template <typename T>
concept DirectoryMessage = OneOf<T, model::OwnershipHandover, model::HandoverProgress>;

} // namespace

MessageRouter::MessageRouter(HostModules& modules, IssuerForwards& issuerForwards, Startup& startup, Outbox& outbox)
    : modules_(modules)
    , issuerForwards_(issuerForwards)
    , startup_(startup)
    , outbox_(outbox)
{
}

void MessageRouter::route(const model::Delivery& delivery, Timestamp now)
{
    const auto dispatch = [&]<typename T>(const T& message) {
        if constexpr (HostTableMessage<T>)
            modules_.hostTable->handle(delivery.from, message, now);
        else if constexpr (DirectoryMessage<T>)
            modules_.directory->handle(delivery.from, message, now);
        else if constexpr (LogMessage<T>)
            toReplica(delivery, now);
        else if constexpr (DistributionMessage<T>)
            modules_.bundleReplica->handle(delivery, now);
        else if constexpr (ReplyToEntry<T>)
            toEntry(delivery, now);
        else if constexpr (std::same_as<T, model::CreditRequest>)
            modules_.creditIssuer->handle(delivery.from, message, now);
        else if constexpr (std::same_as<T, model::CreditGrant>)
            modules_.creditStore->handle(delivery.from, message, now);
        else if constexpr (std::same_as<T, model::RowsRequest>)
            replyWithRows(delivery);
        else if constexpr (std::same_as<T, model::RowsReply>)
            startup_.handle(message, now);
        else if constexpr (std::same_as<T, model::ClaimRequest>)
            modules_.replica ? toReplica(delivery, now) : refuseClaim(delivery, message);
        else if constexpr (std::same_as<T, model::ForwardRequest>)
            beginForward(delivery, message, now);
        else if constexpr (std::same_as<T, model::ForwardBody>)
            message.direction == model::Direction::ToClient ? toEntry(delivery, now)
                                                            : toReceiver(delivery, message.correlation, now);
        else if constexpr (std::same_as<T, model::ForwardWindow>)
            message.direction == model::Direction::ToTarget ? toEntry(delivery, now)
                                                            : toReceiver(delivery, message.correlation, now);
        else if constexpr (OneOf<T, model::TargetReport, model::TargetLoads, model::SuspectReport,
                               model::LimitCreditRequest, model::LimitCreditReply, model::BackpressureReport,
                               model::RolloutReport, model::PeerRequest, model::PeerReport>)
            modules_.counters.add(model::Counter::StaleMessages); // Handled by gateways with a route plan only.
        else {
            static_assert(std::same_as<T, model::ForwardCancel>, "a message type has no handler");
            cancelForward(delivery, message, now);
        }
    };
    std::visit(dispatch, delivery.message);
}

void MessageRouter::toReplica(const model::Delivery& delivery, Timestamp now)
{
    if (!modules_.replica) {
        modules_.counters.add(model::Counter::StaleMessages);
        return;
    }
    modules_.replica->handle(delivery, now);
}

void MessageRouter::refuseClaim(const model::Delivery& delivery, const model::ClaimRequest& request)
{
    outbox_.send({delivery.from, model::ClaimReply {.claim = request.claim}});
}

void MessageRouter::toOwner(const model::Delivery& delivery, Timestamp now) { modules_.owner->handle(delivery, now); }

void MessageRouter::toEntry(const model::Delivery& delivery, Timestamp now)
{
    if (!modules_.entry) {
        modules_.counters.add(model::Counter::LateFrames);
        return;
    }
    modules_.entry->handle(delivery, now);
}

void MessageRouter::toReceiver(const model::Delivery& delivery, CorrelationId correlation, Timestamp now)
{
    if (issuerForwards_.contains(delivery.from, correlation))
        toEntry(delivery, now);
    else
        toOwner(delivery, now);
}

void MessageRouter::beginForward(const model::Delivery& delivery, const model::ForwardRequest& request, Timestamp now)
{
    if (request.purpose == model::ForwardPurpose::Dispatch) {
        toOwner(delivery, now);
        return;
    }
    if (!modules_.entry) {
        refuseIssuerForward(delivery, request);
        return;
    }
    issuerForwards_.add(delivery.from, request.correlation);
    toEntry(delivery, now);
}

void MessageRouter::refuseIssuerForward(const model::Delivery& delivery, const model::ForwardRequest& request)
{
    // A host without a bundle has not issued this key; an earlier incarnation of it did and may have run the request.
    outbox_.send({delivery.from,
        model::ForwardEnd {.correlation = request.correlation,
            .outcome = model::Outcome::Unknown,
            .reason = model::Reason::MinterGone}});
}

void MessageRouter::cancelForward(const model::Delivery& delivery, const model::ForwardCancel& cancel, Timestamp now)
{
    toReceiver(delivery, cancel.correlation, now);
    issuerForwards_.remove(delivery.from, cancel.correlation);
}

void MessageRouter::replyWithRows(const model::Delivery& delivery)
{
    if (!startup_.isServing() || !modules_.steering)
        return;
    std::vector<model::RouteRow> rows = modules_.steering->servedRows();
    if (!rows.empty())
        outbox_.send(
            {delivery.from, model::RowsReply {.inForce = modules_.deployment->position(), .rows = std::move(rows)}});
}

} // namespace saltvane::host
