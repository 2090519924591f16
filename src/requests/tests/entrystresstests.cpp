/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/headerfilter.h"
#include "requests/tests/entryfixture.h"
#include "requests/tests/outcomechecker.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace saltvane::requests {
namespace {

using model::Direction;
using model::Outcome;
using model::Reason;

constexpr int StepsPerRun = 3000;
constexpr uint64_t StressRuns = 20;

/// A request forwarded to an owner or to the issuer of its key; the test acts as this peer.
struct PeerForward {
    HostId host;
    model::ForwardRequest forward;
    std::string operation;
    bool hasRun = false;
    size_t bytesSent = 0;
    bool isHeadSent = false;
};

/// Runs the entry side with seeded random events at every step of a request; the simulated owners report true outcomes.
class EntryStressTest : public EntryFixture {
protected:
    int pick(int count) { return boost::random::uniform_int_distribution<int>(0, count - 1)(random_); }
    bool chance(int percent) { return pick(100) < percent; }

    void runSteps(uint64_t seed)
    {
        random_.seed(static_cast<uint32_t>(seed));
        for (int step = 0; step < StepsPerRun; ++step) {
            performRandomStep();
            handleActions();
            if (chance(50))
                deliverCancels();
        }
        for (int count = 0; count < 400; ++count) {
            now_ += 10ms;
            entry_->tick(now_);
            handleActions();
            deliverCancels();
        }
        for (const std::string& request : flushingCalls_)
            entry_->handle(HttpResponseDone {.handle = {std::stoull(request.substr(1))}}, now_);
        check();
    }

    void check()
    {
        checker_.finish();
        for (const std::string& fault : checker_.faults)
            ADD_FAILURE() << fault;
        EXPECT_EQ(creditStore_.inUse(), 0);
        EXPECT_FALSE(creditStore_.hasExcessReturn);
        EXPECT_EQ(entry_->inFlight(), 0U);
        EXPECT_EQ(accessRecords_, startedRequests_);
        EXPECT_GT(checker_.runs(), 100U);
        for (const int outcomeCounts : checker_.outcomeCounts)
            EXPECT_GT(outcomeCounts, 20);
    }

    void performRandomStep()
    {
        const int kind = pick(100);
        if (kind < 22)
            return startCall();
        if (kind < 26)
            return startForwardedCall();
        if (kind < 30)
            return abortRandomCall();
        if (kind < 31)
            return cancelForwardedCall();
        if (kind < 80)
            return advanceRandomForward();
        if (kind < 85)
            return replyClaim();
        if (kind < 87)
            return repeatOldFrame();
        if (kind == 87 && chance(30))
            return loseHost();
        now_ += std::chrono::milliseconds(1 + pick(60));
        entry_->tick(now_);
    }

    std::string randomKey()
    {
        const int kind = pick(10);
        if (kind < 4 && !keys_.empty())
            return keys_[keys_.size() - 1
                - static_cast<size_t>(pick(std::min<int>(10, static_cast<int>(keys_.size()))))];
        const std::string number = std::to_string(++lastKey_);
        keys_.push_back(kind < 8 ? tokenIssuer_->issue(Settlebox, now_) + "." + number : "made-" + number);
        return keys_.back();
    }

    void startCall()
    {
        const HttpHandle handle {++lastHandle_};
        const std::string name = "h" + std::to_string(handle.value);
        const bool isRepeatable = chance(40);
        const std::string key = isRepeatable ? std::string() : randomKey();
        const std::string operation = isRepeatable ? "/" + name : key;
        checker_.recordStart(name, operation);
        repeatableOperations_[operation] = isRepeatable;
        ++startedRequests_;
        openCalls_.push_back(name);
        HttpRequestStarted started {.handle = handle,
            .method = isRepeatable ? "GET" : "POST",
            .path = isRepeatable ? operation : "/wire",
            .headers = {{"Saltvane-Service", "settlebox"}, {"Saltvane-Deadline-Ms", std::to_string(100 + pick(1500))}},
            .bodyLength = isRepeatable ? 0 : 4,
            .remoteAddress = "10.1.0.1"};
        if (!isRepeatable)
            started.headers.push_back({"Idempotency-Key", key});
        entry_->handle(started, now_);
        handleActions();
        if (isRepeatable || chance(5))
            return; // The caller never sends its body.
        entry_->handle(HttpRequestBody {.handle = handle, .bytes = "pay!", .isLast = true}, now_);
    }

