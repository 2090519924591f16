/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/headerfilter.h"
#include "requests/tests/entryfixture.h"
#include "requests/tests/stormchecker.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace saltvane::requests {
namespace {

using model::Direction;
using model::Outcome;
using model::Reason;

constexpr int StepsPerStorm = 3000;
constexpr uint64_t Storms = 20;

/// A forward at an owner, or at another entry host as the minter, played by the test.
struct Play {
    HostId host;
    model::ForwardRequest forward;
    std::string work;
    bool hasRun = false;
    size_t answered = 0;
    bool isHeadSent = false;
};

/// Seeded random events at every step of requests, with owners that tell the truth.
class StormTest : public EntryFixture {
protected:
    int pick(int count) { return boost::random::uniform_int_distribution<int>(0, count - 1)(random_); }
    bool isChance(int percent) { return pick(100) < percent; }

    void storm(uint64_t seed)
    {
        random_.seed(static_cast<uint32_t>(seed));
        for (int step = 0; step < StepsPerStorm; ++step) {
            act();
            drain();
            if (isChance(50))
                hearCancels();
        }
        for (int count = 0; count < 400; ++count) {
            now_ += 10ms;
            entry_->tick(now_);
            drain();
            hearCancels();
        }
        for (const std::string& request : flushing_)
            entry_->handle(HttpResponseDone {.handle = {std::stoull(request.substr(1))}}, now_);
        check();
    }

    void check()
    {
        checker_.finish();
        for (const std::string& fault : checker_.faults)
            ADD_FAILURE() << fault;
        EXPECT_EQ(wallet_.taken(), 0);
        EXPECT_FALSE(wallet_.hasWrongGiveBack);
        EXPECT_EQ(entry_->inFlight(), 0U);
        EXPECT_EQ(recordsSeen_, started_);
        EXPECT_GT(checker_.runs(), 100U);
        for (const int told : checker_.told)
            EXPECT_GT(told, 20);
    }

    void act()
    {
        const int kind = pick(100);
        if (kind < 22)
            return startCall();
        if (kind < 26)
            return startLinkCall();
        if (kind < 30)
            return leave();
        if (kind < 31)
            return cancelLink();
        if (kind < 80)
            return advanceOne();
        if (kind < 85)
            return replyClaim();
        if (kind < 87)
            return repeatOldFrame();
        if (kind == 87 && isChance(30))
            return loseHost();
        now_ += std::chrono::milliseconds(1 + pick(60));
        entry_->tick(now_);
    }

    std::string chooseKey()
    {
        const int kind = pick(10);
        if (kind < 4 && !keys_.empty())
            return keys_[keys_.size() - 1
                - static_cast<size_t>(pick(std::min<int>(10, static_cast<int>(keys_.size()))))];
        const std::string number = std::to_string(++lastKey_);
        keys_.push_back(kind < 8 ? minter_->mint(Settlebox, now_) + "." + number : "made-" + number);
        return keys_.back();
    }

    void startCall()
    {
        const HttpHandle handle {++lastHandle_};
        const std::string name = "h" + std::to_string(handle.value);
        const bool isRead = isChance(40);
        const std::string key = isRead ? std::string() : chooseKey();
        const std::string work = isRead ? "/" + name : key;
        checker_.noteStart(name, work);
        works_[work] = isRead;
        ++started_;
        open_.push_back(name);
        HttpRequestStarted started {.handle = handle,
            .method = isRead ? "GET" : "POST",
            .path = isRead ? work : "/wire",
            .headers = {{"Saltvane-Service", "settlebox"}, {"Saltvane-Deadline-Ms", std::to_string(100 + pick(1500))}},
            .bodyLength = isRead ? 0 : 4,
            .remoteAddress = "10.1.0.1"};
        if (!isRead)
            started.headers.push_back({"Idempotency-Key", key});
        entry_->handle(started, now_);
        drain();
        if (isRead || isChance(5))
            return; // a sender that stalls
        entry_->handle(HttpRequestBody {.handle = handle, .bytes = "pay!", .isLast = true}, now_);
    }

