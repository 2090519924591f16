/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/forwardedheader.h"
#include "gatewayfixture.h"

#include <algorithm>
#include <set>

namespace saltvane::gateway::test {

namespace {

const std::string Accounts
    = R"([{"name":"acme","keys":["key-a"]},{"name":"limited","keys":["key-l"],"rate_per_s":10,"burst":5},
    {"name":"southern","keys":["key-s"],"permitted_regions":["south"]}])";
const model::Header LimitedKey {.name = "Saltvane-Client-Key", .value = "key-l"};

model::PeerRecord peer(const std::string& ip, const std::string& zone, const std::string& region)
{
    return {.host = HostId(ip + ":7000"),
        .zone = ZoneName(zone),
        .region = RegionName(region),
        .frontAddress = {.ip = ip, .port = 8000}};
}

} // namespace

class ForwardingTest : public GatewayFixture {
protected:
    ForwardingTest()
    {
        installPlan(1);
        reportTargets({target("t-1"), target("t-2", "quotes", "north-b"), target("t-3", "quotes", "south-a")});
        deliver(model::PeerReport {.peers = {peer("10.0.0.2", "north-a", "north"), peer("10.0.0.3", "north-b", "north"),
                                       peer("10.0.0.4", "south-a", "south")}});
    }

    /// All targets fail to accept connections.
    void isolate()
    {
        for (int i = 0; i < 3 && !isIsolated(); ++i) {
            request({.id = "isolating-" + std::to_string(i), .object = std::to_string(i)});
            for (const requests::TargetStart& start : takeStarts()) {
                if (!isToPeer(start))
                    fail(start, false);
            }
        }
        ASSERT_TRUE(isIsolated());
        for (const requests::TargetStart& start : takeStarts())
            answer(start, {.id = header(start.headers, "Saltvane-Request-Id")});
        while (takeResponse()) { }
        (void)takeCancels();
    }
    /// Requests that are served earn the retries of later ones.
    void earnRetries()
    {
        for (int i = 0; i < 10; ++i) {
            request({.id = "earning"});
            answer(onlyStart(), {.id = "earning"});
            (void)takeResponse();
        }
    }
    bool isIsolated() { return gateway_->status(now_).areTargetsUnreachable; }
    static bool isToPeer(const requests::TargetStart& start) { return start.address.port == 8000; }
    /// The first byte of the request is sent.
    void sendFirstByte(const requests::TargetStart& start)
    {
        EXPECT_EQ(gateway_->recheckDispatch(start.dispatch, now_), model::Reason::None);
    }
    requests::TargetStart onlyStart()
    {
        const std::vector<requests::TargetStart> starts = takeStarts();
        EXPECT_EQ(starts.size(), 1U);
        return starts.empty() ? requests::TargetStart {} : starts.front();
    }
    /// The peer refuses a request itself: the one that it was sent, unless `id` names another one.
    void answerAsPeer(const requests::TargetStart& start, int status, const std::string& reason,
        const std::optional<std::string>& id = std::nullopt)
    {
        answer(start,
            {.status = status,
                .id = id.value_or(header(start.headers, "Saltvane-Request-Id")),
                .extraHeaders
                = {{.name = "Saltvane-Reason", .value = reason}, {.name = "Retry-After", .value = "1.5"}}});
    }
    /// Peers rest after a failure. Drops what the requests of isolate() cause meanwhile.
    void awaitPeers()
    {
        advance(2s);
        (void)takeStarts();
        (void)takeCancels();
        while (takeResponse()) { }
    }
    /// A response without an id to the first request on a connection.
    void respondUnnamedOnNewConnection(
        const requests::TargetStart& start, int status, std::vector<model::Header> headers = {})
    {
        gateway_->handle(requests::TargetEvent(requests::TargetResponseHead {.dispatch = start.dispatch,
                             .status = status,
                             .headers = std::move(headers),
                             .bodyLength = 0,
                             .isNewConnection = true}),
            now_);
        gateway_->handle(requests::TargetEvent(requests::TargetResponseDone {.dispatch = start.dispatch}), now_);
        advance(20ms);
    }
    /// The request as another gateway would receive it.
    static CallerRequest receivedAt(const requests::TargetStart& start)
    {
        CallerRequest received {.path = start.path, .id = header(start.headers, "Saltvane-Request-Id")};
        for (const std::string_view name : {ForwardedHeader, ForwardedPlanHeader})
            received.extraHeaders.push_back(
                {.name = std::string(name), .value = header(start.headers, std::string(name))});
        return received;
    }
};

// Guards against gateways that refuse requests while they reach no target and a peer does.
TEST_F(ForwardingTest, RequestsGoByTheNearestPeerWhileNoTargetIsReachable)
{
    isolate();
    request({.id = "try-9", .deadlineMs = "900"});
    const requests::TargetStart start = onlyStart();
    EXPECT_EQ(toString(start.address), "10.0.0.2:8000");
    EXPECT_EQ(header(start.headers, "Saltvane-Deadline-Ms"), "900");
    EXPECT_EQ(header(start.headers, "Saltvane-Expect-Target"), "");
    answer(start, {.id = "try-9", .body = "from a target"});
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->bytes, "from a target");
}

