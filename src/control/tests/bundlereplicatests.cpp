/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/ibundlereplica.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>

namespace saltvane::control::test {

namespace {

constexpr Duration Delay = 20ms;
constexpr Duration Step = 10ms;
const HostId Control("control1");
const HostId Relay("relay1");
const HostId First("entry1");
const HostId Second("entry2");

LogPosition positionOf(uint64_t index) { return {.term = LogTerm {1}, .index = LogIndex {index}}; }

/// Bundle replicas connected with a delay, in virtual time. The test sets the state in force at control1.
class BundleReplicas : public testing::Test {
protected:
    void SetUp() override
    {
        for (const HostId& host : {Control, Relay, First, Second})
            start(host);
    }

    void start(const HostId& host)
    {
        replicas_[host] = makeBundleReplica({.self = host});
        std::vector<HostId> sources {Control};
        std::vector<HostId> receivers;
        if (host == First || host == Second)
            sources = {Relay, Control, host == First ? Second : First};
        if (host == Control)
            sources.clear();
        if (host == Control)
            receivers = {Relay};
        if (host == Relay)
            receivers = {First, Second};
        replicas_[host]->setPeers(sources, receivers, now_);
    }

    IBundleReplica& replica(const HostId& host) { return *replicas_.at(host); }

    /// `size`: minimum length, reached with random bytes, which differ in each state and do not compress.
    void setInForce(uint64_t index, size_t size = 0)
    {
        std::mt19937 random(static_cast<unsigned int>(index)); // NOLINT(cert-msc32-c,cert-msc51-cpp): deterministic.
        content_ = "bundle " + std::to_string(index);
        while (content_.size() < size)
            content_.push_back(static_cast<char>(random()));
        index_ = index;
        contents_[index] = content_;
    }

    void run(Duration duration)
    {
        for (const Timestamp end = now_ + duration; now_ < end; now_ += Step) {
            deliver();
            if (index_ != 0 && isControlCurrent_)
                replica(Control).setControlView(IBundleReplica::ControlView {.position = positionOf(index_),
                                                    .version = BundleVersion {index_},
                                                    .content = content_,
                                                    .proofAge = 100ms},
                    now_);
            else
                replica(Control).setControlView(std::nullopt, now_);
            for (auto& [host, item] : replicas_) {
                item->tick(now_);
                for (model::OutgoingMessage& outgoing : item->drainOutgoing())
                    post(host, std::move(outgoing));
                if (const auto installed = item->popInstalled()) {
                    EXPECT_GT(installed->position, installed_[host]);
                    EXPECT_EQ(*installed->content, contents_[installed->position.index.value]);
                    installed_[host] = installed->position;
                }
            }
        }
    }

    void post(const HostId& from, model::OutgoingMessage outgoing)
    {
        const bool isPush = std::holds_alternative<model::BundlePush>(outgoing.message)
            && std::get<model::BundlePush>(outgoing.message).pull == 0;
        if (cutOff_ == from || cutOff_ == outgoing.to || (isPush && losesPushes_))
            return;
        const auto* part = std::get_if<model::BundlePart>(&outgoing.message);
        if (part != nullptr) {
            parts_[outgoing.to] += 1;
            bytes_[outgoing.to] += part->bytes.size();
            if (unresponsiveSource_ == from && part->offset > 0)
                return;
        }
        inFlight_.emplace(now_ + Delay, Flight {.from = from, .outgoing = std::move(outgoing)});
    }

    void deliver()
    {
        while (!inFlight_.empty() && inFlight_.begin()->first <= now_) {
            const auto next = inFlight_.extract(inFlight_.begin());
            const Flight& flight = next.mapped();
            replica(flight.outgoing.to)
                .handle({.from = flight.from, .fromIncarnation = {}, .message = flight.outgoing.message}, now_);
        }
    }

    bool isInstalledEverywhere(uint64_t index)
    {
        for (const auto& [host, item] : replicas_) {
            if (installed_[host] != positionOf(index))
                return false;
        }
        return true;
    }