    void startLinkCall()
    {
        const uint64_t correlation = ++lastCorrelation_;
        const std::string name = "l" + std::to_string(correlation);
        const std::string key = chooseKey();
        checker_.noteStart(name, key);
        works_[key] = false;
        ++started_;
        links_.push_back(correlation);
        const model::ForwardRequest request {.correlation = {correlation},
            .purpose = model::ForwardPurpose::Mint,
            .request = RequestId(name),
            .service = Settlebox,
            .clientRegion = RegionName("gye"),
            .method = "POST",
            .path = "/wire",
            .bodyLength = 4,
            .deadline = 800ms,
            .idempotencyKey = key};
        toEntry(OtherEntry, request);
        toEntry(OtherEntry, model::ForwardBody {.correlation = {correlation}, .bytes = "pay!", .isLast = true});
        if (isChance(20))
            toEntry(OtherEntry, request);
    }

    void toEntry(const HostId& from, model::Message message)
    {
        entry_->handle(model::Delivery {.from = from, .fromIncarnation = OtherIncarnation, .message = message}, now_);
        old_.push_back({.from = from, .fromIncarnation = OtherIncarnation, .message = std::move(message)});
        drain();
    }

    void leave()
    {
        if (open_.empty())
            return;
        const auto position = open_.begin() + pick(static_cast<int>(open_.size()));
        const std::string name = *position;
        open_.erase(position);
        checker_.noteGone(name);
        entry_->handle(HttpRequestAborted {.handle = {std::stoull(name.substr(1))}}, now_);
    }

    void cancelLink()
    {
        if (!links_.empty())
            toEntry(OtherEntry,
                model::ForwardCancel {
                    .correlation = {links_[static_cast<size_t>(pick(static_cast<int>(links_.size())))]}});
    }

    /// One forward goes on by a step.
    void advanceOne()
    {
        if (plays_.empty())
            return;
        auto position = plays_.begin();
        std::advance(position, pick(static_cast<int>(plays_.size())));
        Play& play = position->second;
        const int kind = pick(10);
        if (!play.hasRun && kind < 3)
            return endPlay(play.forward.correlation, Outcome::NotRun, refusalReason());
        if (!play.hasRun) {
            checker_.noteRun(play.work, works_[play.work]);
            play.hasRun = true;
            return;
        }
        if (kind == 0)
            return endPlay(play.forward.correlation, Outcome::Unknown, Reason::TargetFailed);
        sendAnswer(play);
    }

    Reason refusalReason()
    {
        constexpr std::array<Reason, 4> Reasons {
            Reason::QueueFull, Reason::TargetShed, Reason::QueueTimeout, Reason::NoTarget};
        return Reasons[static_cast<size_t>(pick(4))];
    }