// Guards against isolated gateways that stay so: probes have to show that targets are reachable again.
TEST_F(ForwardingTest, OneAnsweredProbeEndsTheIsolation)
{
    isolate();
    advance(300ms);
    const std::vector<requests::TargetStart> probes = takeProbes();
    ASSERT_FALSE(probes.empty());
    EXPECT_TRUE(probes.front().needsNewConnection);
    answer(probes.front(), {.id = ""});
    EXPECT_FALSE(isIsolated());
}

// Guards against gateways that stay isolated for good because no target may be probed: probes would exceed the limits
// that the targets state.
TEST_F(ForwardingTest, WhereNoTargetMayBeProbedRequestsShowWhetherTheyAreReachable)
{
    for (int i = 0; i < 12; ++i) {
        request({.id = "limited", .object = std::to_string(i)});
        for (const requests::TargetStart& start : takeStarts())
            answer(start, {.id = "limited", .extraHeaders = {{.name = "Saltvane-Limit", .value = "50"}}});
        for (const model::LimitCreditAsk& ask : takeCreditRequests())
            deliver(model::LimitCreditReply {.answers = {{.ask = ask.ask, .credits = 1}}});
        for (const requests::TargetStart& start : takeStarts())
            answer(start, {.id = "limited", .extraHeaders = {{.name = "Saltvane-Limit", .value = "50"}}});
    }
    for (int i = 0; i < 12 && !isIsolated(); ++i) {
        request({.id = "isolating", .object = std::to_string(i)});
        for (const model::LimitCreditAsk& ask : takeCreditRequests())
            deliver(model::LimitCreditReply {.answers = {{.ask = ask.ask, .credits = 1}}});
        for (const requests::TargetStart& start : takeStarts()) {
            if (!isToPeer(start))
                fail(start, false);
        }
    }
    ASSERT_TRUE(isIsolated());
    advance(300ms);
    EXPECT_TRUE(takeProbes().empty());
    EXPECT_FALSE(isIsolated());
}

// Guards against ejections from an isolation that keep requests from targets after it.
TEST_F(ForwardingTest, AllTargetsAreUsedRightAfterTheIsolation)
{
    isolate();
    for (int i = 0; i < 30; ++i) {
        advance(100ms);
        for (const requests::TargetStart& probe : takeProbes())
            refuse(probe);
    }
    advance(300ms);
    const std::vector<requests::TargetStart> probes = takeProbes();
    ASSERT_FALSE(probes.empty());
    answer(probes.front(), {.id = ""});
    std::set<TargetId> used;
    for (int i = 0; i < 20; ++i) {
        request({.id = "after", .object = std::to_string(i)});
        for (const requests::TargetStart& start : takeStarts())
            used.insert(start.target);
    }
    EXPECT_EQ(used.size(), 3U);
}

// Guards against callers that wait for connection attempts of an isolated gateway, or whose requests run twice.
TEST_F(ForwardingTest, RequestsInFlightMoveIfNoByteWasSent)
{
    request({.method = "POST", .path = "/write/1", .id = "unsent", .body = "pay"});
    const requests::TargetStart unsent = onlyStart();
    request({.method = "POST", .path = "/write/2", .id = "sent", .body = "pay"});
    const requests::TargetStart sent = onlyStart();
    sendFirstByte(sent);
    for (int i = 0; i < 3 && !isIsolated(); ++i) {
        request({.id = "isolating-" + std::to_string(i), .object = std::to_string(i)});
        for (const requests::TargetStart& start : takeStarts()) {
            if (isToPeer(start))
                continue;
            fail(start, false);
            if (isIsolated())
                break;
        }
    }
    std::vector<std::string> forwarded;
    for (const requests::TargetStart& start : takeStarts())
        forwarded.push_back(isToPeer(start) ? header(start.headers, "Saltvane-Request-Id") : "");
    EXPECT_EQ(std::ranges::count(forwarded, "unsent"), 1);
    EXPECT_EQ(std::ranges::count(forwarded, "sent"), 0);
}

// Guards against two isolated gateways that forward requests to each other.
TEST_F(ForwardingTest, ForwardedRequestsAreNotForwardedAgain)
{
    isolate();
    request({.id = "try-9"});
    const CallerRequest received = receivedAt(onlyStart());
    request(received);
    EXPECT_TRUE(takeStarts().empty());
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503);
    EXPECT_EQ(header(response->headers, "Saltvane-Reason"), "no-target");
}

// Guards against callers that pass for a gateway.
TEST_F(ForwardingTest, TheHeaderOfACallerCountsForNothing)
{
    CallerRequest caller;
    caller.extraHeaders = {{.name = std::string(ForwardedHeader), .value = "0;0;0123456789abcdef0123456789abcdef"}};
    request(caller);
    const requests::TargetStart start = onlyStart();
    EXPECT_FALSE(isToPeer(start));
    EXPECT_EQ(header(start.headers, std::string(ForwardedHeader)), "");
}

