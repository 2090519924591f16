/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gatewayfixture.h"

#include <utility>

namespace saltvane::gateway::test {

namespace {

constexpr Duration Tick = 20ms;

settings::RoutedHostSettings sampleSettings()
{
    settings::RoutedHostSettings settings;
    settings.deployment = "test";
    settings.isGateway = true;
    settings.zone = ZoneName("north-a");
    settings.region = RegionName("north");
    settings.zones = {{ZoneName("north-a"), RegionName("north")}, {ZoneName("north-b"), RegionName("north")},
        {ZoneName("south-a"), RegionName("south")}};
    settings.linkAddress = {.ip = "10.0.0.1", .port = 7000};
    settings.seeds = {{.ip = "10.0.0.9", .port = 7000}};
    settings.frontAddress = {.ip = "10.0.0.1", .port = 8000};
    settings.readinessAddress = {.ip = "10.0.0.1", .port = 8001};
    settings.retries = {.ratio = 0.2, .slack = 100};
    settings.limits.stopTimeLimit = 6s;
    return settings;
}

} // namespace

GatewayFixture::GatewayFixture()
    : GatewayFixture(FixtureOptions {})
{
}

GatewayFixture::GatewayFixture(const FixtureOptions& options)
{
    settings::RoutedHostSettings settings = sampleSettings();
    settings.leaveLimit = options.leaveLimit;
    settings.planLimit = options.planLimit;
    settings.rolloutShare = options.rolloutShare;
    settings.lookUpTtl = options.lookUpTtl;
    settings.limits.memoryBytes = options.memoryBytes;
    if (options.isFirstSeedDown)
        settings.seeds.insert(settings.seeds.begin(), {.ip = "10.0.0.8", .port = 7000});
    gateway_ = makeGateway({.settings = settings, .incarnation = {1}});
    advance(Tick);
}

void GatewayFixture::handle(host::Event event)
{
    gateway_->handle(std::move(event), now_);
    collectActions();
}

void GatewayFixture::collectActions()
{
    for (host::Action& action : gateway_->drainActions()) {
        if (std::holds_alternative<host::StopFinished>(action))
            isStopFinished_ = true;
        const auto* const line = std::get_if<host::LogLine>(&action);
        if (line != nullptr)
            (line->text.starts_with("event=request ") ? decisions_ : lines_).push_back(line->text);
        auto* const request = std::get_if<requests::Action>(&action);
        if (request == nullptr)
            continue;
        if (const auto* const outgoing = std::get_if<model::OutgoingMessage>(request))
            collectMessage(*outgoing);
        if (auto* start = std::get_if<requests::TargetStart>(request))
            (start->path == "/health" ? probes_ : starts_).push_back(std::move(*start));
        else if (auto* response = std::get_if<requests::HttpRespond>(request))
            responses_.push_back(std::move(*response));
        else if (const auto* window = std::get_if<requests::HttpRequestWindow>(request))
            windows_[window->handle] += window->bytes;
        else if (auto* body = std::get_if<requests::TargetRequestBody>(request))
            requestBodies_.push_back(std::move(*body));
        else if (std::holds_alternative<requests::TargetCancel>(*request))
            ++cancels_;
    }
    const uint64_t pull = std::exchange(pullToAnswer_, 0);
    if (areAllPullsAnswered_ && pull != 0)
        deliver(model::BundleCurrent {.age = pullProofAge_, .pull = pull});
}

void GatewayFixture::collectMessage(const model::OutgoingMessage& outgoing)
{
    const auto append = [](auto& list, const auto& added) { list.insert(list.end(), added.begin(), added.end()); };
    if (const auto* const pull = std::get_if<model::BundlePull>(&outgoing.message)) {
        pullToAnswer_ = std::exchange(lastPull_, pull->pull);
        fullReportRequests_ += pull->wantsFullReport ? 1 : 0;
    } else if (const auto* const suspects = std::get_if<model::SuspectReport>(&outgoing.message)) {
        reportedSuspects_ = suspects->requests;
    } else if (const auto* const credits = std::get_if<model::LimitCreditRequest>(&outgoing.message)) {
        append(creditRequests_, credits->asks);
        append(accountLimits_, credits->accountLimits);
        append(targetLimits_, credits->targetLimits);
    } else if (const auto* const backpressure = std::get_if<model::BackpressureReport>(&outgoing.message)) {
        append(backpressure_, backpressure->notices);
    } else if (const auto* const targets = std::get_if<model::TargetReport>(&outgoing.message)) {
        append(leavingNotices_, targets->retired);
        append(statedSlowStarts_, targets->targets);
    } else if (const auto* const rollout = std::get_if<model::RolloutReport>(&outgoing.message)) {
        rolloutReports_.push_back(*rollout);
        rolloutReceivers_.push_back(outgoing.to);
    }
}

void GatewayFixture::advance(Duration duration)
{
    const Timestamp end = now_ + duration;
    while (now_ < end) {
        now_ = std::min(end, now_ + Tick);
        gateway_->tick(now_);
        collectActions();
    }
}

void GatewayFixture::installPlan(uint64_t version, const std::string& extraRoutes, const std::string& accounts)
{
    const std::string content = R"({"version":)" + std::to_string(version) + R"(,"routes":[
        {"name":"read","host":"prices.example","path_prefix":"/read/","kind":"repeatable","timeout_ms":1500,
         "objective_ms":400,"rank":1,"service":"quotes","attempts":2,"affinity":true},
        {"name":"write","host":"prices.example","path_prefix":"/write/","kind":"at_most_once","timeout_ms":2000,
         "objective_ms":500,"rank":0,"service":"quotes","attempts":2,"affinity":true},
        {"name":"file","host":"prices.example","path_prefix":"/file/","kind":"large_read","timeout_ms":2000,
         "objective_ms":500,"rank":2,"service":"files","attempts":2})"
        + extraRoutes + R"(],"services":[
        {"name":"quotes","probe_path":"/health","connections":100,"slow_start_s":3,"slow_start_per_s":5},
        {"name":"files","probe_path":"/health","connections":100,"slow_start_s":3,"slow_start_per_s":5}])"
        + (accounts.empty() ? "}" : R"(,"client_accounts":)" + accounts + "}");
    handle(model::Delivery {.from = Registry,
        .fromIncarnation = {1},
        .message = model::BundlePush {
            .position = {.term = {1}, .index = {++position_}}, .version = {version}, .content = content, .age = 10ms}});
    // The proof that the plan is current comes with a pull; without one the gateway accepts the delivered plan after a
    // second.
    answerPull();
    advance(Tick);
}

