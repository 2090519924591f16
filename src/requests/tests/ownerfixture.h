/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "faketargetpool.h"
#include "requests/iownerrequests.h"

#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace saltvane::requests {

/// Delivers messages and events to one owner and collects its actions.
class OwnerFixture : public ::testing::Test {
protected:
    OwnerFixture() { makeOwner(2); }

    void makeOwner(uint32_t maxAttempts)
    {
        owner_ = makeOwnerRequests({.self = {.host = HostId("owner"), .zone = ZoneName("zone-a")},
            .pool = &pool_,
            .counters = &counters_,
            .queueOrder = steering::QueueOrder::Fifo,
            .maxAttempts = maxAttempts});
    }

    void deliver(model::Message message, uint64_t incarnation = 1, const std::string& host = "entry")
    {
        owner_->handle(
            model::Delivery {.from = HostId(host), .fromIncarnation = {incarnation}, .message = std::move(message)},
            now_);
        collect();
    }
    void handleTargetEvent(TargetEvent event)
    {
        owner_->handle(std::move(event), now_);
        collect();
    }
    void advanceTime(Duration time)
    {
        now_ += time;
        owner_->tick(now_);
        collect();
    }
    static model::ForwardRequest request(uint64_t correlation)
    {
        return {.correlation = {correlation},
            .request = RequestId("r" + std::to_string(correlation)),
            .service = ServiceName("quotes"),
            .method = "GET",
            .path = "/",
            .bodyLength = 0,
            .deadline = 2s};
    }
    static model::ForwardBody body(uint64_t correlation, uint64_t offset, std::string bytes, bool isLast = false)
    {
        return {.correlation = {correlation}, .offset = offset, .bytes = std::move(bytes), .isLast = isLast};
    }
    void sendResponse(DispatchId dispatch, const std::string& content)
    {
        handleTargetEvent(TargetResponseHead {.dispatch = dispatch, .status = 200, .bodyLength = content.size()});
        if (!content.empty())
            handleTargetEvent(TargetResponseBody {.dispatch = dispatch, .bytes = content});
        handleTargetEvent(TargetResponseDone {.dispatch = dispatch});
    }

    /// All actions of a kind since the last clearActions().
    template <typename Kind> std::vector<Kind> actions() const
    {
        std::vector<Kind> found;
        for (const Action& action : actions_) {
            if (const auto* kind = std::get_if<Kind>(&action))
                found.push_back(*kind);
        }
        return found;
    }
    template <typename Kind> std::vector<Kind> sent() const
    {
        std::vector<Kind> found;
        for (const model::OutgoingMessage& outgoing : actions<model::OutgoingMessage>()) {
            if (const auto* kind = std::get_if<Kind>(&outgoing.message))
                found.push_back(*kind);
        }
        return found;
    }
    DispatchId lastDispatch() const { return actions<TargetStart>().back().dispatch; }
    void expectEnd(model::Outcome outcome, model::Reason reason) const
    {
        const auto ends = sent<model::ForwardEnd>();
        ASSERT_EQ(ends.size(), 1U);
        EXPECT_EQ(ends.front().outcome, outcome);
        EXPECT_EQ(ends.front().reason, reason);
    }
    void clearActions() { actions_.clear(); }

    FakeTargetPool pool_;
    model::Counters counters_;
    std::unique_ptr<IOwnerRequests> owner_;
    Timestamp now_ {1h};
    std::vector<Action> actions_;

private:
    void collect()
    {
        for (Action& action : owner_->drainActions())
            actions_.push_back(std::move(action));
    }
};

} // namespace saltvane::requests