// Guards against a refused request that the caller is told too little about, or that wanders from peer to peer.
TEST_F(ForwardingTest, RefusalsOfPeersAreFinalUnlessTheyConcernThePeer)
{
    isolate();
    request({.id = "full"});
    answerAsPeer(onlyStart(), 503, "no-room");
    auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(header(response->headers, "Saltvane-Reason"), "no-room");
    EXPECT_EQ(header(response->headers, "Retry-After"), "1.500");
    EXPECT_TRUE(takeStarts().empty());

    request({.id = "isolated"});
    for (const std::string_view next : {"10.0.0.2:8000", "10.0.0.3:8000", "10.0.0.4:8000"}) {
        const requests::TargetStart start = onlyStart();
        EXPECT_EQ(toString(start.address), next);
        answerAsPeer(start, 503, "no-target");
    }
    response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503);
    EXPECT_NE(header(response->headers, "Retry-After"), "");
    request({.id = "next"});
    EXPECT_TRUE(takeStarts().empty()) << "peers that just refused are not asked again";
}

// Guards against requests that may have been run by way of a peer and are forwarded again or reported as not run.
TEST_F(ForwardingTest, AnUnknownOutcomeAtAPeerStaysUnknown)
{
    isolate();
    earnRetries();
    request({.method = "POST", .path = "/write/1", .id = "once", .body = "pay"});
    answerAsPeer(onlyStart(), 502, "connect-failed");
    EXPECT_TRUE(takeStarts().empty());
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 502);
}

// Guards against callers that are told that a request was not run while it runs: an error that answers an earlier
// request on the connection to the peer, or names none, counted for the request that waits there.
TEST_F(ForwardingTest, ErrorsOfPeersCountOnlyIfTheyNameTheRequest)
{
    isolate();
    earnRetries();
    for (const std::string_view id : {"", "earlier"}) {
        awaitPeers();
        request({.method = "POST", .path = "/write/1", .id = "once", .body = "pay"});
        answerAsPeer(onlyStart(), 503, "no-target", std::string(id));
        EXPECT_TRUE(takeStarts().empty()) << id;
        EXPECT_EQ(takeCancels(), 1U) << id;
        const auto response = takeResponse();
        ASSERT_TRUE(response) << id;
        EXPECT_EQ(response->status, 502) << id;
        EXPECT_EQ(header(response->headers, "Saltvane-Reason"), "peer-lost") << id;
    }
    awaitPeers();
    request({.id = "again"});
    const requests::TargetStart first = onlyStart();
    answerAsPeer(first, 503, "no-room", "earlier");
    const requests::TargetStart second = onlyStart();
    EXPECT_NE(second.address, first.address);
    answer(second, {.id = "again"});
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
}

// Guards against errors of gateways that another gateway can't assign to the request that it forwarded.
TEST_F(ForwardingTest, OwnErrorsNameTheRequest)
{
    const auto expectNamed = [&](const std::string& id, int status) {
        const auto response = takeResponse();
        ASSERT_TRUE(response) << id;
        EXPECT_EQ(response->status, status) << id;
        EXPECT_EQ(header(response->headers, "Saltvane-Request-Id"), id);
    };
    request({.path = "/none/1", .id = "no-route"});
    expectNamed("no-route", 404);
    request({.method = "POST", .path = "/write/1", .id = "broken", .body = "pay"});
    fail(onlyStart(), true);
    expectNamed("broken", 502);
    isolate();
    request({.id = "isolated"});
    request(receivedAt(onlyStart()));
    expectNamed("isolated", 503);
    requestStop();
    advance(6s);
    while (takeResponse()) { }
    request({.id = "stopping"});
    expectNamed("stopping", 503);
}

// Guards against callers that are told "unknown" where a peer of the version before refused their request, while
// gateways are upgraded one after the other.
TEST_F(ForwardingTest, ErrorsOfOldPeersCountOnNewConnections)
{
    isolate();
    request({.method = "POST", .path = "/write/1", .id = "once", .body = "pay"});
    respondUnnamedOnNewConnection(onlyStart(), 503, {{.name = "Saltvane-Reason", .value = "no-room"}});
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503);
    EXPECT_EQ(header(response->headers, "Saltvane-Reason"), "no-room");
}

// Guards against callers that send no id and get the response to another request: their empty id equals that of any
// response without one.
TEST_F(ForwardingTest, RequestsWithoutAnIdAreForwardedOnNewConnections)
{
    isolate();
    const CallerRequest unnamed {.method = "POST", .path = "/write/1", .id = "", .body = "pay"};
    request(unnamed);
    const requests::TargetStart first = onlyStart();
    EXPECT_TRUE(first.needsNewConnection);
    respondUnnamedOnNewConnection(first, 200);
    auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);

    request(unnamed);
    answer(onlyStart(), {.id = ""}); // On a kept connection.
    response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 502);

    request({.id = "named"});
    EXPECT_FALSE(onlyStart().needsNewConnection);
}

// Guards against requests that run twice, or are reported as not run, when the peer that carries them is lost.
TEST_F(ForwardingTest, OnlyRepeatableRequestsOutliveALostPeer)
{
    isolate();
    earnRetries();
    request({.method = "POST", .path = "/write/1", .id = "once", .body = "pay"});
    fail(onlyStart(), true);
    EXPECT_TRUE(takeStarts().empty());
    auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 502);

    request({.id = "again"});
    const requests::TargetStart first = onlyStart();
    fail(first, true);
    const requests::TargetStart second = onlyStart();
    EXPECT_NE(second.address, first.address);
    const auto attemptsOf = [](const requests::TargetStart& start) {
        return header(start.headers, std::string(ForwardedHeader)).substr(0, 2);
    };
    EXPECT_EQ(attemptsOf(first), "2;");
    EXPECT_EQ(attemptsOf(second), "1;");
}