    void startForwardedCall()
    {
        const uint64_t correlation = ++lastCorrelation_;
        const std::string name = "l" + std::to_string(correlation);
        const std::string key = randomKey();
        checker_.recordStart(name, key);
        repeatableOperations_[key] = false;
        ++startedRequests_;
        forwardedCalls_.push_back(correlation);
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
        deliverToEntry(OtherEntry, request);
        deliverToEntry(OtherEntry, model::ForwardBody {.correlation = {correlation}, .bytes = "pay!", .isLast = true});
        if (chance(20))
            deliverToEntry(OtherEntry, request);
    }

    void deliverToEntry(const HostId& from, model::Message message)
    {
        entry_->handle(model::Delivery {.from = from, .fromIncarnation = OtherIncarnation, .message = message}, now_);
        deliveredFrames_.push_back({.from = from, .fromIncarnation = OtherIncarnation, .message = std::move(message)});
        handleActions();
    }

    void abortRandomCall()
    {
        if (openCalls_.empty())
            return;
        const auto position = openCalls_.begin() + pick(static_cast<int>(openCalls_.size()));
        const std::string name = *position;
        openCalls_.erase(position);
        checker_.recordDisconnect(name);
        entry_->handle(HttpRequestAborted {.handle = {std::stoull(name.substr(1))}}, now_);
    }

    void cancelForwardedCall()
    {
        if (!forwardedCalls_.empty())
            deliverToEntry(OtherEntry,
                model::ForwardCancel {.correlation
                    = {forwardedCalls_[static_cast<size_t>(pick(static_cast<int>(forwardedCalls_.size())))]}});
    }

    /// Advances a random forwarded request by one step.
    void advanceRandomForward()
    {
        if (peerForwards_.empty())
            return;
        auto position = peerForwards_.begin();
        std::advance(position, pick(static_cast<int>(peerForwards_.size())));
        PeerForward& peerForward = position->second;
        const int kind = pick(10);
        if (!peerForward.hasRun && kind < 3)
            return completePeerForward(peerForward.forward.correlation, Outcome::NotRun, refusalReason());
        if (!peerForward.hasRun) {
            checker_.recordRun(peerForward.operation, repeatableOperations_[peerForward.operation]);
            peerForward.hasRun = true;
            return;
        }
        if (kind == 0)
            return completePeerForward(peerForward.forward.correlation, Outcome::Unknown, Reason::TargetFailed);
        sendResponsePart(peerForward);
    }

    Reason refusalReason()
    {
        constexpr std::array<Reason, 4> Reasons {
            Reason::QueueFull, Reason::TargetShed, Reason::QueueTimeout, Reason::NoTarget};
        return Reasons[static_cast<size_t>(pick(4))];
    }

