/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/itargetdirectory.h"
#include "membership/tests/membershipfakes.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>

namespace saltvane::membership {
namespace {

struct FuzzOptions {
    uint32_t seed = 1;
    Duration leaseGuard = 200ms;
    int clockErrorPercent = 4; ///< Maximum deviation of the targets' clock rates in either direction.
};

struct FuzzResult {
    uint64_t owned = 0; ///< Number of checks that found exactly one owner.
    uint64_t doubleOwners = 0;
    uint64_t overloads = 0;
    uint64_t handovers = 0;
    uint64_t takeOvers = 0;
};

/// Runs directories, targets and requests with random faults: lost, delayed, repeated and reordered announcements, lost
/// and delayed messages between hosts, wrong and late suspicions, restarts of hosts and targets, process stalls, cut
/// hosts and planned stops.
class OwnershipFuzz {
public:
    explicit OwnershipFuzz(const FuzzOptions& options)
        : options_(options)
        , random_(options.seed)
    {
        for (size_t i = 0; i < HostCount; ++i) {
            hosts_[i].identity = makeIdentity("h" + std::to_string(i), i < 3 ? "z1" : "z2", "r1");
            start(hosts_[i]);
        }
        for (size_t i = 0; i < TargetCount; ++i) {
            targets_[i].fake = FakeTarget {"t" + std::to_string(i)};
            targets_[i].fake.announcement().slots = Slots;
            targets_[i].clockPercent = 100 - options.clockErrorPercent + uniform(2 * options.clockErrorPercent);
        }
    }

    FuzzResult run(Duration time)
    {
        for (const Timestamp end = now_ + time; now_ < end; now_ += 1ms) {
            deliverDue();
            for (Target& target : targets_)
                stepTarget(target);
            for (Host& host : hosts_)
                stepHost(host);
            if (uniform(400) == 0)
                applyRandomEvent();
            check();
        }
        result_.handovers = counters_.value(model::Counter::OwnershipHandovers);
        return result_;
    }

private:
    static constexpr size_t HostCount = 4;
    static constexpr size_t TargetCount = 5;
    static constexpr uint32_t Slots = 3;
    static constexpr Duration AnswerTimeout = 300ms;

    struct Request {
        Timestamp endsAt {};
        size_t host = 0;
        uint64_t hostIncarnation = 0;
    };
    struct Target {
        FakeTarget fake {""};
        int clockPercent = 100;
        size_t announceTo = 0;
        Timestamp nextAt = Start;
        bool isWaiting = false;
        std::vector<Request> running;
    };
    struct TargetUse {
        uint32_t inFlight = 0;
        uint32_t foreignInFlight = 0;
        bool isOwned = false;
        Incarnation incarnation; ///< Incarnation of the target.
    };
    struct Host {
        HostIdentity identity;
        FakeHostTable table;
        std::unique_ptr<ITargetDirectory> directory;
        std::map<TargetId, TargetUse> pool;
        std::map<HostId, Timestamp> lastDelivery; ///< Links keep the order of messages.
        Timestamp cutUntil {};
        Timestamp pausedUntil {};
        Timestamp stopAt {};
    };
    struct Event {
        Timestamp at {};
        std::function<void()> run;
    };

    int uniform(int max) { return boost::random::uniform_int_distribution<int> {0, max}(random_); }
    Duration delay() { return uniform(9) == 0 ? Duration {1ms} * uniform(3000) : Duration {1ms} * uniform(20); }
    void after(Duration wait, std::function<void()> run) { events_.push_back({now_ + wait, std::move(run)}); }
    /// The time by the target's clock, whose rate differs from the hosts' clocks.
    Timestamp clockOf(const Target& target) const { return Start + (now_ - Start) / 100 * target.clockPercent; }

    void start(Host& host)
    {
        host.pool.clear();
        host.stopAt = {};
        host.directory = makeTargetDirectory(
            {.self = host.identity, .hosts = &host.table, .leaseGuard = options_.leaseGuard, .counters = &counters_});
        for (Host& other : hosts_)
            after(Duration {1ms} * uniform(500), [&other, identity = host.identity] { other.table.set(identity, 0); });
    }

    void deliverDue()
    {
        std::vector<Event> due;
        std::erase_if(events_, [&](Event& event) {
            if (event.at > now_)
                return false;
            due.push_back(std::move(event));
            return true;
        });
        std::ranges::stable_sort(due, {}, &Event::at);
        for (const Event& event : due)
            event.run();
    }