// Guards against callers that take a response for whole though the peer that carries it was lost within it.
TEST_F(ForwardingTest, ResponsesThatALostPeerBeganAreNotWhole)
{
    constexpr size_t BufferedBytes = 100;
    constexpr size_t StreamedBytes = 20000;
    isolate();
    request({.method = "POST", .path = "/write/1", .id = "once", .body = "pay"});
    const requests::TargetStart buffered = onlyStart();
    sendHead(buffered, "once");
    sendBody(buffered, BufferedBytes);
    fail(buffered, true);
    auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 502);

    awaitPeers();
    const requests::HttpHandle handle = request({.method = "POST", .path = "/write/1", .id = "twice", .body = "pay"});
    const requests::TargetStart streamed = onlyStart();
    sendHead(streamed, "twice");
    sendBody(streamed, StreamedBytes);
    response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_FALSE(response->isLast);
    gateway_->handle(
        requests::TargetEvent(requests::TargetFailed {.dispatch = streamed.dispatch, .message = "closed"}), now_);
    bool isAborted = false;
    for (const host::Action& action : gateway_->drainActions()) {
        const auto* const request = std::get_if<requests::Action>(&action);
        const auto* const abort = request == nullptr ? nullptr : std::get_if<requests::HttpAbort>(request);
        isAborted = isAborted || (abort != nullptr && abort->handle == handle);
    }
    EXPECT_TRUE(isAborted);
}

// Guards against peers that go on with requests whose callers have left.
TEST_F(ForwardingTest, TheCallersCloseCancelsTheDispatchToThePeer)
{
    isolate();
    const requests::HttpHandle handle = request({.id = "try-9"});
    sendFirstByte(onlyStart());
    abort(handle);
    EXPECT_EQ(takeCancels(), 1U);
}

// Guards against peers of a region in which the request may not be handled.
TEST_F(ForwardingTest, PeersOfOtherRegionsThanThePermittedOnesAreNotUsed)
{
    installPlan(2, R"(,{"name":"home","host":"prices.example","path_prefix":"/home/","kind":"repeatable",
        "timeout_ms":1500,"service":"quotes","attempts":2,"permitted_regions":["south"]})");
    isolate();
    request({.path = "/home/1", .id = "try-9"});
    EXPECT_EQ(toString(onlyStart().address), "10.0.0.4:8000");
}

class ForwardedAccountTest : public ForwardingTest {
protected:
    ForwardedAccountTest() { installPlan(2, {}, Accounts); }
    void isolateWithKey()
    {
        for (int i = 0; i < 3 && !isIsolated(); ++i) {
            CallerRequest caller {.id = "isolating-" + std::to_string(i), .object = std::to_string(i)};
            caller.extraHeaders = {{.name = "Saltvane-Client-Key", .value = "key-a"}};
            request(caller);
            for (const requests::TargetStart& start : takeStarts()) {
                if (!isToPeer(start))
                    fail(start, false);
            }
        }
        (void)takeStarts();
        ASSERT_TRUE(isIsolated());
    }
};

// Guards against keys that leave the gateway, and against limits of accounts that are charged twice.
TEST_F(ForwardedAccountTest, ThePeerIsToldTheAccountAndTakesItsCredit)
{
    isolateWithKey();
    CallerRequest caller {.id = "try-9"};
    caller.extraHeaders = {LimitedKey};
    request(caller);
    EXPECT_TRUE(takeCreditRequests().empty()) << "the sender takes no credit";
    const requests::TargetStart start = onlyStart();
    EXPECT_EQ(header(start.headers, "Saltvane-Client-Account"), "limited");
    EXPECT_EQ(header(start.headers, "Saltvane-Client-Key"), "");
}

// Guards against credits that are lost with requests that a peer runs in the end.
TEST_F(ForwardedAccountTest, ACreditThatWasNotUsedIsGivenBack)
{
    CallerRequest caller {.id = "limited"};
    caller.extraHeaders = {LimitedKey};
    request(caller);
    const std::vector<model::LimitCreditAsk> asked = takeCreditRequests();
    ASSERT_EQ(asked.size(), 1U);
    deliver(model::LimitCreditReply {.answers = {{.ask = asked.front().ask, .credits = 1}}});
    EXPECT_FALSE(isToPeer(onlyStart()));
    isolateWithKey(); // Moves the request, of which no byte was sent, to a peer.
    advance(40ms);
    const std::vector<requests::TargetStart> probes = takeProbes();
    ASSERT_FALSE(probes.empty());
    answer(probes.front(), {.id = ""});
    (void)takeCreditRequests();
    caller.id = "next";
    request(caller);
    EXPECT_TRUE(takeCreditRequests().empty());
    EXPECT_FALSE(isToPeer(onlyStart()));
}

