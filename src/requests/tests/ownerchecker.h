/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/exchangetypes.h"
#include "requests/internal/ownerduplicatefilter.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace saltvane::requests {

/// Byte at `offset` of the generated body of the request or dispatch with this number.
[[nodiscard]] char bodyByteAt(uint64_t number, uint64_t offset);
[[nodiscard]] std::string bodyBytes(uint64_t number, uint64_t offset, size_t count);

/// Tracks the true state of every request and dispatch in a stress run and checks the actions of the owner against it.
class OwnerChecker {
public:
    enum class DispatchState {
        Active,
        NotSent, ///< It is certain that no byte was sent.
        Shed,
        Answered,
        Failed,
        Cancelled
    };
    struct Exchange {
        ExchangeKey key;
        uint64_t number = 0; ///< Seed of its body bytes.
        uint64_t bodySize = 0;
        std::vector<uint64_t> dispatches;
        uint32_t ends = 0;
        bool isHeadSeen = false;
        bool isLastSeen = false;
        bool isLost = false; ///< Its entry host is lost, so no end is expected.
        uint64_t received = 0; ///< Bytes of the response received by the entry host.
        uint64_t acknowledged = 0; ///< Bytes of the response acknowledged to the owner.
        uint64_t granted = 0; ///< Bytes beyond InitialBodyWindow that the entry host may send.
    };
    struct Dispatch {
        uint64_t exchange = 0;
        TargetId target;
        DispatchState state = DispatchState::Active;
        bool isHeadSent = false;
        bool hasLength = false;
        uint64_t size = 0; ///< Size of the response body.
        uint64_t sentBytes = 0; ///< Bytes of the response delivered to the owner.
        uint64_t window = InitialBodyWindow;
        uint64_t bodyReceived = 0;
        uint64_t bodyAcknowledged = 0;
        bool isBodyComplete = false;
    };

    /// Registers a request before its frame is delivered; returns its number.
    uint64_t addRequest(const ExchangeKey& key, uint64_t bodySize);
    void check(const std::vector<Action>& actions);
    /// Checks at the end of a run that every request has ended and no dispatch is active.
    void checkFinished();
    void onHostLost(const HostId& host);
    void setState(uint64_t dispatch, DispatchState state) { dispatches_.at(dispatch).state = state; }

    [[nodiscard]] std::map<uint64_t, Exchange>& exchanges() { return exchanges_; }
    [[nodiscard]] std::map<uint64_t, Dispatch>& dispatches() { return dispatches_; }
    [[nodiscard]] std::vector<uint64_t> activeDispatches() const;
    [[nodiscard]] uint32_t unfinishedRequests() const;
    [[nodiscard]] uint32_t activeOn(const TargetId& target) const;
    [[nodiscard]] const std::vector<std::string>& findings() const { return findings_; }
    [[nodiscard]] uint32_t ends(model::Outcome outcome) const { return ends_[static_cast<size_t>(outcome)]; }
    void report(std::string finding) { findings_.push_back(std::move(finding)); }

private:
    void onAction(const TargetStart& start);
    void onAction(const TargetRequestBody& body);
    void onAction(const TargetResponseWindow& window);
    void onAction(const TargetCancel& cancel);
    void onAction(const AccessRecord& /*record*/) { ++records_; }
    void onAction(const model::OutgoingMessage& outgoing);
    template <typename Other> void onAction(const Other& /*action*/) { report("action of the entry side"); }

    void onMessage(Exchange& exchange, const model::ForwardResponseHead& head);
    void onMessage(Exchange& exchange, const model::ForwardBody& body);
    void onMessage(Exchange& exchange, const model::ForwardWindow& window);
    void onMessage(Exchange& exchange, const model::ForwardEnd& end);
    template <typename Other> void onMessage(Exchange& /*exchange*/, const Other& /*message*/)
    {
        report("message of the entry side");
    }
    void checkAnswered(const Exchange& exchange);
    void checkNotRun(const Exchange& exchange);
    Dispatch* findActive(DispatchId dispatch, std::string_view eventName);
    Exchange* find(const HostId& host, CorrelationId correlation);

    std::map<uint64_t, Exchange> exchanges_;
    std::map<uint64_t, Dispatch> dispatches_;
    std::vector<std::string> findings_;
    uint32_t ends_[3] {};
    uint64_t records_ = 0;
};

} // namespace saltvane::requests