    struct Flight {
        HostId from;
        model::OutgoingMessage outgoing;
    };
    Timestamp now_ {10s};
    std::map<HostId, std::unique_ptr<IBundleReplica>> replicas_;
    std::map<HostId, LogPosition> installed_;
    std::multimap<Timestamp, Flight> inFlight_;
    std::string content_;
    uint64_t index_ = 0;
    std::map<uint64_t, std::string> contents_;
    std::map<HostId, int> parts_; ///< Number of parts sent to each host.
    std::map<HostId, size_t> bytes_; ///< Bytes of these parts.
    HostId unresponsiveSource_; ///< All parts that it sends after the first are lost.
    bool isControlCurrent_ = true;
    bool losesPushes_ = false;
    HostId cutOff_;
};

} // namespace

TEST_F(BundleReplicas, NoHostIsReadyWithoutAState)
{
    run(5s);
    for (const HostId& host : {Control, Relay, First, Second})
        EXPECT_FALSE(replica(host).isReady());
}

TEST_F(BundleReplicas, PushReachesEveryHostAndIsConfirmedByAPull)
{
    setInForce(1);
    run(2s);
    ASSERT_TRUE(isInstalledEverywhere(1));
    for (const HostId& host : {Control, Relay, First, Second})
        EXPECT_TRUE(replica(host).isReady());
    setInForce(2);
    run(2 * Delay + 3 * Step);
    EXPECT_TRUE(isInstalledEverywhere(2));
    EXPECT_FALSE(replica(Second).isCutOff(now_));
    EXPECT_GE(replica(Second).age(now_), 100ms + 2 * Delay);
}

TEST_F(BundleReplicas, PullsRecoverLostPushes)
{
    setInForce(1);
    run(2s);
    losesPushes_ = true;
    setInForce(2);
    run(2s + 4 * Delay + 4 * Step);
    EXPECT_TRUE(isInstalledEverywhere(2));
}

TEST_F(BundleReplicas, OlderPositionIsIgnored)
{
    setInForce(5);
    run(2s);
    const model::BundlePush older {.position = positionOf(4), .version = BundleVersion {9}, .content = "older"};
    replica(First).handle({.from = Relay, .fromIncarnation = {}, .message = older}, now_);
    EXPECT_FALSE(replica(First).popInstalled());
    run(2s);
    EXPECT_TRUE(isInstalledEverywhere(5));
}

TEST_F(BundleReplicas, HostsAreCutOffWithoutAProofFromControl)
{
    setInForce(1);
    run(2s);
    isControlCurrent_ = false;
    run(2500ms);
    EXPECT_FALSE(replica(First).isCutOff(now_));
    run(1s);
    for (const HostId& host : {Control, Relay, First, Second}) {
        EXPECT_TRUE(replica(host).isCutOff(now_));
        EXPECT_TRUE(replica(host).isReady());
    }
    const Duration age = replica(First).age(now_);
    run(3600s);
    EXPECT_EQ(replica(First).age(now_), age + 3600s);
    isControlCurrent_ = true;
    run(12s);
    EXPECT_FALSE(replica(First).isCutOff(now_));
}

TEST_F(BundleReplicas, RestartedHostInACutOffZoneAcceptsThePeerState)
{
    setInForce(1);
    run(2s);
    isControlCurrent_ = false;
    run(10s);
    installed_[First] = {};
    start(First);
    run(500ms);
    EXPECT_FALSE(replica(First).isReady());
    run(1s);
    EXPECT_TRUE(replica(First).isReady());
    EXPECT_TRUE(replica(First).isCutOff(now_));
}

TEST_F(BundleReplicas, RestartedHostWithoutControlAndPeersIsNotReady)
{
    setInForce(1);
    run(2s);
    cutOff_ = First;
    installed_[First] = {};
    start(First);
    run(60s);
    EXPECT_FALSE(replica(First).isReady());
    cutOff_ = {};
    run(1s);
    EXPECT_TRUE(replica(First).isReady());
}

/// Guards against gateways that treat a starting registry host as one whose information is outdated.
TEST_F(BundleReplicas, StartingSourceAnswersPullsWithoutAStateOrProof)
{
    replica(Relay).handle({.from = First, .fromIncarnation = {}, .message = model::BundlePull {.pull = 7}}, now_);
    const std::vector<model::OutgoingMessage> sent = replica(Relay).drainOutgoing();
    ASSERT_EQ(sent.size(), 1U);
    const auto* answer = std::get_if<model::BundleCurrent>(&sent.front().message);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->pull, 7U);
    EXPECT_EQ(answer->position, LogPosition {});
    EXPECT_EQ(answer->age, Duration::max());
}