void GatewayFixture::startFetchingPlan(uint64_t version)
{
    handle(model::Delivery {.from = Registry,
        .fromIncarnation = {1},
        .message = model::BundlePart {.position = {.term = {1}, .index = {++position_}},
            .version = {version},
            .totalSize = 100,
            .bytes = "first part"}});
}

model::TargetRecord GatewayFixture::target(const std::string& id, const std::string& service, const std::string& zone)
{
    static uint16_t port = 9000;
    return {.target = TargetId(id),
        .service = ServiceName(service),
        .address = {.ip = "10.0.1.1", .port = ++port},
        .zone = ZoneName(zone),
        .slots = 3,
        .sequence = 1};
}

void GatewayFixture::report(model::TargetReport report)
{
    if (report.gateways == 0) {
        report.gateways = 1;
        report.gatewayNumber = 1;
    }
    handle(model::Delivery {.from = Registry, .fromIncarnation = {1}, .message = std::move(report)});
}

void GatewayFixture::reportTargets(std::vector<model::TargetRecord> records)
{
    report({.targets = std::move(records)});
}

requests::HttpHandle GatewayFixture::request(const CallerRequest& caller)
{
    const requests::HttpHandle handle = sendRequestHead(caller);
    if (!caller.body.empty())
        sendRequestBody(handle, caller.body);
    return handle;
}

requests::HttpHandle GatewayFixture::sendRequestHead(const CallerRequest& caller)
{
    const requests::HttpHandle handle {++lastHandle_};
    std::vector<model::Header> headers {{.name = "Host", .value = caller.host},
        {.name = "Saltvane-Request-Id", .value = caller.id}, {.name = "Saltvane-Object", .value = caller.object},
        {.name = "Saltvane-Deadline-Ms", .value = caller.deadlineMs}, {.name = "Connection", .value = "keep-alive"}};
    headers.insert(headers.end(), caller.extraHeaders.begin(), caller.extraHeaders.end());
    const uint64_t length = caller.bodyLength.value_or(caller.body.size());
    this->handle(requests::HttpEvent(requests::HttpRequestStarted {.handle = handle,
        .method = caller.method,
        .path = caller.path,
        .headers = std::move(headers),
        .bodyLength = caller.isChunked ? std::nullopt : std::optional(length)}));
    return handle;
}

void GatewayFixture::sendRequestBody(requests::HttpHandle handle, const std::string& body)
{
    sendRequestBodyPart(handle, body, true);
}

void GatewayFixture::sendRequestBodyPart(requests::HttpHandle handle, const std::string& bytes, bool isLast)
{
    this->handle(requests::HttpEvent(requests::HttpRequestBody {.handle = handle, .bytes = bytes, .isLast = isLast}));
}

void GatewayFixture::abort(requests::HttpHandle handle)
{
    this->handle(requests::HttpEvent(requests::HttpRequestAborted {.handle = handle}));
}

