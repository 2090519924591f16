/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/itargetdirectory.h"
#include "membership/tests/membershipfakes.h"

#include <gtest/gtest.h>

namespace saltvane::membership {
namespace {

class TargetDirectoryTest : public ::testing::Test {
protected:
    TargetDirectoryTest()
    {
        hosts_.set(a_, 0);
        hosts_.set(b_, 0);
    }

    std::unique_ptr<ITargetDirectory> make(const HostIdentity& self)
    {
        return makeTargetDirectory({.self = self, .hosts = &hosts_, .counters = &counters_});
    }
    static bool owns(const ITargetDirectory& directory) { return !directory.ownedTargets().empty(); }
    void makeOwner(ITargetDirectory& directory)
    {
        (void)target_.announceTo(directory, Start);
        ASSERT_TRUE(target_.announceTo(directory, Start + 5ms).isOwner);
    }
    /// Delivers the pending messages of `from` to `to`; returns their number.
    static size_t deliver(ITargetDirectory& from, const HostIdentity& sender, ITargetDirectory& to, Timestamp now)
    {
        const std::vector<model::OutgoingMessage> messages = from.drainOutgoing();
        for (const model::OutgoingMessage& outgoing : messages) {
            if (const auto* handover = std::get_if<model::OwnershipHandover>(&outgoing.message))
                to.handle(sender.host, *handover, now);
            else if (const auto* progress = std::get_if<model::HandoverProgress>(&outgoing.message))
                to.handle(sender.host, *progress, now);
        }
        return messages.size();
    }