// Guards against accounts whose requests are handled in regions that they do not permit.
TEST_F(ForwardedAccountTest, AccountsRegionsHoldForPeers)
{
    isolateWithKey();
    CallerRequest caller {.id = "try-9"};
    caller.extraHeaders = {{.name = "Saltvane-Client-Key", .value = "key-s"}};
    request(caller);
    EXPECT_EQ(toString(onlyStart().address), "10.0.0.4:8000");
}

/// A gateway that receives requests from another one, whose plan is older or newer.
class ForwardedKeyTest : public ForwardedAccountTest {
protected:
    static constexpr LogIndex Older {0};
    static constexpr LogIndex Newer {1'000'000};
    static constexpr RequestJudgement OtherJudgement {.route = 1, .account = 1};

    /// A request that another gateway forwards. `key`: that its caller presented; `account`: that it found.
    static CallerRequest forwarded(const std::string& path, const std::string& key, const std::string& account,
        std::optional<LogIndex> plan, const RequestJudgement& judgement = OtherJudgement)
    {
        const ForwardedHeaderCodec codec("");
        const ForwardedHeaderCodec::Request bound {
            .id = "try-9", .clientAccount = account, .method = "GET", .host = "prices.example", .path = path};
        CallerRequest received {.path = path, .id = "try-9"};
        received.extraHeaders
            = {{.name = std::string(ForwardedHeader), .value = codec.encode({.attempts = 2, .elapsed = 5ms}, bound)},
                {.name = "Saltvane-Client-Account", .value = account}};
        if (plan) {
            ForwardedPlan stated {.planIndex = *plan, .judgement = judgement};
            if (!key.empty())
                stated.key = ClientKeyHasher("").digestOf(key);
            received.extraHeaders.push_back(
                {.name = std::string(ForwardedPlanHeader), .value = codec.encodePlan(stated, bound)});
        }
        return received;
    }
    /// Of the gateway's response to the request: its status, its reason and whether it names its plan.
    struct Refusal {
        int status = 0;
        std::string reason;
        bool namesPlan = false;
        auto operator<=>(const Refusal&) const = default;
    };
    Refusal refusalOf(const CallerRequest& received)
    {
        request(received);
        EXPECT_TRUE(takeStarts().empty());
        const auto response = takeResponse();
        if (!response)
            return {};
        const std::string plan = header(response->headers, std::string(ForwardedPlanHeader));
        return {.status = response->status,
            .reason = header(response->headers, "Saltvane-Reason"),
            .namesPlan = ForwardedHeaderCodec("").decodePlan(plan, {.id = received.id}).has_value()};
    }
    /// The account as which the gateway runs the request; no value if it does not run it.
    std::optional<std::string> accountOfRun(const CallerRequest& received)
    {
        request(received);
        const std::vector<requests::TargetStart> starts = takeStarts();
        if (starts.size() != 1)
            return std::nullopt;
        EXPECT_EQ(header(starts.front().headers, std::string(ForwardedPlanHeader)), "");
        const std::string account = header(starts.front().headers, "Saltvane-Client-Account");
        answer(starts.front(), {.id = received.id});
        (void)takeResponse();
        return account;
    }
    static constexpr auto UnknownKey = "unknown-key";
    static constexpr auto NotReady = "not-ready";
};

// Guards against a receiving gateway that believes any account's name, or lets callers pass for a gateway.
TEST_F(ForwardedKeyTest, OnlyAuthenticatedHeadersCount)
{
    CallerRequest received = forwarded("/read/1", "key-l", "limited", Older);
    request(received);
    EXPECT_EQ(takeCreditRequests().size(), 1U);
    received.extraHeaders[1].value = "acme";
    EXPECT_EQ(refusalOf(received).status, 401);
    received = forwarded("/read/1", "key-a", "acme", Older);
    received.extraHeaders[2].value.replace(0, 1, "9");
    EXPECT_EQ(refusalOf(received).reason, NotReady) << "without a valid plan header no key is known";
}

// Guards against keys that were taken away and still open gateways in touch: a gateway that is cut off judges by an
// older plan, and hands the request to them.
TEST_F(ForwardedKeyTest, KeyThatWasTakenAwayIsRejectedByTheNewerPlan)
{
    EXPECT_EQ(accountOfRun(forwarded("/read/1", "key-a", "acme", Older)), "acme");
    const Refusal rejected {.status = 401, .reason = UnknownKey, .namesPlan = true};
    EXPECT_EQ(refusalOf(forwarded("/read/1", "key-gone", "acme", Older)), rejected);
    installPlan(3, {}, R"([{"name":"acme","keys":["key-b"]}])");
    EXPECT_EQ(refusalOf(forwarded("/read/1", "key-a", "acme", Older)), rejected);
    EXPECT_EQ(accountOfRun(forwarded("/read/1", "key-b", "acme", Older)), "acme");
}

// Guards against requests that run as an account which holds their key no more: the key has moved, or the account was
// made again under its name.
TEST_F(ForwardedKeyTest, AccountIsTheOneThatHoldsTheKey)
{
    EXPECT_EQ(accountOfRun(forwarded("/read/1", "key-a", "southern", Older)), "acme");
    EXPECT_EQ(accountOfRun(forwarded("/read/1", "key-a", "former", Older)), "acme");
}

