/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/ihosttable.h"
#include "membership/tests/membershipfakes.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace saltvane::membership {
namespace {

/// Host tables connected by links with a fixed delay, which the test can cut.
class HostTableTest : public ::testing::Test {
protected:
    struct Member {
        HostIdentity identity;
        std::unique_ptr<IHostTable> table;
        std::set<HostId> links;
        bool isRunning = true;
        model::HostState state = model::HostState::Serving;
    };
    struct InFlight {
        Timestamp at {};
        HostId from;
        model::OutgoingMessage outgoing;
    };

    void add(const std::string& host, const std::string& zone, const std::string& region, uint64_t incarnation = 1)
    {
        Member& member = members_[HostId {host}];
        member.identity = makeIdentity(host, zone, region);
        member.identity.incarnation = {incarnation};
        member.isRunning = true;
        member.links.clear();
        member.table
            = makeHostTable({.self = member.identity, .seeds = {{"a1", 1}, {"b1", 1}}, .counters = &counters_});
        model::HostRecord record;
        record.state = member.state;
        record.services = {{.service = ServiceName {"valuator"}, .room = 5}};
        record.ownedTargets = {TargetId {"t"}};
        member.table->setOwnRecord(record);
    }
    /// Adds nine hosts in six zones.
    void addNine()
    {
        for (const char* host : {"a1", "a2", "b1", "c1", "c2", "d1", "e1", "e2", "f1"}) {
            const char zone = host[0];
            add(host, {zone}, {static_cast<char>('r' + (zone - 'a') / 2)});
        }
    }
    IHostTable& table(const std::string& host) { return *members_.at(HostId {host}).table; }
    void stop(const std::string& host)
    {
        members_.at(HostId {host}).isRunning = false;
        for (auto& [id, member] : members_)
            dropLink(member, HostId {host});
    }
    void dropLink(Member& member, const HostId& peer)
    {
        if (member.links.erase(peer) > 0 && member.isRunning)
            member.table->onLinkDown(peer, now_);
    }
    bool isCut(const HostId& left, const HostId& right) const { return cut_.contains(left) != cut_.contains(right); }
    void connect()
    {
        for (auto& [id, member] : members_) {
            if (!member.isRunning)
                continue;
            for (const IHostTable::Peer& peer : member.table->wantedPeers()) {
                const auto other = members_.find(HostId {peer.linkAddress.ip});
                if (other == members_.end() || !other->second.isRunning || isCut(id, other->first))
                    continue;
                link(member, other->second);
                link(other->second, member);
            }
        }
    }
    void link(Member& member, const Member& other)
    {
        if (member.links.insert(other.identity.host).second)
            member.table->onLinkUp(other.identity.host, now_);
    }
    void collect()
    {
        for (auto& [id, member] : members_) {
            if (!member.isRunning)
                continue;
            member.table->tick(now_);
            for (model::OutgoingMessage& outgoing : member.table->drainOutgoing()) {
                ++sent_;
                if (member.links.contains(outgoing.to) && !isCut(id, outgoing.to))
                    inFlight_.push_back({now_ + delay_, id, std::move(outgoing)});
            }
        }
    }
    void deliver()
    {
        std::vector<InFlight> due;
        std::erase_if(inFlight_, [&](InFlight& message) {
            if (message.at > now_)
                return false;
            due.push_back(std::move(message));
            return true;
        });
        for (const InFlight& message : due) {
            Member& to = members_.at(message.outgoing.to);
            if (!to.isRunning)
                continue;
            if (const auto* heartbeat = std::get_if<model::Heartbeat>(&message.outgoing.message))
                (void)to.table->handle(message.from, *heartbeat, now_);
            else if (const auto* report = std::get_if<model::ZoneReport>(&message.outgoing.message))
                (void)to.table->handle(message.from, *report, now_);
        }
    }
    void runFor(Duration time)
    {
        for (const Timestamp end = now_ + time; now_ < end; now_ += 10ms) {
            connect();
            deliver();
            collect();
        }
    }
    bool seesAlive(const std::string& host, const std::string& other)
    {
        const HostView* view = table(host).find(HostId {other});
        return view && view->health == HostHealth::Alive;
    }
    size_t aliveAt(const std::string& host)
    {
        const std::vector<const HostView*> views = table(host).hosts();
        return static_cast<size_t>(std::ranges::count(views, HostHealth::Alive, &HostView::health));
    }