    HostIdentity a_ = makeIdentity("a", "z1", "r1");
    HostIdentity b_ = makeIdentity("b", "z1", "r1");
    FakeHostTable hosts_;
    model::Counters counters_;
    FakeTarget target_ {"t1"};
};

TEST_F(TargetDirectoryTest, OwnsOnlyOnceTheOfferIsEchoed)
{
    const auto a = make(a_);
    const AnnouncementAnswer offer = target_.announceTo(*a, Start);
    EXPECT_FALSE(offer.isOwner);
    EXPECT_EQ(offer.owner, a_.host);
    EXPECT_FALSE(owns(*a));
    EXPECT_TRUE(target_.announceTo(*a, Start + 5ms).isOwner);
    EXPECT_TRUE(owns(*a));
    EXPECT_EQ(a->drainChanges().back().kind, TargetChange::Kind::Owned);
}

TEST_F(TargetDirectoryTest, LeaseRunsFromTheEchoedOfferNotFromTheLastAnnouncement)
{
    const auto a = make(a_);
    makeOwner(*a);
    // The answer to this announcement is lost, so the lease of the target still starts with the first offer.
    (void)a->announce(target_.next(Start + 1s), Start + 1s);
    a->tick(Start + 1999ms);
    EXPECT_TRUE(owns(*a));
    a->tick(Start + 2s + 5ms);
    EXPECT_FALSE(owns(*a));
    EXPECT_EQ(a->drainChanges().back().kind, TargetChange::Kind::Lost);
}

TEST_F(TargetDirectoryTest, AnotherHostWaitsForTheLeaseAndItsGuardToExpire)
{
    const auto a = make(a_);
    const auto b = make(b_);
    makeOwner(*a);
    EXPECT_EQ(target_.announceTo(*b, Start + 1s).announceTo, a_.host);
    hosts_.view(a_.host).health = HostHealth::Dead;
    EXPECT_TRUE(target_.announceTo(*b, Start + 2100ms).owner.isEmpty());
    EXPECT_EQ(target_.announceTo(*b, Start + 2206ms).owner, b_.host);
    EXPECT_TRUE(target_.announceTo(*b, Start + 2211ms).isOwner);
}

TEST_F(TargetDirectoryTest, RestartedOwnerWaitsForItsFormerLeaseToExpire)
{
    const auto a = make(a_);
    makeOwner(*a);
    HostIdentity restarted = a_;
    restarted.incarnation = {2};
    hosts_.set(restarted, 0);
    const auto again = make(restarted);
    EXPECT_TRUE(target_.announceTo(*again, Start + 500ms).owner.isEmpty());
    EXPECT_EQ(target_.announceTo(*again, Start + 2206ms).ownerIncarnation.value, 2u);
}

TEST_F(TargetDirectoryTest, LateAndRepeatedAnnouncementsChangeNothing)
{
    const auto a = make(a_);
    const Announcement first = target_.next(Start);
    target_.applyAnswer(1, a->announce(first, Start), Start);
    const Announcement second = target_.next(Start + 5ms);
    EXPECT_TRUE(a->announce(second, Start + 5ms).isOwner);
    EXPECT_TRUE(a->announce(second, Start + 6ms).owner.isEmpty());
    EXPECT_TRUE(a->announce(first, Start + 7ms).owner.isEmpty());
    EXPECT_TRUE(owns(*a));
    EXPECT_EQ(counters_.value(model::Counter::AnnouncementsRefused), 2u);
}

TEST_F(TargetDirectoryTest, AnnouncementDelayedBeyondItsLeaseGrantsNoOwnership)
{
    const auto a = make(a_);
    makeOwner(*a);
    const Announcement delayed = target_.next(Start + 400ms);
    a->tick(Start + 3s);
    EXPECT_FALSE(a->announce(delayed, Start + 3s).isOwner);
    EXPECT_FALSE(owns(*a));
}

TEST_F(TargetDirectoryTest, NewTargetIncarnationStartsWithoutOwner)
{
    const auto a = make(a_);
    makeOwner(*a);
    FakeTarget restarted {"t1", 2};
    const AnnouncementAnswer answer = restarted.announceTo(*a, Start + 100ms);
    EXPECT_FALSE(owns(*a));
    EXPECT_EQ(answer.owner, a_.host);
    EXPECT_TRUE(target_.announceTo(*a, Start + 200ms).owner.isEmpty()) << "the old process gets no lease any more";
}

TEST_F(TargetDirectoryTest, TakeOverCountsTheBusySlotsTheTargetReports)
{
    const auto b = make(b_);
    target_.announcement().leaseOwner = HostId {"lost"};
    target_.announcement().busySlots = 4;
    (void)target_.announceTo(*b, Start);
    (void)target_.announceTo(*b, Start + 5ms);
    EXPECT_EQ(b->drainChanges().back().foreignInFlight, 4u);
    target_.announcement().busySlots = 2;
    (void)target_.announceTo(*b, Start + 500ms);
    EXPECT_EQ(b->drainChanges().back().foreignInFlight, 2u);
    b->tick(Start + 2s);
    target_.announcement().busySlots = 9;
    for (Duration after = 1s; after < 6s; after += 500ms)
        (void)target_.announceTo(*b, Start + after);
    b->tick(Start + 6s);
    EXPECT_EQ(b->drainChanges().back().foreignInFlight, 0u) << "a report must not block slots for ever";
}

TEST_F(TargetDirectoryTest, SendsNewTargetsToTheLeastLoadedHost)
{
    hosts_.set(b_, 3);
    const auto b = make(b_);
    const auto a = make(a_);
    EXPECT_EQ(target_.announceTo(*a, Start).owner, a_.host);
    hosts_.set(a_, 5);
    hosts_.set(b_, 0);
    uint32_t redirected = 0;
    for (int i = 0; i < 6; ++i) {
        FakeTarget fresh {"n" + std::to_string(i)};
        redirected += fresh.announceTo(*a, Start + 1ms).announceTo == b_.host ? 1 : 0;
    }
    EXPECT_EQ(redirected, 3u) << "the load includes its own targets and those redirected, not only the last heartbeat";
}

TEST_F(TargetDirectoryTest, ZoneWithoutHostsUsesItsRegion)
{
    hosts_.set(makeIdentity("dead", "z9", "r1"), 0, HostHealth::Dead);
    hosts_.set(makeIdentity("remote", "z8", "r2"), 0);
    target_.announcement().zone = ZoneName {"z9"};
    const auto a = make(a_);
    EXPECT_EQ(target_.announceTo(*a, Start).owner, a_.host);
    const auto remote = make(makeIdentity("remote", "z8", "r2"));
    FakeTarget other {"t2"};
    other.announcement().zone = ZoneName {"z9"};
    EXPECT_EQ(other.announceTo(*remote, Start).announceTo, a_.host);
}

TEST_F(TargetDirectoryTest, LeavingTargetIsReportedAndNeverOwnedAgain)
{
    const auto a = make(a_);
    makeOwner(*a);
    target_.announcement().state = TargetState::Leaving;
    EXPECT_TRUE(target_.announceTo(*a, Start + 500ms).isOwner);
    EXPECT_EQ(a->drainChanges().back().announcement.state, TargetState::Leaving);
    a->tick(Start + 4s);
    EXPECT_EQ(a->drainChanges().back().kind, TargetChange::Kind::Lost);
    EXPECT_TRUE(target_.announceTo(*a, Start + 5s).owner.isEmpty());
}

TEST_F(TargetDirectoryTest, PlannedStopHandsOverTheCountOfRequestsInFlight)
{
    const auto a = make(a_);
    const auto b = make(b_);
    makeOwner(*a);
    a->recordUse(TargetId {"t1"}, 3, 7);
    a->startLeaving(Start);
    EXPECT_FALSE(a->hasHandedOverAll());
    (void)target_.announceTo(*a, Start + 500ms);
    EXPECT_FALSE(owns(*a)) << "gets no new work from here on";
    EXPECT_EQ(deliver(*a, a_, *b, Start + 501ms), 1u);
    (void)deliver(*b, b_, *a, Start + 502ms);
    EXPECT_EQ(target_.announceTo(*a, Start + 510ms).owner, b_.host);
    EXPECT_TRUE(a->hasHandedOverAll());
    (void)target_.announceTo(*b, Start + 511ms);
    EXPECT_TRUE(target_.announceTo(*b, Start + 516ms).isOwner);
    TargetChange change = b->drainChanges().back();
    EXPECT_EQ(change.foreignInFlight, 3u);
    EXPECT_EQ(change.concurrencyLimit, 7u);

    // Every other query is lost: the new owner repeats it until it learns that no request is left.
    a->recordUse(TargetId {"t1"}, 0, 7);
    int rounds = 0;
    for (Timestamp now = Start + 540ms; change.foreignInFlight > 0 && rounds < 10; now += 20ms) {
        b->tick(now);
        if (++rounds % 2 == 0)
            (void)deliver(*b, b_, *a, now);
        else
            (void)b->drainOutgoing();
        (void)deliver(*a, a_, *b, now + 1ms);
        const std::vector<TargetChange> changes = b->drainChanges();
        if (!changes.empty())
            change = changes.back();
    }
    EXPECT_EQ(change.foreignInFlight, 0u);
    EXPECT_LE(rounds, 3);
}

TEST_F(TargetDirectoryTest, UnansweredHandoverKeepsTheTargetHere)
{
    const auto a = make(a_);
    makeOwner(*a);
    a->startLeaving(Start);
    EXPECT_TRUE(target_.announceTo(*a, Start + 500ms).owner.isEmpty());
    EXPECT_TRUE(target_.announceTo(*a, Start + 810ms).isOwner);
    EXPECT_TRUE(owns(*a));
}

TEST_F(TargetDirectoryTest, LostHandoverAnswerIsRepeatedAndAnOldEchoRestoresNoOwnership)
{
    const auto a = make(a_);
    const auto b = make(b_);
    makeOwner(*a);
    a->startLeaving(Start);
    (void)target_.announceTo(*a, Start + 500ms);
    (void)deliver(*a, a_, *b, Start + 500ms);
    (void)deliver(*b, b_, *a, Start + 500ms);
    EXPECT_EQ(a->announce(target_.next(Start + 510ms), Start + 510ms).owner, b_.host);
    EXPECT_EQ(target_.announceTo(*a, Start + 900ms).owner, b_.host);
    EXPECT_FALSE(owns(*a));
}

TEST_F(TargetDirectoryTest, DeadPredecessorsCountFallsByReportsAndExpiresAtTheLimit)
{
    const auto b = make(b_);
    b->handle(a_.host,
        model::OwnershipHandover {.target = TargetId {"t1"}, .targetIncarnation = {1}, .slots = 9, .stillInFlight = 5},
        Start);
    target_.announcement().leaseOwner = b_.host;
    target_.announcement().leaseOwnerIncarnation = b_.incarnation;
    (void)target_.announceTo(*b, Start);
    (void)target_.announceTo(*b, Start + 5ms);
    hosts_.view(a_.host).health = HostHealth::Dead;
    b->tick(Start + 100ms);
    EXPECT_EQ(b->drainChanges().back().foreignInFlight, 5u);
    target_.announcement().busySlots = 4;
    (void)target_.announceTo(*b, Start + 500ms);
    EXPECT_EQ(b->drainChanges().back().foreignInFlight, 4u) << "the report of the target lowers the count";
    for (Duration after = 1s; after <= 5s; after += 500ms)
        (void)target_.announceTo(*b, Start + after);
    b->tick(Start + 5150ms);
    EXPECT_EQ(b->drainChanges().back().foreignInFlight, 0u);
}

TEST_F(TargetDirectoryTest, HandsOverToBalanceButNotBelowTheAllowedImbalance)
{
    const auto a = make(a_);
    hosts_.set(b_, 1);
    makeOwner(*a);
    FakeTarget second {"t2"};
    (void)second.announceTo(*a, Start);
    EXPECT_TRUE(second.announceTo(*a, Start + 5ms).isOwner);
    hosts_.set(b_, 0);
    (void)target_.announceTo(*a, Start + 500ms);
    EXPECT_EQ(a->ownedTargets().size(), 1u);
    (void)second.announceTo(*a, Start + 700ms);
    EXPECT_EQ(a->ownedTargets().size(), 1u) << "each host owns one";
}

TEST_F(TargetDirectoryTest, TargetReturnsToItsZoneOnceItHasHostsAgain)
{
    const HostIdentity zoneHost = makeIdentity("zone-host", "z7", "r1");
    target_.announcement().zone = zoneHost.zone;
    const auto a = make(a_);
    makeOwner(*a);
    hosts_.set(zoneHost, 0);
    (void)target_.announceTo(*a, Start + 500ms);
    const std::vector<model::OutgoingMessage> outgoing = a->drainOutgoing();
    ASSERT_EQ(outgoing.size(), 1u);
    EXPECT_EQ(outgoing.front().to, zoneHost.host);
}

} // namespace
} // namespace saltvane::membership
