/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "faketargetpool.h"
#include "ownerchecker.h"
#include "requests/iownerrequests.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace saltvane::requests {

/// Runs one owner in virtual time with seeded random frames, target events, host losses and delayed duplicates.
class OwnerStress {
public:
    explicit OwnerStress(uint64_t seed);

    void run(int steps);
    /// Advances time past all deadlines and checks the final state.
    void finish();
    [[nodiscard]] OwnerChecker& checker() { return checker_; }
    [[nodiscard]] const FakeTargetPool& pool() const { return pool_; }
    [[nodiscard]] const model::Counters& counters() const { return counters_; }

private:
    struct CallerState {
        uint64_t request = 0;
        model::ForwardRequest frame;
        uint64_t sent = 0;
        bool isLastSent = false;
        bool isBroken = false;
    };
    using Step = void (OwnerStress::*)();

    void step();
    void openRequest();
    void sendBody();
    void sendTargetEvent();
    void acknowledgeResponse();
    void cancelRequest();
    void repeatFrame();
    void sendLateEvent();
    void loseHost();
    void changeSlots();
    void advanceTime();

    void shed(uint64_t id, OwnerChecker::Dispatch& dispatch);
    void fail(uint64_t id, OwnerChecker::Dispatch& dispatch);
    void sendResponsePart(uint64_t id, OwnerChecker::Dispatch& dispatch);
    void sendWrongLength(uint64_t id, OwnerChecker::Dispatch& dispatch);
    void deliver(const ExchangeKey& key, model::Message message);
    void handleTargetEvent(TargetEvent event);
    void collect();
    uint64_t pick(uint64_t bound) { return random_() % bound; }
    CallerState* pickUnfinished();

    std::mt19937_64 random_;
    FakeTargetPool pool_;
    model::Counters counters_;
    OwnerChecker checker_;
    std::unique_ptr<IOwnerRequests> owner_;
    Timestamp now_ {1h};
    std::vector<HostId> hosts_ {HostId("entry-a"), HostId("entry-b"), HostId("entry-c")};
    std::vector<TargetId> targets_ {TargetId("t1"), TargetId("t2"), TargetId("t3")};
    std::map<HostId, uint64_t> incarnations_;
    uint64_t lastCorrelation_ = 0;
    std::vector<CallerState> callers_;
};

} // namespace saltvane::requests