    Timestamp now_ = Start;
    Duration delay_ = 30ms;
    std::map<HostId, Member> members_;
    std::set<HostId> cut_;
    std::vector<InFlight> inFlight_;
    model::Counters counters_;
    size_t sent_ = 0;
};

TEST_F(HostTableTest, NineHostsLearnOfEachOtherFromTwoSeeds)
{
    addNine();
    runFor(1500ms);
    for (const auto& [id, member] : members_)
        EXPECT_EQ(aliveAt(id.value()), 8u) << id.value();
    EXPECT_EQ(table("f1").relayOf(ZoneName {"e"}), HostId {"e1"});
    EXPECT_TRUE(table("a1").isRelay());
    EXPECT_FALSE(table("a2").isRelay());
    EXPECT_EQ(table("a2").servingHosts(ZoneName {"a"}).size(), 2u) << "includes itself";
    EXPECT_TRUE(table("f1").find(HostId {"a1"})->record.ownedTargets.empty());
    EXPECT_FALSE(table("a2").find(HostId {"a1"})->record.ownedTargets.empty());
}

TEST_F(HostTableTest, NoHostIsSuspectedWithoutCause)
{
    addNine();
    runFor(2s);
    const uint64_t before = counters_.value(model::Counter::HostsSuspected);
    runFor(60s);
    EXPECT_EQ(counters_.value(model::Counter::HostsSuspected), before);
}

TEST_F(HostTableTest, HostThatIsNoRelayLinksToItsZoneOnly)
{
    addNine();
    runFor(2s);
    EXPECT_EQ(table("a2").wantedPeers().size(), 1u);
    EXPECT_EQ(table("a1").wantedPeers().size(), 6u) << "its zone peer and five relays";
}

TEST_F(HostTableTest, LostRelayIsReplacedBeforeItsZoneIsSuspected)
{
    addNine();
    runFor(2s);
    stop("e1");
    runFor(300ms);
    EXPECT_TRUE(table("e2").isRelay());
    EXPECT_NE(table("e2").find(HostId {"e1"})->health, HostHealth::Alive);
    for (int i = 0; i < 50; ++i) {
        runFor(100ms);
        EXPECT_TRUE(seesAlive("a2", "e2"));
    }
    EXPECT_FALSE(seesAlive("a2", "e1"));
    EXPECT_EQ(table("a2").relayOf(ZoneName {"e"}), HostId {"e2"});
}

TEST_F(HostTableTest, UnresponsiveRelayIsReplacedToo)
{
    addNine();
    runFor(2s);
    members_.at(HostId {"e1"}).isRunning = false; // Its links stay up.
    for (int i = 0; i < 50; ++i) {
        runFor(100ms);
        EXPECT_TRUE(seesAlive("a2", "e2"));
    }
    EXPECT_FALSE(seesAlive("a2", "e1"));
}

TEST_F(HostTableTest, DeadHostOffersNoCapacityAndIsRemovedAfterTheTimeout)
{
    addNine();
    runFor(2s);
    stop("d1");
    runFor(1500ms);
    EXPECT_TRUE(table("a2").servingHosts(ZoneName {"d"}).empty()) << "suspected";
    EXPECT_FALSE(table("a2").find(HostId {"d1"})->record.services.empty());
    runFor(3s);
    EXPECT_EQ(table("a2").find(HostId {"d1"})->health, HostHealth::Dead);
    EXPECT_TRUE(table("a2").find(HostId {"d1"})->record.services.empty());
    runFor(65s);
    EXPECT_EQ(table("a2").find(HostId {"d1"}), nullptr);
}

TEST_F(HostTableTest, RestartedHostReplacesItsFormerIncarnationAtOnce)
{
    addNine();
    runFor(2s);
    stop("e2");
    runFor(100ms);
    add("e2", "e", "t", 2);
    runFor(800ms);
    EXPECT_EQ(table("a2").find(HostId {"e2"})->record.incarnation.value, 2u);
    EXPECT_TRUE(seesAlive("a2", "e2"));
    EXPECT_EQ(aliveAt("e2"), 8u) << "the restarted host has learned of all others";
    model::HostRecord old = table("a2").find(HostId {"e2"})->record;
    old.incarnation = {1};
    old.sequence = 1'000'000;
    const uint64_t stale = counters_.value(model::Counter::StaleMessages);
    EXPECT_FALSE(table("e1").handle(old.host, model::Heartbeat {old}, now_));
    EXPECT_EQ(counters_.value(model::Counter::StaleMessages), stale + 1);
}

TEST_F(HostTableTest, LateReportDoesNotMakeAHostLookFresh)
{
    add("a1", "a", "r");
    model::HostRecord record {.host = HostId {"x"}, .incarnation = {1}, .sequence = 9, .zone = ZoneName {"x"}};
    record.state = model::HostState::Serving;
    const model::ZoneReport report {.zone = ZoneName {"x"}, .relay = record.host, .hosts = {record}, .ages = {1500ms}};
    EXPECT_TRUE(table("a1").handle(record.host, report, Start));
    EXPECT_EQ(table("a1").find(record.host)->health, HostHealth::Suspected);
    EXPECT_FALSE(table("a1").handle(record.host, report, Start + 1s)) << "the repeated report brings nothing new";
    EXPECT_EQ(table("a1").find(record.host)->age, 1500ms);
}

TEST_F(HostTableTest, CutRegionIsSuspectedAndRecoversEvenAfterItsRemoval)
{
    addNine();
    runFor(2s);
    cut_ = {HostId {"e1"}, HostId {"e2"}, HostId {"f1"}};
    runFor(5s);
    EXPECT_EQ(aliveAt("a2"), 5u);
    EXPECT_EQ(aliveAt("e2"), 2u);
    cut_.clear();
    runFor(1s);
    EXPECT_EQ(aliveAt("a2"), 8u);
    EXPECT_EQ(aliveAt("e2"), 8u);
    cut_ = {HostId {"e1"}, HostId {"e2"}, HostId {"f1"}};
    runFor(80s);
    EXPECT_EQ(table("a2").find(HostId {"e1"}), nullptr);
    cut_.clear();
    for (auto& [id, member] : members_) {
        for (const char* host : {"e1", "e2", "f1"})
            dropLink(member, HostId {host});
    }
    runFor(2s);
    EXPECT_EQ(aliveAt("a2"), 8u);
    EXPECT_EQ(aliveAt("e2"), 8u);
}

TEST_F(HostTableTest, MessagesGrowWithZonesNotWithAllPairs)
{
    for (int zone = 0; zone < 6; ++zone) {
        for (int i = 0; i < 5; ++i) {
            std::string host(1, static_cast<char>('a' + zone));
            add(host + std::to_string(i + 1), host.substr(0, 1), "r");
        }
    }
    runFor(3s);
    sent_ = 0;
    runFor(10s);
    // Per second: 5 x 4 heartbeats of each host; of each relay 5 x 5 reports, 5 x 5 x 4 forwards, 4 in its own zone.
    const size_t bound = 10 * (30 * 5 * 4 + 6 * (25 + 100 + 4));
    EXPECT_LE(sent_, bound + bound / 10);
    EXPECT_GE(sent_, bound / 2);
    EXPECT_EQ(aliveAt("f5"), 29u);
}

} // namespace
} // namespace saltvane::membership
