/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/fakes/callerload.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

namespace saltvane::host::fakes {

namespace {

constexpr uint32_t MaxCalls = 4;
constexpr Duration ResendDelay = 200ms;
constexpr Duration CallerTimeout = 9s; ///< Longer than every deadline of the deployments.
constexpr uint32_t FailuresBeforeLookUp = 2;
const std::string WritePath = "/changes/";
const std::string CallHeader = "X-Call";

} // namespace

CallerLoad::CallerLoad(CallerLoadOptions options)
    : options_(std::move(options))
    , deployment_(*options_.deployment)
    , time_(deployment_.time())
    , random_(options_.seed)
{
    const model::Deployment& first = *deployment_.plan().first;
    for (const model::Service& service : first.bundle().services) {
        const auto& services = options_.services;
        if (!services.empty() && std::find(services.begin(), services.end(), service.name) == services.end())
            continue;
        for (const model::Region& region : first.bundle().regions) {
            const auto& regions = options_.regions;
            if (!regions.empty() && std::find(regions.begin(), regions.end(), region.name) == regions.end())
                continue;
            callers_.push_back({.service = service.name,
                .region = region.name,
                .address = addressIn(region.name),
                .readPath = service.repeatable.front().pathPrefix});
        }
    }
}

void CallerLoad::start()
{
    for (size_t i = 0; i < callers_.size(); ++i)
        lookUp(i);
    scheduleNext(++generation_);
}

void CallerLoad::finish()
{
    stop();
    (void)time_.runUntil([this] { return jobs_.empty(); }, MaxCalls * (CallerTimeout + ResendDelay));
    for (const auto& [id, job] : jobs_)
        record_.violations.push_back("request " + std::to_string(id) + " never completed");
    for (const auto& [id, request] : lastNotRun_) {
        if (runsOf(id) > 0)
            record_.violations.push_back(request + " had the last outcome not-run, but it ran");
    }
}

std::string CallerLoad::violations() const
{
    std::string text;
    for (const std::string& violation : record_.violations)
        text += violation + "\n";
    return text;
}

std::string CallerLoad::summary() const
{
    std::ostringstream text;
    text << "requests=" << record_.requests << " answered=" << record_.answered << " not_run=" << record_.notRun
         << " unknown=" << record_.unknown << " broken=" << record_.broken << " resends=" << record_.resends;
    for (const auto& [reason, count] : record_.reasons)
        text << " " << reason << "=" << count;
    return text.str();
}

uint64_t CallerLoad::countOf(const std::string& outcomeAndReason) const
{
    const auto found = record_.reasons.find(outcomeAndReason);
    return found == record_.reasons.end() ? 0 : found->second;
}

void CallerLoad::scheduleNext(uint64_t generation)
{
    const auto gap = fromSeconds(1.0 / options_.requestsPerSecond);
    time_.after(gap, [this, generation] {
        if (generation != generation_)
            return;
        startJob();
        scheduleNext(generation);
    });
}

void CallerLoad::startJob()
{
    const size_t index = draw(callers_.size());
    Caller& caller = callers_[index];
    const bool isStale = time_.now() >= caller.expiry || caller.failures >= FailuresBeforeLookUp;
    if (isStale && !caller.isLookingUp)
        lookUp(index);
    if (caller.hosts.empty())
        return;
    const JobId id = ++lastJob_;
    ++record_.requests;
    const uint64_t dice = draw(100);
    Job job {.caller = index};
    if (dice < options_.tokenKeyPercent)
        job.kind = Kind::TokenKey;
    else if (dice < options_.tokenKeyPercent + options_.ownKeyPercent)
        job.kind = Kind::OwnKey;
    const std::string number = callName(id);
    job.call = {.headers = {{"Saltvane-Service", caller.service.value()}, {CallHeader, number}},
        .remoteAddress = caller.address};
    if (job.kind == Kind::Repeatable) {
        job.call.path = caller.readPath + "/" + number;
    } else {
        job.key = (job.kind == Kind::TokenKey ? caller.token + "." : "own-") + number;
        job.call.method = "POST";
        job.call.path = WritePath + number;
        job.call.headers.push_back({"Idempotency-Key", job.key});
        job.call.body = "change " + number;
    }
    jobs_[id] = std::move(job);
    send(id);
}

void CallerLoad::lookUp(size_t index)
{
    Caller& caller = callers_[index];
    caller.isLookingUp = true;
    const std::vector<FakeHost*> hosts = deployment_.hosts();
    const HostId host = hosts[draw(hosts.size())]->settings().host;
    HttpCall call {.host = host,
        .path = "/v1/entry?service=" + caller.service.value(),
        .remoteAddress = caller.address,
        .oneWayDelay = deployment_.clientDelay(caller.region, host)};
    const FakeHttp::CallId id = deployment_.http().send(
        std::move(call), [this, index](const HttpReply& reply) { handleLookUpReply(index, reply); });
    time_.after(1s, [this, index, id] {
        // No reply: the host is stalled.
        if (deployment_.http().abort(id))
            handleLookUpReply(index, {});
    });
}

void CallerLoad::handleLookUpReply(size_t index, const HttpReply& reply)
{
    Caller& caller = callers_[index];
    caller.isLookingUp = false;
    if (!reply.isComplete || reply.status != 200) {
        time_.after(ResendDelay, [this, index] {
            if (!callers_[index].isLookingUp)
                lookUp(index);
        });
        return;
    }
    const nlohmann::json answer = nlohmann::json::parse(reply.body);
    caller.hosts.clear();
    for (const nlohmann::json& host : answer["entry_hosts"])
        caller.hosts.emplace_back(host["host"].get<std::string>());
    caller.token = answer["token"].get<std::string>();
    caller.expiry = time_.now() + std::chrono::milliseconds(answer["ttl_ms"].get<int64_t>());
    caller.failures = 0;
}

void CallerLoad::send(JobId id)
{
    Job& job = jobs_.at(id);
    Caller& caller = callers_[job.caller];
    const uint32_t callNumber = ++job.calls;
    job.isAwaiting = true;
    job.call.host = caller.hosts[(job.calls - 1 + caller.failures) % caller.hosts.size()];
    job.call.oneWayDelay = deployment_.clientDelay(caller.region, job.call.host);
    job.callId
        = deployment_.http().send(HttpCall(job.call), [this, id](const HttpReply& reply) { handleReply(id, reply); });
    time_.after(CallerTimeout, [this, id, callNumber] { onCallerTimeout(id, callNumber); });
}

void CallerLoad::onCallerTimeout(JobId id, uint32_t call)
{
    const auto job = jobs_.find(id);
    if (job == jobs_.end() || !job->second.isAwaiting || job->second.calls != call)
        return;
    (void)deployment_.http().abort(job->second.callId);
    handleReply(id, {});
}

void CallerLoad::handleReply(JobId id, const HttpReply& reply)
{
    Job& job = jobs_.at(id);
    job.isAwaiting = false;
    if (!reply.isComplete) {
        ++record_.broken;
        ++callers_[job.caller].failures;
        const std::string expected = expectedBody(job, reply.header("X-Target"));
        if (reply.status == 200 && !expected.starts_with(reply.body))
            addViolation(id, job, "received bytes of another response: " + reply.body);
        resendOrFinish(id, job, false);
        return;
    }
    const std::string outcome = reply.header("Saltvane-Outcome");
    if (outcome == "answered") {
        handleAnswered(id, job, reply);
        jobs_.erase(id);
        return;
    }
    ++record_.reasons[outcome + ":" + reply.header("Saltvane-Reason")];
    if (outcome == "not-run") {
        handleNotRun(id, job, reply);
        return;
    }
    if (outcome != "unknown")
        addViolation(id, job, "received a response without an outcome, status " + std::to_string(reply.status));
    ++record_.unknown;
    resendOrFinish(id, job, false);
}

void CallerLoad::handleAnswered(JobId id, const Job& job, const HttpReply& reply)
{
    ++record_.answered;
    if (reply.status != 200)
        return;
    const std::string target = reply.header("X-Target");
    if (reply.body != expectedBody(job, target))
        addViolation(id, job, "received another request's response: " + reply.body);
    if (runsOf(id) == 0)
        addViolation(id, job, "was answered, but no target ran it");
}

void CallerLoad::handleNotRun(JobId id, Job& job, const HttpReply& reply)
{
    ++record_.notRun;
    const std::string reason = reply.header("Saltvane-Reason");
    if (reason == "stopping" || reason == "not-ready")
        ++callers_[job.caller].failures;
    // A repeatable request may have run in an earlier call; a non-repeatable one must not have run in any of its calls.
    const bool isSure = job.kind != Kind::Repeatable || job.calls == 1;
    if (isSure && runsOf(id) > 0)
        addViolation(id, job, "had the outcome not-run, " + reason + ", but it ran");
    resendOrFinish(id, job, isSure);
}

void CallerLoad::resendOrFinish(JobId id, Job& job, bool wasReportedNotRun)
{
    const bool isOver = job.calls >= MaxCalls || job.kind == Kind::Repeatable || draw(4) == 0;
    if (isOver) {
        if (wasReportedNotRun)
            lastNotRun_[id] = "request " + std::to_string(id) + " with key '" + job.key + "'";
        jobs_.erase(id);
        return;
    }
    ++record_.resends;
    time_.after(ResendDelay, [this, id] { send(id); });
}

void CallerLoad::addViolation(JobId id, const Job& job, const std::string& text)
{
    record_.violations.push_back("request " + std::to_string(id) + " with key '" + job.key + "' at "
        + job.call.host.value() + ", call " + std::to_string(job.calls) + ", " + text);
}

std::string CallerLoad::expectedBody(const Job& job, const std::string& target) const
{
    return target + " " + job.call.method + " " + job.call.path + " " + job.call.body;
}

uint64_t CallerLoad::draw(uint64_t bound)
{
    return boost::random::uniform_int_distribution<uint64_t>(0, bound - 1)(random_);
}

std::string CallerLoad::addressIn(const RegionName& region) const
{
    const model::Deployment& first = *deployment_.plan().first;
    for (const model::ClientBlock& block : first.bundle().clients) {
        const std::string address = block.prefix.substr(0, block.prefix.find('/'));
        if (block.region == region && first.region(first.clientRegion(address)).name == region)
            return address;
    }
    return {};
}

} // namespace saltvane::host::fakes
