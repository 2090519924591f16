/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/tests/entryfixture.h"

#include "requests/headerfilter.h"

namespace saltvane::requests {

EntryFixture::EntryFixture()
{
    const std::string key = "a key of the deployment, long enough";
    tokenIssuer_ = makeTokenIssuer({.host = SelfHost, .incarnation = SelfIncarnation, .macKey = key});
    creditStore_.owners[LocalOwner] = {.zone = ZoneName("uio-carolina"), .free = 4};
    creditStore_.owners[RemoteOwner] = {.zone = ZoneName("gye-urdesa"), .free = 4};
    hostLiveness_.alive[OtherEntry] = OtherIncarnation;
    hostLiveness_.alive[SelfHost] = SelfIncarnation;
    build({});
}

model::DeploymentPtr EntryFixture::makeDeployment()
{
    model::Bundle bundle;
    bundle.deployment = "test";
    bundle.version = {1};
    bundle.regions = {{.name = RegionName("uio")}, {.name = RegionName("gye")}};
    bundle.zones = {{.name = ZoneName("uio-carolina"), .region = RegionName("uio")},
        {.name = ZoneName("gye-urdesa"), .region = RegionName("gye")}};
    bundle.defaultClientRegion = RegionName("uio");
    bundle.clients = {{.prefix = "10.2.0.0/16", .region = RegionName("gye")}};
    bundle.services = {{.name = Settlebox,
        .zones = {{.zone = ZoneName("uio-carolina")}, {.zone = ZoneName("gye-urdesa")}},
        .repeatable = {{.method = "GET"}, {.method = "HEAD"}, {.method = "PUT"}}}};
    return std::make_shared<model::Deployment>(bundle, LogPosition {});
}

void EntryFixture::build(EntryRequestsOptions options)
{
    options.self = {.host = SelfHost, .incarnation = SelfIncarnation, .zone = ZoneName("uio-carolina")};
    options.steering = &steering_;
    options.credits = &creditStore_;
    options.retryBudget = &budget_;
    options.tokenIssuer = tokenIssuer_.get();
    options.hosts = &hostLiveness_;
    options.counters = &counters_;
    options.maxCreditWait = 50ms;
    entry_ = makeEntryRequests(options);
    const model::DeploymentPtr deployment = makeDeployment();
    steering_.install(deployment, now_);
    entry_->install(deployment, now_);
    entry_->setReady(true);
    entry_->setControlLeader(ControlLeader);
}

HttpHandle EntryFixture::call(const Call& request)
{
    const HttpHandle handle {++lastHandle_};
    std::vector<model::Header> headers = request.headers;
    headers.push_back({.name = "Saltvane-Service", .value = Settlebox.value()});
    if (!request.key.empty())
        headers.push_back({.name = "Idempotency-Key", .value = request.key});
    handleHttp(HttpRequestStarted {.handle = handle,
        .method = request.method,
        .path = request.path,
        .headers = headers,
        .bodyLength = request.body.size(),
        .remoteAddress = "10.1.0.1"});
    if (!request.body.empty())
        handleHttp(HttpRequestBody {.handle = handle, .bytes = request.body, .isLast = true});
    return handle;
}

HttpHandle EntryFixture::post(const std::string& key, const std::string& body)
{
    return call({.method = "POST", .path = "/wire", .key = key, .body = body});
}

std::string EntryFixture::foreignKey(const HostId& host, Incarnation incarnation)
{
    const auto other
        = makeTokenIssuer({.host = host, .incarnation = incarnation, .macKey = "a key of the deployment, long enough"});
    return other->issue(Settlebox, now_) + ".1";
}

void EntryFixture::handleHttp(HttpEvent event)
{
    entry_->handle(std::move(event), now_);
    collect();
}

void EntryFixture::deliver(const HostId& from, model::Message message, Incarnation incarnation)
{
    entry_->handle(model::Delivery {.from = from, .fromIncarnation = incarnation, .message = std::move(message)}, now_);
    collect();
}

void EntryFixture::advanceTime(Duration time)
{
    now_ += time;
    entry_->tick(now_);
    collect();
}

void EntryFixture::collect()
{
    for (Action& action : entry_->drainActions()) {
        if (auto* respond = std::get_if<HttpRespond>(&action)) {
            EXPECT_FALSE(responses_.contains(respond->handle)) << "a second response";
            bodies_[respond->handle] = respond->bytes;
            if (respond->isLast)
                finished_.push_back(respond->handle);
            responses_[respond->handle] = std::move(*respond);
        } else if (auto* body = std::get_if<HttpResponseBody>(&action)) {
            bodies_[body->handle] += body->bytes;
            if (body->isLast)
                finished_.push_back(body->handle);
        } else if (auto* abort = std::get_if<HttpAbort>(&action)) {
            aborted_.push_back(abort->handle);
        } else if (auto* window = std::get_if<HttpRequestWindow>(&action)) {
            windows_.push_back(*window);
        } else if (auto* outgoing = std::get_if<model::OutgoingMessage>(&action)) {
            outgoing_.push_back(std::move(*outgoing));
        } else if (auto* record = std::get_if<AccessRecord>(&action)) {
            records_.push_back(*record);
        } else {
            ADD_FAILURE() << "action of the owner side";
        }
    }
}

void EntryFixture::sendResponse(const model::ForwardRequest& forward, const std::string& body, const HostId& from)
{
    deliver(from,
        model::ForwardResponseHead {.correlation = forward.correlation, .status = 200, .bodyLength = body.size()});
    if (!body.empty())
        deliver(from,
            model::ForwardBody {.correlation = forward.correlation,
                .direction = model::Direction::ToClient,
                .bytes = body,
                .isLast = true});
    completeForward(forward, model::Outcome::Answered, model::Reason::None, from);
}

void EntryFixture::completeForward(
    const model::ForwardRequest& forward, model::Outcome outcome, model::Reason reason, const HostId& from)
{
    deliver(from, model::ForwardEnd {.correlation = forward.correlation, .outcome = outcome, .reason = reason});
}

void EntryFixture::replyToClaim(
    const model::ClaimRequest& claim, model::ClaimResult result, const HostId& holder, Incarnation incarnation)
{
    deliver(ControlLeader,
        model::ClaimReply {.claim = claim.claim, .result = result, .holder = holder, .holderIncarnation = incarnation});
}

const HttpRespond& EntryFixture::response(HttpHandle handle)
{
    static const HttpRespond None {};
    const auto found = responses_.find(handle);
    if (found != responses_.end())
        return found->second;
    ADD_FAILURE() << "no response";
    return None;
}

void EntryFixture::expectRefusal(HttpHandle handle, model::Outcome outcome, model::Reason reason, int status)
{
    const HttpRespond& respond = response(handle);
    EXPECT_EQ(headerOf(respond.headers, OutcomeHeader), toString(outcome));
    EXPECT_EQ(headerOf(respond.headers, ReasonHeader), toString(reason));
    EXPECT_EQ(respond.status, status);
    EXPECT_TRUE(respond.isLast);
}

std::string EntryFixture::headerOf(const std::vector<model::Header>& headers, std::string_view name)
{
    const std::vector<std::string_view> values = fieldValues(headers, name);
    return values.empty() ? std::string() : std::string(values.front());
}

} // namespace saltvane::requests