    void stepTarget(Target& target)
    {
        std::erase_if(target.running, [&](const Request& request) {
            if (request.endsAt > now_)
                return false;
            Host& host = hosts_[request.host];
            if (host.identity.incarnation.value == request.hostIncarnation)
                --host.pool[target.fake.announcement().target].inFlight;
            return true;
        });
        if (now_ < target.nextAt)
            return;
        if (target.isWaiting) // The last announcement was not answered.
            target.announceTo = static_cast<size_t>(uniform(HostCount - 1));
        target.isWaiting = true;
        target.nextAt = now_ + AnswerTimeout;
        target.fake.announcement().busySlots = static_cast<uint32_t>(target.running.size());
        const Announcement announcement = target.fake.next(clockOf(target));
        const int copies = uniform(9) == 0 ? 0 : 1 + (uniform(9) == 0 ? 1 : 0);
        for (int i = 0; i < copies; ++i)
            after(
                delay(), [this, &target, announcement, to = target.announceTo] { receive(target, announcement, to); });
    }

    void receive(Target& target, const Announcement& announcement, size_t to)
    {
        Host& host = hosts_[to];
        if (now_ < host.cutUntil || now_ < host.pausedUntil)
            return;
        host.directory->tick(now_);
        const AnnouncementAnswer answer = host.directory->announce(announcement, now_);
        applyChanges(host);
        if (uniform(9) == 0)
            return;
        after(delay(), [this, &target, answer, announcement] { handleAnswer(target, announcement, answer); });
    }

    void handleAnswer(Target& target, const Announcement& announcement, const AnnouncementAnswer& answer)
    {
        const bool isExpected = target.isWaiting && announcement.sequence == target.fake.announcement().sequence
            && announcement.incarnation == target.fake.announcement().incarnation;
        if (!isExpected)
            return;
        target.fake.applyAnswer(announcement.sequence, answer, clockOf(target));
        target.isWaiting = false;
        target.nextAt = now_ + answer.announceAfter;
        for (size_t i = 0; i < HostCount; ++i) {
            if (hosts_[i].identity.host == answer.announceTo)
                target.announceTo = i;
        }
    }

    void stepHost(Host& host)
    {
        if (now_ < host.pausedUntil)
            return;
        host.directory->tick(now_);
        applyChanges(host);
        dispatch(host);
    }

    /// Applies changes and sends messages, as the host core does after each event.
    void applyChanges(Host& host)
    {
        for (const TargetChange& change : host.directory->drainChanges()) {
            TargetUse& use = host.pool[change.announcement.target];
            use.isOwned = change.kind == TargetChange::Kind::Owned;
            use.foreignInFlight = change.foreignInFlight;
            use.incarnation = change.announcement.incarnation;
        }
        for (const auto& [target, use] : host.pool)
            host.directory->recordUse(target, use.inFlight, 0);
        for (const model::OutgoingMessage& outgoing : host.directory->drainOutgoing())
            sendLink(host, outgoing);
        if (host.directory->hasHandedOverAll() && host.stopAt == Timestamp {})
            host.stopAt = now_ + 100ms;
    }

    void sendLink(Host& from, const model::OutgoingMessage& outgoing)
    {
        const auto to
            = std::ranges::find_if(hosts_, [&](const Host& host) { return host.identity.host == outgoing.to; });
        if (uniform(9) == 0 || now_ < from.cutUntil || to == hosts_.end())
            return;
        Timestamp& last = to->lastDelivery[from.identity.host];
        last = std::max(last, now_ + delay());
        const auto size = static_cast<size_t>(to - hosts_.begin());
        after(last - now_, [this, size, sender = from.identity, message = outgoing.message] {
            Host& receiver = hosts_[size];
            const HostView* view = receiver.table.find(sender.host);
            if (now_ < receiver.cutUntil || (view && view->record.incarnation > sender.incarnation))
                return;
            if (const auto* handover = std::get_if<model::OwnershipHandover>(&message))
                receiver.directory->handle(sender.host, *handover, now_);
            else if (const auto* progress = std::get_if<model::HandoverProgress>(&message))
                receiver.directory->handle(sender.host, *progress, now_);
        });
    }

