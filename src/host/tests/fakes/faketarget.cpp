/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/fakes/faketarget.h"

#include <algorithm>
#include <utility>

namespace saltvane::host::fakes {

namespace {

constexpr uint64_t MaxChunkBytes = 64 * 1024;

std::string headerOf(const requests::TargetStart& start, std::string_view name)
{
    return HttpReply {.headers = start.headers}.header(name);
}

} // namespace

FakeTarget::FakeTarget(FakeTargetOptions options, const FakeTargetEnvironment& environment)
    : options_(std::move(options))
    , environment_(environment)
{
    setResponder([this](const requests::TargetStart& start, const std::string& body) {
        return TargetResponse {.body = options_.target.value() + " " + start.method + " " + start.path + " " + body};
    });
}

void FakeTarget::setResponder(
    std::function<TargetResponse(const requests::TargetStart&, const std::string& body)> responder)
{
    responder_ = std::move(responder);
}

void FakeTarget::kill()
{
    isUp_ = false;
    ++generation_;
    for (const auto& [key, run] : runs_)
        sendFailure(key, true);
    runs_.clear();
    running_ = 0;
}

void FakeTarget::restart()
{
    kill();
    ++options_.incarnation.value;
    sequence_ = 0;
    lease_ = {};
    announceTo_ = {};
    isLeaving_ = false;
    completedSinceStart_ = 0;
    start();
}

void FakeTarget::handle(const HostId& host, Incarnation incarnation, requests::TargetStart start)
{
    const RunKey key {host, incarnation, start.dispatch};
    const Duration travel = environment_.delay(host, options_.zone) + options_.connectTime;
    environment_.time->after(
        travel, [this, key, carried = std::move(start)]() mutable { arrive(key, std::move(carried)); });
}

void FakeTarget::arrive(const RunKey& key, requests::TargetStart start)
{
    const bool isRefused
        = !isUp_ || behaviour_ == TargetBehaviour::Refusing || environment_.isCut(options_.zone, key.host);
    if (isRefused) {
        sendFailure(key, false);
        return;
    }
    const bool hasBody = !start.bodyLength || *start.bodyLength > 0;
    runs_[key] = {.start = std::move(start)};
    if (!hasBody)
        startRun(key);
}

void FakeTarget::handle(const HostId& host, Incarnation incarnation, const requests::TargetRequestBody& body)
{
    const RunKey key {host, incarnation, body.dispatch};
    const Duration travel = environment_.delay(host, options_.zone) + options_.connectTime;
    environment_.time->after(travel, [this, key, body] {
        Run* run = find(key);
        if (run == nullptr)
            return;
        run->body += body.bytes.text();
        if (!body.bytes.empty())
            send(key, requests::TargetRequestProgress {key.dispatch, body.bytes.size()});
        if (body.isLast)
            startRun(key);
    });
}

void FakeTarget::handle(const HostId& host, Incarnation incarnation, const requests::TargetResponseWindow& window)
{
    const RunKey key {host, incarnation, window.dispatch};
    environment_.time->after({}, [this, key, bytes = window.bytes] {
        Run* run = find(key);
        if (run == nullptr)
            return;
        run->window += bytes;
        if (!run->isRunning)
            sendResponse(key);
    });
}

void FakeTarget::handle(const HostId& host, Incarnation incarnation, const requests::TargetCancel& cancel)
{
    const RunKey key {host, incarnation, cancel.dispatch};
    environment_.time->after(environment_.delay(host, options_.zone) + options_.connectTime, [this, key] {
        if (find(key) == nullptr)
            return;
        ++record_.cancelled;
        removeRun(key);
    });
}

void FakeTarget::startRun(const RunKey& key)
{
    if (behaviour_ == TargetBehaviour::Shedding) {
        respondWithoutRunning(key, 503, {{"Saltvane-Shed", "1"}});
        return;
    }
    if (behaviour_ == TargetBehaviour::Failing) {
        respondWithoutRunning(key, 500, {});
        return;
    }
    Run& run = runs_[key];
    run.isRunning = true;
    ++running_;
    ++record_.runs;
    record_.maxInFlight = std::max(record_.maxInFlight, running_);
    record_.lastNewWork = environment_.time->now();
    if (const std::string idempotencyKey = headerOf(run.start, "Idempotency-Key"); !idempotencyKey.empty())
        ++record_.runsByKey[idempotencyKey];
    if (const std::string call = headerOf(run.start, "X-Call"); !call.empty())
        ++record_.runsByCall[call];
    if (behaviour_ == TargetBehaviour::Stalled)
        return;
    environment_.time->after(nextServiceTime(), [this, key, generation = generation_] {
        if (generation == generation_ && find(key) != nullptr)
            finishRun(key);
    });
}

void FakeTarget::finishRun(const RunKey& key)
{
    Run& run = runs_[key];
    run.isRunning = false;
    --running_;
    ++completedSinceStart_;
    TargetResponse response = responder_(run.start, run.body);
    const bool isHead = run.start.method == "HEAD";
    requests::TargetResponseHead head {.dispatch = key.dispatch,
        .status = response.status,
        .headers = {{"Content-Type", "text/plain"}, {"X-Target", options_.target.value()}},
        .bodyLength = response.body.size()};
    run.response = isHead ? std::string() : std::move(response.body);
    send(key, std::move(head));
    if (behaviour_ == TargetBehaviour::Truncating) {
        const std::string half = run.response.substr(0, run.response.size() / 2);
        send(key, requests::TargetResponseBody {key.dispatch, half});
        sendFailure(key, true);
        runs_.erase(key);
        return;
    }
    sendResponse(key);
}

void FakeTarget::sendResponse(const RunKey& key)
{
    Run& run = runs_[key];
    while (!run.response.empty() && run.window > 0) {
        const uint64_t size = std::min<uint64_t>({MaxChunkBytes, run.window, run.response.size()});
        send(key, requests::TargetResponseBody {key.dispatch, run.response.substr(0, size)});
        run.response.erase(0, size);
        run.window -= size;
    }
    if (!run.response.empty())
        return;
    send(key, requests::TargetResponseDone {key.dispatch});
    runs_.erase(key);
}

void FakeTarget::respondWithoutRunning(const RunKey& key, int status, std::vector<model::Header> headers)
{
    send(key,
        requests::TargetResponseHead {
            .dispatch = key.dispatch, .status = status, .headers = std::move(headers), .bodyLength = 0});
    send(key, requests::TargetResponseDone {key.dispatch});
    runs_.erase(key);
}

void FakeTarget::removeRun(const RunKey& key)
{
    if (runs_[key].isRunning)
        --running_;
    runs_.erase(key);
}

void FakeTarget::sendFailure(const RunKey& key, bool mayHaveReached)
{
    send(key,
        requests::TargetFailed {
            .dispatch = key.dispatch, .mayHaveReachedTarget = mayHaveReached, .message = "connection closed"});
}

void FakeTarget::send(const RunKey& key, requests::TargetEvent event)
{
    environment_.time->after(environment_.delay(key.host, options_.zone), [this, key, carried = std::move(event)] {
        if (!environment_.isCut(options_.zone, key.host))
            environment_.deliver(key.host, key.incarnation, carried);
    });
}

Duration FakeTarget::nextServiceTime()
{
    if (completedSinceStart_ >= options_.warmUpRequests)
        return options_.serviceTime;
    const double left = 1.0 - static_cast<double>(completedSinceStart_) / options_.warmUpRequests;
    return fromSeconds(toSeconds(options_.serviceTime) * (1.0 + (options_.coldServiceTimeFactor - 1.0) * left));
}

FakeTarget::Run* FakeTarget::find(const RunKey& key)
{
    const auto found = runs_.find(key);
    return found == runs_.end() ? nullptr : &found->second;
}

} // namespace saltvane::host::fakes