// Guards against a gateway that tells callers for good that a key or route does not exist which only a newer plan has.
TEST_F(ForwardedKeyTest, OlderPlanRejectsNothingForGood)
{
    const Refusal notReady {.status = 503, .reason = NotReady, .namesPlan = true};
    EXPECT_EQ(refusalOf(forwarded("/read/1", "key-new", "acme", Newer)), notReady);
    EXPECT_EQ(refusalOf(forwarded("/new-route/1", "key-a", "acme", Newer)), notReady);
    EXPECT_EQ(refusalOf(forwarded("/new-route/1", "key-a", "acme", Older)).status, 404);
    CallerRequest large = forwarded("/read/1", "key-a", "acme", Newer);
    large.bodyLength = uint64_t {1} << 40U;
    EXPECT_EQ(refusalOf(large), notReady);
}

// Guards against requests that go back to what a plan has replaced: the caller's gateway has shown the newer plan's
// effect, and the one that it asks has the plan before. Where both plans say the same, nothing is lost.
TEST_F(ForwardedKeyTest, OlderPlanRunsNothingThatTheNewerOneMayHaveChanged)
{
    CallerRequest own {.id = "own", .extraHeaders = {{.name = "Saltvane-Client-Key", .value = "key-a"}}};
    isolateWithKey();
    request(own);
    const requests::TargetStart start = onlyStart();
    const auto stated = ForwardedHeaderCodec("").decodePlan(header(start.headers, std::string(ForwardedPlanHeader)),
        {.id = "own", .clientAccount = "acme", .method = "GET", .host = "prices.example", .path = start.path});
    ASSERT_TRUE(stated);
    answer(start, {.id = "own"});
    (void)takeResponse();
    advance(300ms);
    answer(takeProbes().front(), {.id = ""});
    const Refusal stale {.status = 503, .reason = "stale-state", .namesPlan = true};
    EXPECT_EQ(refusalOf(forwarded("/read/1", "key-a", "acme", Newer)), stale);
    EXPECT_EQ(accountOfRun(forwarded("/read/1", "key-a", "acme", Newer, stated->judgement)), "acme");
    RequestJudgement other = stated->judgement;
    ++other.account;
    EXPECT_EQ(refusalOf(forwarded("/read/1", "key-a", "acme", Newer, other)), stale);
}

// Guards against routes that are public for one of the two gateways only: the key counts by the plan of the receiver.
TEST_F(ForwardedKeyTest, RoutesThatArePublicForOneGatewayOnly)
{
    EXPECT_EQ(refusalOf(forwarded("/read/1", "", "", Older)).status, 401);
    EXPECT_EQ(accountOfRun(forwarded("/read/1", "key-a", "", Older)), "acme");
    installPlan(3);
    EXPECT_EQ(accountOfRun(forwarded("/read/1", "key-a", "acme", Older)).has_value(), true);
}

// Guards against gateways of the version before, which state neither a plan nor a key: a peer can't judge their
// requests where a key is needed.
TEST_F(ForwardedKeyTest, WithoutAStatedPlanOnlyRequestsThatNeedNoKeyRun)
{
    EXPECT_EQ(refusalOf(forwarded("/read/1", "", "acme", std::nullopt)).reason, NotReady);
    installPlan(3);
    EXPECT_TRUE(accountOfRun(forwarded("/read/1", "", "", std::nullopt)).has_value());
}

/// A gateway that hands requests to peers, whose plan is older or newer.
class PeerRejectionTest : public ForwardedKeyTest {
protected:
    void rejectAsPeer(
        const requests::TargetStart& start, int status, const std::string& reason, const std::optional<LogIndex>& plan)
    {
        const std::string id = header(start.headers, "Saltvane-Request-Id");
        TargetResponse from {
            .status = status, .id = id, .extraHeaders = {{.name = "Saltvane-Reason", .value = reason}}};
        if (plan)
            from.extraHeaders.push_back({.name = std::string(ForwardedPlanHeader),
                .value = ForwardedHeaderCodec("").encodePlan({.planIndex = *plan}, {.id = id})});
        answer(start, from);
    }
    CallerRequest callerWithKey(const std::string& id)
    {
        return {.id = id, .extraHeaders = {{.name = "Saltvane-Client-Key", .value = "key-a"}}};
    }
};

// Guards against callers that wander from peer to peer with a key that was taken away, and are told to come back.
TEST_F(PeerRejectionTest, RejectionByANewerPlanIsFinal)
{
    isolateWithKey();
    const std::vector<std::pair<int, std::string>> rejections {
        {401, UnknownKey}, {404, "unknown-service"}, {413, "body-too-large"}};
    for (const auto& [status, reason] : rejections) {
        request(callerWithKey("try-" + reason));
        rejectAsPeer(onlyStart(), status, reason, Newer);
        const auto response = takeResponse();
        ASSERT_TRUE(response) << reason;
        EXPECT_EQ(response->status, status);
        EXPECT_EQ(header(response->headers, std::string(ForwardedPlanHeader)), "");
        EXPECT_EQ(header(response->headers, "Retry-After"), "");
    }
}