    void dispatch(Host& host)
    {
        for (Target& target : targets_) {
            TargetUse& use = host.pool[target.fake.announcement().target];
            if (!owns(host, target) || use.inFlight + use.foreignInFlight >= Slots || uniform(20) != 0)
                continue;
            ++use.inFlight;
            const auto index = static_cast<size_t>(&host - hosts_.data());
            const Duration length = Duration {1ms} * (1 + uniform(1000));
            target.running.push_back({now_ + length, index, host.identity.incarnation.value});
        }
    }

    void applyRandomEvent()
    {
        Host& host = hosts_[static_cast<size_t>(uniform(HostCount - 1))];
        Host& other = hosts_[static_cast<size_t>(uniform(HostCount - 1))];
        switch (uniform(6)) {
        case 0:
            restart(host);
            break;
        case 1:
            host.cutUntil = now_ + Duration {1ms} * uniform(6000);
            break;
        case 2:
            host.pausedUntil = now_ + Duration {1ms} * uniform(150);
            break;
        case 3:
            if (other.table.find(host.identity.host))
                other.table.view(host.identity.host).health = static_cast<HostHealth>(uniform(2));
            break;
        case 4:
            other.table.set(host.identity, static_cast<uint32_t>(uniform(5)));
            break;
        case 5:
            host.directory->startLeaving(now_);
            after(5s, [this, &host, incarnation = host.identity.incarnation] {
                if (host.identity.incarnation == incarnation)
                    restart(host);
            });
            break;
        default:
            restart(targets_[static_cast<size_t>(uniform(TargetCount - 1))]);
        }
    }

    void restart(Host& host)
    {
        ++host.identity.incarnation.value;
        start(host);
    }

    void restart(Target& target)
    {
        for (const Request& request : target.running) {
            Host& host = hosts_[request.host];
            if (host.identity.incarnation.value == request.hostIncarnation)
                --host.pool[target.fake.announcement().target].inFlight;
        }
        target.running.clear();
        const Announcement old = target.fake.announcement();
        target.fake = FakeTarget {old.target.value(), old.incarnation.value + 1};
        target.fake.announcement().slots = Slots;
        target.isWaiting = false;
        target.nextAt = now_;
    }

    void check()
    {
        for (const Target& target : targets_) {
            const auto owners = std::ranges::count_if(
                hosts_, [&](const Host& host) { return now_ >= host.pausedUntil && owns(host, target); });
            result_.owned += owners == 1 ? 1 : 0;
            result_.doubleOwners += owners > 1 ? 1 : 0;
            result_.overloads += target.running.size() > Slots ? 1 : 0;
        }
    }

    static bool owns(const Host& host, const Target& target)
    {
        const auto use = host.pool.find(target.fake.announcement().target);
        return use != host.pool.end() && use->second.isOwned
            && use->second.incarnation == target.fake.announcement().incarnation;
    }

    FuzzOptions options_;
    boost::random::mt19937 random_;
    Timestamp now_ = Start;
    std::array<Host, HostCount> hosts_;
    std::array<Target, TargetCount> targets_;
    std::vector<Event> events_;
    model::Counters counters_;
    FuzzResult result_;
};

constexpr uint32_t FirstSeed = 1;
constexpr uint32_t SeedCount = 12;
constexpr Duration RunTime = 60s;

TEST(OwnershipFuzzTest, NeverTwoOwnersNorMoreInFlightThanSlots)
{
    uint64_t owned = 0;
    for (uint32_t seed = FirstSeed; seed < FirstSeed + SeedCount; ++seed) {
        const FuzzResult result = OwnershipFuzz({.seed = seed}).run(RunTime);
        EXPECT_EQ(result.doubleOwners, 0u) << "seed " << seed;
        EXPECT_EQ(result.overloads, 0u) << "seed " << seed;
        EXPECT_GT(result.handovers, 0u) << "seed " << seed;
        owned += result.owned;
    }
    RecordProperty("owned_checks", std::to_string(owned));
    EXPECT_GT(owned, SeedCount * 100'000u) << "targets must be owned for much of the time";
}

TEST(OwnershipFuzzTest, CheckFindsTwoOwnersWithoutTheGuard)
{
    uint64_t doubleOwners = 0;
    for (uint32_t seed = FirstSeed; seed < FirstSeed + SeedCount; ++seed)
        doubleOwners += OwnershipFuzz({.seed = seed, .leaseGuard = -1s}).run(RunTime).doubleOwners;
    EXPECT_GT(doubleOwners, 0u);
}

} // namespace
} // namespace saltvane::membership