    void sendAnswer(Play& play)
    {
        const std::string body = StormChecker::bodyOf(play.work);
        const CorrelationId correlation = play.forward.correlation;
        const HostId host = play.host;
        if (!play.isHeadSent) {
            play.isHeadSent = true;
            const bool isChunked = isChance(30);
            return toEntry(host,
                model::ForwardResponseHead {.correlation = correlation,
                    .status = 200,
                    .bodyLength = isChunked ? std::nullopt : std::optional<uint64_t>(body.size())});
        }
        if (isChance(2)) // a frame is lost
            play.answered = std::min(play.answered + 1, body.size());
        const std::string part = body.substr(play.answered, 30'000);
        const size_t offset = play.answered;
        play.answered += part.size();
        const bool isLast = play.answered == body.size();
        toEntry(host,
            model::ForwardBody {.correlation = correlation,
                .direction = Direction::ToClient,
                .offset = offset,
                .bytes = part,
                .isLast = isLast});
        if (isLast || isChance(2)) // or an end that comes too soon
            endPlay(correlation, Outcome::Answered, Reason::None);
    }

    void endPlay(CorrelationId correlation, Outcome outcome, Reason reason)
    {
        const auto found = plays_.find(correlation);
        if (found == plays_.end())
            return;
        const HostId host = found->second.host;
        plays_.erase(found);
        toEntry(host, model::ForwardEnd {.correlation = correlation, .outcome = outcome, .reason = reason});
    }

    void replyClaim()
    {
        if (claims_.empty())
            return;
        const size_t index = static_cast<size_t>(pick(static_cast<int>(claims_.size())));
        const model::ClaimRequest claim = claims_[index];
        claims_.erase(claims_.begin() + static_cast<ptrdiff_t>(index));
        const bool isGranted = isChance(80);
        toEntry(ControlLeader,
            model::ClaimReply {.claim = claim.claim,
                .result = isGranted ? model::ClaimResult::Granted : model::ClaimResult::NoQuorum,
                .holder = SelfHost,
                .holderIncarnation = SelfIncarnation});
    }

    void repeatOldFrame()
    {
        if (old_.empty())
            return;
        const model::Delivery frame = old_[static_cast<size_t>(pick(static_cast<int>(old_.size())))];
        // A link neither repeats nor reorders the frames of a request that goes on.
        const auto* body = std::get_if<model::ForwardBody>(&frame.message);
        const auto* head = std::get_if<model::ForwardResponseHead>(&frame.message);
        const auto* end = std::get_if<model::ForwardEnd>(&frame.message);
        const bool isOpen = (body && plays_.contains(body->correlation)) || (head && plays_.contains(head->correlation))
            || (end && plays_.contains(end->correlation)) || std::holds_alternative<model::ForwardCancel>(frame.message)
            || (body && body->direction == Direction::ToTarget);
        if (!isOpen)
            entry_->handle(frame, now_);
    }

    void loseHost()
    {
        if (isChance(30)) {
            for (const uint64_t correlation : std::exchange(links_, {}))
                checker_.noteGone("l" + std::to_string(correlation));
            return entry_->noteHostLost(OtherEntry, now_);
        }
        const HostId host = isChance(50) ? NearOwner : FarOwner;
        std::erase_if(plays_, [&host](const auto& entry) { return entry.second.host == host; });
        entry_->noteHostLost(host, now_);
    }

    void drain()
    {
        for (Action& action : entry_->takeActions())
            std::visit([this](auto& done) { take(done); }, action);
    }
    static std::string nameOf(HttpHandle handle) { return "h" + std::to_string(handle.value); }
    void take(HttpRespond& action)
    {
        const std::string name = nameOf(action.handle);
        bodies_[name] = action.bytes;
        outcomes_[name] = headerOf(action.headers, OutcomeHeader);
        if (action.isLast)
            finish(name);
    }
    void take(HttpResponseBody& action)
    {
        const std::string name = nameOf(action.handle);
        bodies_[name] += action.bytes;
        if (action.isLast)
            return finish(name);
        entry_->handle(HttpResponseProgress {.handle = action.handle, .bytes = action.bytes.size()}, now_);
    }
    void finish(const std::string& name)
    {
        const std::string& text = outcomes_[name];
        const Outcome outcome = text == "answered" ? Outcome::Answered
            : text == "not-run"                    ? Outcome::NotRun
                                                   : Outcome::Unknown;
        checker_.noteOutcome(name, outcome, bodies_[name]);
        std::erase(open_, name);
        flushing_.push_back(name);
    }
    void take(HttpAbort& action)
    {
        checker_.noteBroken(nameOf(action.handle));
        std::erase(open_, nameOf(action.handle));
    }
    void take(model::Outgoing& action)
    {
        const HostId to = action.to;
        if (const auto* forward = std::get_if<model::ForwardRequest>(&action.message))
            plays_[forward->correlation] = {.host = to,
                .forward = *forward,
                .work = forward->isRepeatable ? forward->path : forward->idempotencyKey};
        else if (const auto* claim = std::get_if<model::ClaimRequest>(&action.message))
            claims_.push_back(*claim);
        else if (const auto* cancel = std::get_if<model::ForwardCancel>(&action.message))
            cancelled_.push_back(cancel->correlation);
        else if (to == OtherEntry)
            std::visit([this](const auto& sentBack) { takeLink(sentBack); }, action.message);
    }
    template <typename Other> void take(Other&) { }
    void take(AccessRecord&) { ++recordsSeen_; }

    void takeLink(const model::ForwardResponseHead& head) { linkBodies_[head.correlation.value].clear(); }
    void takeLink(const model::ForwardBody& body)
    {
        std::string& bytes = linkBodies_[body.correlation.value];
        if (body.offset != bytes.size())
            checker_.report("a gap towards another entry host");
        bytes += body.bytes;
    }
    void takeLink(const model::ForwardEnd& end)
    {
        checker_.noteOutcome(
            "l" + std::to_string(end.correlation.value), end.outcome, linkBodies_[end.correlation.value]);
        std::erase(links_, end.correlation.value);
    }
    template <typename Other> void takeLink(const Other&) { }

    /// Owners hear of cancelled attempts between events, in any order with their own frames.
    void hearCancels()
    {
        for (const CorrelationId correlation : std::exchange(cancelled_, {})) {
            const auto found = plays_.find(correlation);
            if (found == plays_.end())
                continue;
            const bool hasRun = found->second.hasRun;
            endPlay(correlation, hasRun ? Outcome::Unknown : Outcome::NotRun, Reason::ClientGone);
        }
    }

    boost::random::mt19937 random_;
    StormChecker checker_;
    std::map<CorrelationId, Play> plays_;
    std::map<std::string, bool> works_; ///< Repeatable?
    std::vector<std::string> keys_;
    std::vector<std::string> open_;
    std::vector<std::string> flushing_;
    std::vector<uint64_t> links_;
    std::vector<model::ClaimRequest> claims_;
    std::vector<CorrelationId> cancelled_;
    std::vector<model::Delivery> old_;
    std::map<std::string, std::string> bodies_;
    std::map<std::string, std::string> outcomes_;
    std::map<uint64_t, std::string> linkBodies_;
    uint64_t lastKey_ = 0;
    uint64_t lastCorrelation_ = 0;
    uint64_t started_ = 0;
    uint64_t recordsSeen_ = 0;
};

class SeededStormTest : public StormTest, public testing::WithParamInterface<uint64_t> { };

TEST_P(SeededStormTest, EveryRequestHasOneTrueOutcome) { storm(GetParam()); }

INSTANTIATE_TEST_SUITE_P(Seeds, SeededStormTest, testing::Range<uint64_t>(1, Storms + 1));

TEST(StormCheckerTest, FindsEachFault)
{
    const auto faultsOf = [](auto&& play) {
        StormChecker checker;
        checker.noteStart("a", "wire");
        play(checker);
        checker.finish();
        return checker.faults.size();
    };
    const std::string whole = StormChecker::bodyOf("wire");
    EXPECT_EQ(faultsOf([&](StormChecker& checker) {
        checker.noteRun("wire", false);
        checker.noteOutcome("a", Outcome::Answered, whole);
    }),
        0U);
    EXPECT_EQ(faultsOf([](StormChecker&) {}), 1U) << "no outcome";
    EXPECT_EQ(faultsOf([&](StormChecker& checker) {
        checker.noteRun("wire", false);
        checker.noteRun("wire", false);
        checker.noteOutcome("a", Outcome::Answered, whole);
    }),
        1U)
        << "double run";
    EXPECT_EQ(faultsOf([](StormChecker& checker) {
        checker.noteRun("wire", false);
        checker.noteOutcome("a", Outcome::NotRun, "");
    }),
        1U)
        << "false not run";
    EXPECT_EQ(faultsOf([&](StormChecker& checker) {
        checker.noteRun("wire", false);
        checker.noteOutcome("a", Outcome::Answered, whole.substr(1));
    }),
        1U)
        << "short answer";
    EXPECT_EQ(faultsOf([](StormChecker& checker) {
        checker.noteOutcome("a", Outcome::NotRun, "");
        checker.noteOutcome("a", Outcome::NotRun, "");
    }),
        1U)
        << "two outcomes";
    EXPECT_EQ(faultsOf([](StormChecker& checker) {
        checker.noteGone("a");
        checker.noteOutcome("a", Outcome::NotRun, "");
    }),
        1U)
        << "an answer to nobody";
}

} // namespace
} // namespace saltvane::requests