TEST_F(BundleReplicas, UnrequestedAnswersProveNothing)
{
    setInForce(1);
    run(2s);
    cutOff_ = First;
    run(4s);
    const model::BundleCurrent unrequested {.position = positionOf(1), .age = 0s, .pull = 999};
    replica(First).handle({.from = Relay, .fromIncarnation = {}, .message = unrequested}, now_);
    const model::BundlePush push {.position = positionOf(2), .version = BundleVersion {2}, .content = "2", .age = 0s};
    replica(First).handle({.from = Relay, .fromIncarnation = {}, .message = push}, now_);
    EXPECT_TRUE(replica(First).isCutOff(now_));
}

TEST_F(BundleReplicas, LargeStateIsSentOnceInParts)
{
    constexpr size_t Size = 1'000'000;
    setInForce(1, Size);
    run(10s);
    ASSERT_TRUE(isInstalledEverywhere(1));
    // First parts may arrive several times: pushed by the relay, and from a peer that is polled during the start.
    constexpr size_t FirstParts = 4 * 32 * 1024;
    for (const HostId& host : {Relay, First, Second})
        EXPECT_LE(bytes_[host], contents_[1].size() + FirstParts) << host.value();
}

TEST_F(BundleReplicas, PartsAreRequestedFromAnotherSourceWhenOneIsUnresponsive)
{
    constexpr size_t Size = 200'000;
    setInForce(1, Size);
    run(10s);
    unresponsiveSource_ = Relay;
    setInForce(2, Size);
    run(10s);
    EXPECT_TRUE(isInstalledEverywhere(2));
}

TEST_F(BundleReplicas, TransferIsCompletedWhileNewerStatesArrive)
{
    constexpr size_t Size = 400'000;
    setInForce(1, Size);
    run(10s);
    // Each transfer takes thirteen round trips of 40 ms; the next state comes into force after five.
    for (uint64_t index = 2; index < 40; ++index) {
        setInForce(index, Size);
        run(200ms);
    }
    EXPECT_GT(installed_[Second], positionOf(20));
    run(10s);
    EXPECT_TRUE(isInstalledEverywhere(39));
}

TEST_F(BundleReplicas, TransferContinuesWithASourceThatLacksTheBase)
{
    constexpr size_t Size = 200'000;
    setInForce(1, Size);
    run(10s);
    // The relay becomes unresponsive during a transfer that uses the previous state as its base. The other sources
    // restart and do not have that base.
    unresponsiveSource_ = Relay;
    setInForce(2, Size);
    constexpr int MaxSteps = 200;
    for (int i = 0; i < MaxSteps && !replica(First).isFetching(); ++i)
        run(Step);
    ASSERT_TRUE(replica(First).isFetching());
    cutOff_ = Relay;
    for (const HostId& host : {Control, Second}) {
        installed_[host] = {};
        start(host);
    }
    run(15s);
    EXPECT_EQ(installed_[First], positionOf(2));
}

TEST_F(BundleReplicas, PartsWithAWrongChecksumAreRejected)
{
    setInForce(1);
    run(2s);
    cutOff_ = First;
    const model::BundlePart first {
        .position = positionOf(7), .version = {7}, .totalSize = 8, .offset = 0, .checksum = 1, .bytes = "half"};
    model::BundlePart second = first;
    second.offset = 4;
    for (const model::BundlePart& part : {first, second})
        replica(First).handle({.from = Relay, .fromIncarnation = {}, .message = part}, now_);
    EXPECT_FALSE(replica(First).popInstalled());
    cutOff_ = {};
    setInForce(8);
    run(2s);
    EXPECT_TRUE(isInstalledEverywhere(8));
}

} // namespace saltvane::control::test