// Guards against callers that are told for good what only an older plan says, or a gateway that states no plan.
TEST_F(PeerRejectionTest, RejectionByAnOlderPlanConcernsThePeerOnly)
{
    isolateWithKey();
    for (const std::optional<LogIndex>& plan : {std::optional(Older), std::optional<LogIndex>()}) {
        for (const auto& [status, reason] : std::vector<std::pair<int, std::string>> {
                 {401, UnknownKey}, {404, "unknown-service"}, {413, "body-too-large"}}) {
            request(callerWithKey("try-" + reason));
            rejectAsPeer(onlyStart(), status, reason, plan);
            EXPECT_FALSE(takeResponse()) << reason;
            const requests::TargetStart next = onlyStart();
            EXPECT_TRUE(isToPeer(next)) << reason;
            answer(next, {.id = "try-" + reason});
            EXPECT_EQ(takeResponse()->status, 200);
            awaitPeers();
            isolateWithKey();
        }
    }
}

/// A gateway that reaches targets again, after a peer has shown it what a newer plan says.
class SupersededRuleTest : public PeerRejectionTest {
protected:
    SupersededRuleTest() { isolateWithKey(); }
    void reachTargets()
    {
        awaitPeers();
        advance(300ms);
        for (const requests::TargetStart& probe : takeProbes())
            answer(probe, {.id = ""});
        ASSERT_FALSE(isIsolated());
    }
    /// A peer runs a request by a plan that changes the route or the account.
    void runAtPeer(const RequestJudgement& change, LogIndex plan = Newer)
    {
        request(callerWithKey("shown"));
        const requests::TargetStart start = onlyStart();
        const auto own = ForwardedHeaderCodec("").decodePlan(header(start.headers, std::string(ForwardedPlanHeader)),
            {.id = "shown", .clientAccount = "acme", .method = "GET", .host = "prices.example", .path = start.path});
        ASSERT_TRUE(own);
        const RequestJudgement judgement {
            .route = own->judgement.route + change.route, .account = own->judgement.account + change.account};
        answer(start,
            {.id = "shown",
                .extraHeaders = {{.name = std::string(ForwardedPlanHeader),
                    .value = ForwardedHeaderCodec("").encodePlan(
                        {.planIndex = plan, .judgement = judgement}, {.id = "shown"})}}});
        EXPECT_EQ(takeResponse()->status, 200);
    }
    bool goesToPeer(const std::string& key, const std::string& path = "/read/1")
    {
        CallerRequest caller {.path = path, .id = "next"};
        caller.extraHeaders = {{.name = "Saltvane-Client-Key", .value = key}};
        request(caller);
        const requests::TargetStart start = onlyStart();
        answer(start, {.id = "next"});
        (void)takeResponse();
        return isToPeer(start);
    }
};

// Guards against gateways that go back to their older plan after a peer has shown a newer one's effect to their
// callers.
TEST_F(SupersededRuleTest, RequestsOfAChangedRouteGoToPeersOnly)
{
    runAtPeer({.route = 1});
    reachTargets();
    EXPECT_TRUE(goesToPeer("key-a"));
    EXPECT_TRUE(goesToPeer("key-l"));
    EXPECT_FALSE(goesToPeer("key-a", "/write/1")) << "another route";
}

TEST_F(SupersededRuleTest, RequestsWithAKeyOfAChangedAccountGoToPeersOnly)
{
    runAtPeer({.account = 1});
    reachTargets();
    EXPECT_TRUE(goesToPeer("key-a"));
    EXPECT_TRUE(goesToPeer("key-a", "/write/1"));
    EXPECT_FALSE(goesToPeer("key-s"));
}

TEST_F(SupersededRuleTest, RequestsWithAKeyThatANewerPlanRejectsGoToPeersOnly)
{
    request(callerWithKey("rejected"));
    rejectAsPeer(onlyStart(), 401, UnknownKey, Newer);
    EXPECT_EQ(takeResponse()->status, 401);
    reachTargets();
    EXPECT_TRUE(goesToPeer("key-a"));
}

// Guards against requests that go to peers although nothing has changed for them.
TEST_F(SupersededRuleTest, UnchangedRequestsAndOlderPlansChangeNothing)
{
    runAtPeer({});
    runAtPeer({.route = 1}, Older);
    reachTargets();
    EXPECT_FALSE(goesToPeer("key-a"));
}

// Guards against gateways that go on using peers after they got the newer plan themselves.
TEST_F(SupersededRuleTest, ANewerPlanInForceEndsIt)
{
    runAtPeer({.route = 1}, {3}); // The log index of the next plan is 3 or more.
    reachTargets();
    EXPECT_TRUE(goesToPeer("key-a"));
    installPlan(3, {}, Accounts);
    EXPECT_FALSE(goesToPeer("key-a"));
}

// Guards against requests that were dispatched to a target before the fact became known, and are sent after it.
TEST_F(SupersededRuleTest, RequestsDispatchedBeforeAreWithheld)
{
    request(callerWithKey("shown"));
    const requests::TargetStart shown = onlyStart();
    advance(300ms);
    for (const requests::TargetStart& probe : takeProbes())
        answer(probe, {.id = ""});
    request(callerWithKey("next"));
    const requests::TargetStart next = onlyStart();
    ASSERT_FALSE(isToPeer(next));
    answer(shown,
        {.id = "shown",
            .extraHeaders = {{.name = std::string(ForwardedPlanHeader),
                .value = ForwardedHeaderCodec("").encodePlan(
                    {.planIndex = Newer, .judgement = OtherJudgement}, {.id = "shown"})}}});
    EXPECT_EQ(gateway_->recheckDispatch(next.dispatch, now_), model::Reason::StaleState);
    withhold(next, model::Reason::StaleState);
    EXPECT_TRUE(isToPeer(onlyStart()));
}