void GatewayFixture::deliverResponse(requests::HttpHandle handle)
{
    this->handle(requests::HttpEvent(requests::HttpResponseDone {.handle = handle}));
}

void GatewayFixture::answer(const requests::TargetStart& start, const TargetResponse& from)
{
    std::vector<model::Header> headers {{.name = "Saltvane-Request-Id", .value = from.id}};
    headers.insert(headers.end(), from.extraHeaders.begin(), from.extraHeaders.end());
    handle(requests::TargetEvent(requests::TargetResponseHead {.dispatch = start.dispatch,
        .status = from.status,
        .headers = std::move(headers),
        .bodyLength = from.body.size(),
        .isNewConnection = from.isNewConnection,
        .hasSurplus = from.hasSurplus}));
    handle(requests::TargetEvent(requests::TargetResponseBody {.dispatch = start.dispatch, .bytes = from.body}));
    handle(requests::TargetEvent(requests::TargetResponseDone {.dispatch = start.dispatch}));
}

void GatewayFixture::sendHead(
    const requests::TargetStart& start, const std::string& id, std::optional<uint64_t> bodyLength)
{
    handle(requests::TargetEvent(requests::TargetResponseHead {.dispatch = start.dispatch,
        .status = 200,
        .headers = {{.name = "Saltvane-Request-Id", .value = id}},
        .bodyLength = bodyLength}));
}

void GatewayFixture::sendBody(const requests::TargetStart& start, size_t bytes)
{
    handle(requests::TargetEvent(
        requests::TargetResponseBody {.dispatch = start.dispatch, .bytes = std::string(bytes, 'x')}));
}

void GatewayFixture::endResponse(const requests::TargetStart& start)
{
    handle(requests::TargetEvent(requests::TargetResponseDone {.dispatch = start.dispatch}));
}

void GatewayFixture::readResponse(requests::HttpHandle caller, size_t bytes)
{
    handle(requests::HttpEvent(requests::HttpResponseProgress {.handle = caller, .bytes = bytes}));
}

void GatewayFixture::fail(const requests::TargetStart& start, bool mayHaveReachedTarget)
{
    handle(requests::TargetEvent(requests::TargetFailed {
        .dispatch = start.dispatch, .mayHaveReachedTarget = mayHaveReachedTarget, .message = "test"}));
}

void GatewayFixture::withhold(const requests::TargetStart& start, model::Reason reason)
{
    handle(requests::TargetEvent(requests::TargetFailed {
        .dispatch = start.dispatch, .mayHaveReachedTarget = false, .message = "test", .withheldFor = reason}));
}

void GatewayFixture::stopTarget(const requests::TargetStart& start, bool isKnown)
{
    handle(requests::TargetEvent(
        requests::TargetFailed {.dispatch = start.dispatch, .message = "test", .isRefused = isKnown}));
}

void GatewayFixture::refuse(const requests::TargetStart& start)
{
    handle(requests::TargetEvent(requests::TargetFailed {
        .dispatch = start.dispatch, .mayHaveReachedTarget = false, .message = "test", .isRefused = true}));
}

void GatewayFixture::deliver(model::Message message)
{
    handle(model::Delivery {.from = Registry, .fromIncarnation = {1}, .message = std::move(message)});
}

void GatewayFixture::answerPull(Duration proofAge, const LogPosition& orders)
{
    deliver(model::BundleCurrent {
        .position = {.term = {1}, .index = {position_}}, .age = proofAge, .pull = lastPull_, .orders = orders});
}

void GatewayFixture::requestStop() { handle(host::StopRequested {}); }

std::vector<requests::TargetStart> GatewayFixture::takeStarts() { return std::exchange(starts_, {}); }

std::vector<requests::TargetStart> GatewayFixture::takeProbes() { return std::exchange(probes_, {}); }

std::optional<requests::HttpRespond> GatewayFixture::takeResponse()
{
    if (responses_.empty())
        return std::nullopt;
    requests::HttpRespond first = std::move(responses_.front());
    responses_.erase(responses_.begin());
    return first;
}

size_t GatewayFixture::takeCancels() { return std::exchange(cancels_, 0); }

std::vector<std::string> GatewayFixture::takeDecisions() { return std::exchange(decisions_, {}); }

std::vector<std::string> GatewayFixture::drainLogLines() { return std::exchange(lines_, {}); }

bool GatewayFixture::takeStopFinished() { return std::exchange(isStopFinished_, false); }

std::string GatewayFixture::header(const std::vector<model::Header>& headers, const std::string& name)
{
    for (const model::Header& field : headers) {
        if (model::isSameFieldName(field.name, name))
            return field.value;
    }
    return {};
}

} // namespace saltvane::gateway::test