    void sendResponsePart(PeerForward& peerForward)
    {
        const std::string body = OutcomeChecker::responseBodyOf(peerForward.operation);
        const CorrelationId correlation = peerForward.forward.correlation;
        const HostId host = peerForward.host;
        if (!peerForward.isHeadSent) {
            peerForward.isHeadSent = true;
            const bool isChunked = chance(30);
            return deliverToEntry(host,
                model::ForwardResponseHead {.correlation = correlation,
                    .status = 200,
                    .bodyLength = isChunked ? std::nullopt : std::optional<uint64_t>(body.size())});
        }
        if (chance(2)) // Simulates a lost frame.
            peerForward.bytesSent = std::min(peerForward.bytesSent + 1, body.size());
        const std::string part = body.substr(peerForward.bytesSent, 30'000);
        const size_t offset = peerForward.bytesSent;
        peerForward.bytesSent += part.size();
        const bool isLast = peerForward.bytesSent == body.size();
        deliverToEntry(host,
            model::ForwardBody {.correlation = correlation,
                .direction = Direction::ToClient,
                .offset = offset,
                .bytes = part,
                .isLast = isLast});
        if (isLast || chance(2)) // Or simulates an end before the last byte.
            completePeerForward(correlation, Outcome::Answered, Reason::None);
    }

    void completePeerForward(CorrelationId correlation, Outcome outcome, Reason reason)
    {
        const auto found = peerForwards_.find(correlation);
        if (found == peerForwards_.end())
            return;
        const HostId host = found->second.host;
        peerForwards_.erase(found);
        deliverToEntry(host, model::ForwardEnd {.correlation = correlation, .outcome = outcome, .reason = reason});
    }

    void replyClaim()
    {
        if (claims_.empty())
            return;
        const size_t index = static_cast<size_t>(pick(static_cast<int>(claims_.size())));
        const model::ClaimRequest claim = claims_[index];
        claims_.erase(claims_.begin() + static_cast<ptrdiff_t>(index));
        const bool isGranted = chance(80);
        deliverToEntry(ControlLeader,
            model::ClaimReply {.claim = claim.claim,
                .result = isGranted ? model::ClaimResult::Granted : model::ClaimResult::NoQuorum,
                .holder = SelfHost,
                .holderIncarnation = SelfIncarnation});
    }

    void repeatOldFrame()
    {
        if (deliveredFrames_.empty())
            return;
        const model::Delivery frame
            = deliveredFrames_[static_cast<size_t>(pick(static_cast<int>(deliveredFrames_.size())))];
        // A link doesn't repeat or reorder the frames of a request in progress.
        const auto* body = std::get_if<model::ForwardBody>(&frame.message);
        const auto* head = std::get_if<model::ForwardResponseHead>(&frame.message);
        const auto* end = std::get_if<model::ForwardEnd>(&frame.message);
        const bool isOpen = (body && peerForwards_.contains(body->correlation))
            || (head && peerForwards_.contains(head->correlation)) || (end && peerForwards_.contains(end->correlation))
            || std::holds_alternative<model::ForwardCancel>(frame.message)
            || (body && body->direction == Direction::ToTarget);
        if (!isOpen)
            entry_->handle(frame, now_);
    }

    void loseHost()
    {
        if (chance(30)) {
            for (const uint64_t correlation : std::exchange(forwardedCalls_, {}))
                checker_.recordDisconnect("l" + std::to_string(correlation));
            return entry_->onHostLost(OtherEntry, now_);
        }
        const HostId host = chance(50) ? LocalOwner : RemoteOwner;
        std::erase_if(peerForwards_, [&host](const auto& entry) { return entry.second.host == host; });
        entry_->onHostLost(host, now_);
    }

    void handleActions()
    {
        for (Action& action : entry_->drainActions())
            std::visit([this](auto& done) { handleAction(done); }, action);
    }
    static std::string nameOf(HttpHandle handle) { return "h" + std::to_string(handle.value); }
    void handleAction(HttpRespond& action)
    {
        const std::string name = nameOf(action.handle);
        bodies_[name] = action.bytes;
        outcomes_[name] = headerOf(action.headers, OutcomeHeader);
        if (action.isLast)
            return finish(name);
        if (action.bodyLength)
            streamedLengths_[name] = *action.bodyLength;
    }
    void handleAction(HttpResponseBody& action)
    {
        const std::string name = nameOf(action.handle);
        bodies_[name] += action.bytes;
        if (action.isLast)
            return finish(name);
        entry_->handle(HttpResponseProgress {.handle = action.handle, .bytes = action.bytes.size()}, now_);
        const auto length = streamedLengths_.find(name);
        if (length != streamedLengths_.end() && length->second == bodies_[name].size() && chance(50))
            completeBeforeOwner(action.handle);
    }
    /// The HTTP server needs no end of the stream to complete a response of known length.
    void completeBeforeOwner(HttpHandle handle)
    {
        recordCompletion(nameOf(handle));
        entry_->handle(HttpResponseDone {.handle = handle}, now_);
    }
    void finish(const std::string& name)
    {
        recordCompletion(name);
        flushingCalls_.push_back(name);
    }
    void recordCompletion(const std::string& name)
    {
        const std::string& text = outcomes_[name];
        const Outcome outcome = text == "answered" ? Outcome::Answered
            : text == "not-run"                    ? Outcome::NotRun
                                                   : Outcome::Unknown;
        checker_.recordOutcome(name, outcome, bodies_[name]);
        std::erase(openCalls_, name);
    }
    void handleAction(HttpAbort& action)
    {
        checker_.recordBrokenResponse(nameOf(action.handle));
        std::erase(openCalls_, nameOf(action.handle));
    }
    void handleAction(model::OutgoingMessage& action)
    {
        const HostId to = action.to;
        if (const auto* forward = std::get_if<model::ForwardRequest>(&action.message))
            peerForwards_[forward->correlation] = {.host = to,
                .forward = *forward,
                .operation = forward->isRepeatable ? forward->path : forward->idempotencyKey};
        else if (const auto* claim = std::get_if<model::ClaimRequest>(&action.message))
            claims_.push_back(*claim);
        else if (const auto* cancel = std::get_if<model::ForwardCancel>(&action.message))
            cancelled_.push_back(cancel->correlation);
        else if (to == OtherEntry)
            std::visit([this](const auto& sentBack) { handleSentBack(sentBack); }, action.message);
    }
    template <typename Other> void handleAction(Other&) { }
    void handleAction(AccessRecord&) { ++accessRecords_; }

    void handleSentBack(const model::ForwardResponseHead& head) { forwardedBodies_[head.correlation.value].clear(); }
    void handleSentBack(const model::ForwardBody& body)
    {
        std::string& bytes = forwardedBodies_[body.correlation.value];
        if (body.offset != bytes.size())
            checker_.report("gap in the body sent to another entry host");
        bytes += body.bytes;
    }
    void handleSentBack(const model::ForwardEnd& end)
    {
        checker_.recordOutcome(
            "l" + std::to_string(end.correlation.value), end.outcome, forwardedBodies_[end.correlation.value]);
        std::erase(forwardedCalls_, end.correlation.value);
    }
    template <typename Other> void handleSentBack(const Other&) { }

    /// Delivers cancels to owners between other events, in any order relative to the owners' own frames.
    void deliverCancels()
    {
        for (const CorrelationId correlation : std::exchange(cancelled_, {})) {
            const auto found = peerForwards_.find(correlation);
            if (found == peerForwards_.end())
                continue;
            const bool hasRun = found->second.hasRun;
            completePeerForward(correlation, hasRun ? Outcome::Unknown : Outcome::NotRun, Reason::ClientGone);
        }
    }

    boost::random::mt19937 random_;
    OutcomeChecker checker_;
    std::map<CorrelationId, PeerForward> peerForwards_;
    std::map<std::string, bool> repeatableOperations_; ///< Value: the operation is repeatable.
    std::vector<std::string> keys_;
    std::vector<std::string> openCalls_;
    std::vector<std::string> flushingCalls_;
    std::map<std::string, uint64_t> streamedLengths_;
    std::vector<uint64_t> forwardedCalls_;
    std::vector<model::ClaimRequest> claims_;
    std::vector<CorrelationId> cancelled_;
    std::vector<model::Delivery> deliveredFrames_;
    std::map<std::string, std::string> bodies_;
    std::map<std::string, std::string> outcomes_;
    std::map<uint64_t, std::string> forwardedBodies_;
    uint64_t lastKey_ = 0;
    uint64_t lastCorrelation_ = 0;
    uint64_t startedRequests_ = 0;
    uint64_t accessRecords_ = 0;
};

class SeededEntryStressTest : public EntryStressTest, public testing::WithParamInterface<uint64_t> { };

TEST_P(SeededEntryStressTest, EveryRequestHasOneTrueOutcome) { runSteps(GetParam()); }

INSTANTIATE_TEST_SUITE_P(Seeds, SeededEntryStressTest, testing::Range<uint64_t>(1, StressRuns + 1));

TEST(OutcomeCheckerTest, FindsEachFault)
{
    const auto faultsOf = [](auto&& scenario) {
        OutcomeChecker checker;
        checker.recordStart("a", "wire");
        scenario(checker);
        checker.finish();
        return checker.faults.size();
    };
    const std::string whole = OutcomeChecker::responseBodyOf("wire");
    EXPECT_EQ(faultsOf([&](OutcomeChecker& checker) {
        checker.recordRun("wire", false);
        checker.recordOutcome("a", Outcome::Answered, whole);
    }),
        0U);
    EXPECT_EQ(faultsOf([](OutcomeChecker&) {}), 1U) << "no outcome";
    EXPECT_EQ(faultsOf([&](OutcomeChecker& checker) {
        checker.recordRun("wire", false);
        checker.recordRun("wire", false);
        checker.recordOutcome("a", Outcome::Answered, whole);
    }),
        1U)
        << "repeated run";
    EXPECT_EQ(faultsOf([](OutcomeChecker& checker) {
        checker.recordRun("wire", false);
        checker.recordOutcome("a", Outcome::NotRun, "");
    }),
        1U)
        << "reported not run after a run";
    EXPECT_EQ(faultsOf([&](OutcomeChecker& checker) {
        checker.recordRun("wire", false);
        checker.recordOutcome("a", Outcome::Answered, whole.substr(1));
    }),
        1U)
        << "incomplete response";
    EXPECT_EQ(faultsOf([](OutcomeChecker& checker) {
        checker.recordOutcome("a", Outcome::NotRun, "");
        checker.recordOutcome("a", Outcome::NotRun, "");
    }),
        1U)
        << "two outcomes";
    EXPECT_EQ(faultsOf([](OutcomeChecker& checker) {
        checker.recordDisconnect("a");
        checker.recordOutcome("a", Outcome::NotRun, "");
    }),
        1U)
        << "response after the caller disconnected";
}

} // namespace
} // namespace saltvane::requests