// Guards against callers that wait where no peer is left.
TEST_F(SupersededRuleTest, WithoutAPeerRequestsAreRefusedAtOnce)
{
    runAtPeer({.route = 1});
    reachTargets();
    deliver(model::PeerReport {});
    request(callerWithKey("next"));
    EXPECT_TRUE(takeStarts().empty());
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503);
    EXPECT_EQ(header(response->headers, "Saltvane-Reason"), "stale-state");
}

// Guards against peers that can't judge the key, and against keys or digests of them that targets or callers get.
TEST_F(PeerRejectionTest, PeersAreToldThePlanAndADigestOfTheKey)
{
    isolateWithKey();
    request(callerWithKey("try-9"));
    const requests::TargetStart start = onlyStart();
    const std::string value = header(start.headers, std::string(ForwardedPlanHeader));
    const auto stated = ForwardedHeaderCodec("").decodePlan(
        value, {.id = "try-9", .clientAccount = "acme", .method = "GET", .host = "prices.example", .path = start.path});
    ASSERT_TRUE(stated);
    EXPECT_GT(stated->planIndex, Older);
    EXPECT_EQ(stated->key, ClientKeyHasher("").digestOf("key-a"));
    EXPECT_EQ(value.find("key-a"), std::string::npos);
    answer(start, {.id = "try-9", .extraHeaders = {{.name = std::string(ForwardedPlanHeader), .value = "1;1;1;;"}}});
    const auto response = takeResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ(header(response->headers, std::string(ForwardedPlanHeader)), "");
}

// Guards against headers that are accepted for another request, or after a change of any part.
TEST(ForwardedHeaderTest, IsBoundToItsRequest)
{
    const ForwardedHeaderCodec codec("secret");
    const ForwardedHeaderCodec::Request request {
        .id = "try-1", .clientAccount = "acme", .method = "GET", .host = "h", .path = "/p?q"};
    const ForwardedInfo info {.attempts = 3, .elapsed = 1200ms};
    const std::string value = codec.encode(info, request);
    EXPECT_EQ(codec.decode(value, request), info);
    ForwardedHeaderCodec::Request other = request;
    other.id = "try-2";
    EXPECT_FALSE(codec.decode(value, other));
    other = request;
    other.clientAccount = "else";
    EXPECT_FALSE(codec.decode(value, other));
    other = request;
    other.path = "/p?r";
    EXPECT_FALSE(codec.decode(value, other));
    EXPECT_FALSE(ForwardedHeaderCodec("other secret").decode(value, request));
    for (size_t i = 0; i < value.size(); ++i) {
        std::string changed = value;
        changed[i] = changed[i] == '1' ? '2' : '1';
        EXPECT_FALSE(codec.decode(changed, request)) << i;
    }
    for (const std::string& text : {std::string(), std::string(";"), std::string(";;"), value.substr(1), value + "0"})
        EXPECT_FALSE(codec.decode(text, request)) << text;
}

// Guards against plans that are accepted for another request, after a change of any part, or from the other header.
TEST(ForwardedHeaderTest, PlanIsBoundToItsRequest)
{
    const ForwardedHeaderCodec codec("secret");
    const ForwardedHeaderCodec::Request request {
        .id = "try-1", .clientAccount = "acme", .method = "GET", .host = "h", .path = "/p?q"};
    const std::optional<ClientKeyDigest> key = ClientKeyHasher("secret").digestOf("key-a");
    for (const ForwardedPlan& plan :
        {ForwardedPlan {.planIndex = {7}, .judgement = {.route = 12, .account = 34}, .key = key},
            ForwardedPlan {.planIndex = {7}}}) {
        const std::string value = codec.encodePlan(plan, request);
        EXPECT_EQ(codec.decodePlan(value, request), plan);
        ForwardedHeaderCodec::Request other = request;
        other.id = "try-2";
        EXPECT_FALSE(codec.decodePlan(value, other));
        other = request;
        other.clientAccount = "else";
        EXPECT_FALSE(codec.decodePlan(value, other));
        EXPECT_FALSE(ForwardedHeaderCodec("other secret").decodePlan(value, request));
        EXPECT_FALSE(codec.decode(value, request));
        for (size_t i = 0; i < value.size(); ++i) {
            std::string changed = value;
            changed[i] = changed[i] == '1' ? '2' : '1';
            EXPECT_FALSE(codec.decodePlan(changed, request)) << i;
        }
    }
    EXPECT_FALSE(codec.decodePlan(codec.encode({.attempts = 3, .elapsed = 12ms}, request), request));
    for (const std::string& text :
        {std::string(), std::string(";"), std::string(";;"), std::string(";;;"), std::string(";;;;")})
        EXPECT_FALSE(codec.decodePlan(text, request)) << text;
}

} // namespace saltvane::gateway::test
