/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "rolloutfleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace saltvane::fleet::test {

namespace {

constexpr Duration Step = 10ms;
constexpr Duration StartTimeout = 20s;
constexpr Duration ReportInterval = 1s;
constexpr Duration PollInterval = 100ms;
constexpr Duration MinProcessingTime = 60ms;
constexpr Duration MaxProcessingTime = 120ms;
constexpr size_t Objects = 400;
constexpr double ColdFactor = 3; ///< Of the processing time of an object's first request at a target.
constexpr uint16_t FirstPort = 9001;
constexpr int StatusOk = 200;
constexpr int StatusFailed = 500;

} // namespace

RolloutFleet::RolloutFleet(unsigned int seed, const RolloutFleetOptions& options)
    : options_(options)
    , fleet_(options.fleet)
    , random_(seed)
{
    for (size_t number = 0; number < options_.targets * 2; ++number)
        targets_.push_back({.id = "target-" + std::to_string(number),
            .isNew = number >= options_.targets,
            .isRunning = number < options_.targets});
    fleet_.onAction = [this](size_t gateway, requests::Action& action) {
        if (const auto* start = std::get_if<requests::TargetStart>(&action))
            accept(gateway, *start);
    };
    (void)fleet_.runUntil([this] { return fleet_.registries().leader().has_value(); }, StartTimeout);
    (void)fleet_.putPlan(0, makePlan(1, {{"/read/", "quotes"}, {"/list/", "quotes"}}));
    (void)fleet_.runUntil([this] { return fleet_.isPlanInForceEverywhere(1); }, StartTimeout);
    fleet_.onStep = [this] { step(); };
    fleet_.run(2s);
    areCallersActive_ = true;
    fleet_.run(8s); // Until most objects are warm.
}

bool RolloutFleet::start()
{
    for (Target& target : targets_)
        target.isRunning = true;
    nextReportAt_ = now();
    fleet_.run(options_.targetsLead);
    const nlohmann::json order {
        {"service", "quotes"}, {"to_version", "v2"}, {"duration_s", toSeconds(options_.timeLimit)}};
    const auto answer = fleet_.registries().order("POST", "/v1/rollouts", order.dump());
    orderedAt_ = now();
    return answer && answer->status == StatusOk;
}

void RolloutFleet::step()
{
    report();
    finishRuns();
    if (!areCallersActive_)
        return;
    sendRequests();
    pollState();
}

void RolloutFleet::report()
{
    if (now() < nextReportAt_)
        return;
    nextReportAt_ = now() + ReportInterval;
    for (size_t number = 0; number < targets_.size(); ++number) {
        Target& target = targets_[number];
        const size_t registry = number % options_.fleet.registries;
        if (!target.isRunning || !fleet_.registries().isRunning(registry))
            continue;
        const nlohmann::json body {{"service", "quotes"}, {"address", "10.9.0.1:" + std::to_string(FirstPort + number)},
            {"zone", number % 2 == 0 ? "north-a" : "south-a"}, {"version", target.isNew ? "v2" : "v1"},
            {"slots", options_.slots}, {"state", "ready"}, {"slow_start_left_ms", 0}, {"sequence", ++target.sequence}};
        fleet_.registries().post(registry, "/v1/targets/" + target.id + "/heartbeat", body.dump());
    }
}

void RolloutFleet::sendRequests()
{
    for (pendingRequests_ += options_.requestsPerSecond * toSeconds(Step); pendingRequests_ >= 1;
         pendingRequests_ -= 1) {
        const uint64_t number = ++lastRequest_;
        const size_t gateway = std::uniform_int_distribution<size_t>(0, fleet_.gateways() - 1)(random_);
        const size_t object = std::uniform_int_distribution<size_t>(0, Objects - 1)(random_);
        fleet_.handle(gateway,
            requests::HttpEvent(requests::HttpRequestStarted {.handle = {number},
                .method = "GET",
                .path = number % 4 == 0 ? "/list/1" : "/read/1",
                .headers = {{.name = "Host", .value = "prices.example"},
                    {.name = "Saltvane-Request-Id", .value = "try-" + std::to_string(number)},
                    {.name = "Saltvane-Deadline-Ms", .value = "3000"},
                    {.name = "Saltvane-Object", .value = std::to_string(object)}},
                .bodyLength = 0}));
    }
}

bool RolloutFleet::behavesBadly(const Target& target, const requests::TargetStart& start)
{
    const NewVersion& version = options_.newVersion;
    if (!target.isNew || !orderedAt_ || now() - *orderedAt_ < version.badAfter || target.inFlight < version.badFromLoad)
        return false;
    return !version.isOnOneRouteOnly || start.path.starts_with("/list/");
}

void RolloutFleet::accept(size_t gateway, const requests::TargetStart& start)
{
    const auto found = std::ranges::find(targets_, start.target.value(), &Target::id);
    if (found == targets_.end() || !found->isRunning) {
        fleet_.handle(gateway,
            requests::TargetEvent(requests::TargetFailed {
                .dispatch = start.dispatch, .mayHaveReachedTarget = false, .message = "refused", .isRefused = true}));
        return;
    }
    Target& target = *found;
    ++target.inFlight;
    recordArrival(target);
    const bool isBad = behavesBadly(target, start);
    std::uniform_int_distribution<int64_t> processingTime(MinProcessingTime.count(), MaxProcessingTime.count());
    const double rounds = std::max(1.0, static_cast<double>(target.inFlight) / options_.slots);
    const auto object = std::ranges::find(start.headers, "Saltvane-Object", &model::Header::name);
    // Health checks name none.
    const bool isCold = object != start.headers.end() && target.warmObjects.insert(object->value).second;
    const double coldFactor = isCold ? ColdFactor : 1;
    const double slowdown = coldFactor * (isBad ? options_.newVersion.slowdown : 1);
    const bool isFailed = isBad && std::bernoulli_distribution(options_.newVersion.failedFraction)(random_);
    if (isFailed || (isBad && options_.newVersion.slowdown > 1))
        ++figures_.badAnswers;
    if (!manyBadAt_ && figures_.badAnswers >= BadAnswersToRollBack)
        manyBadAt_ = now();
    const auto id = std::ranges::find(start.headers, "Saltvane-Request-Id", &model::Header::name);
    runs_.push_back({.endsAt = now() + fromSeconds(toSeconds(Duration(processingTime(random_))) * rounds * slowdown),
        .gateway = gateway,
        .target = static_cast<size_t>(found - targets_.begin()),
        .dispatch = start.dispatch,
        .id = id == start.headers.end() ? std::string() : id->value,
        .status = isFailed ? StatusFailed : StatusOk});
}

void RolloutFleet::recordArrival(const Target& target)
{
    if (orderedAt_ && now() - *orderedAt_ < options_.timeLimit) {
        ++figures_.requests;
        figures_.toNewVersion += target.isNew ? 1 : 0;
    }
    if (target.isNew && manyBadAt_)
        figures_.latestAfterBad = std::max(figures_.latestAfterBad, now() - *manyBadAt_);
}

void RolloutFleet::finishRuns()
{
    std::vector<Run> finished;
    std::erase_if(runs_, [&](const Run& run) {
        if (run.endsAt <= now())
            finished.push_back(run);
        return run.endsAt <= now();
    });
    for (const Run& run : finished) {
        --targets_[run.target].inFlight;
        fleet_.handle(run.gateway,
            requests::TargetEvent(requests::TargetResponseHead {.dispatch = run.dispatch,
                .status = run.status,
                .headers = {{.name = "Saltvane-Request-Id", .value = run.id}},
                .bodyLength = 0}));
        fleet_.handle(run.gateway, requests::TargetEvent(requests::TargetResponseDone {.dispatch = run.dispatch}));
    }
}

/// Asks the leader's state without a call, which would advance the virtual time.
void RolloutFleet::pollState()
{
    if (!orderedAt_ || isEnded() || now() < nextPollAt_)
        return;
    nextPollAt_ = now() + PollInterval;
    for (size_t registry = 0; registry < options_.fleet.registries; ++registry) {
        const std::string text = fleet_.registries().rolloutPhaseAt(registry, ServiceName("quotes"));
        if (text != "completed" && text != "rolled-back")
            continue;
        endState_ = text;
        figures_.endedAfter = now() - *orderedAt_;
        if (text == "completed")
            stopFormerTargets();
        return;
    }
}

void RolloutFleet::stopFormerTargets()
{
    for (Target& target : targets_)
        target.isRunning = target.isNew;
    std::vector<Run> broken;
    std::erase_if(runs_, [&](const Run& run) {
        if (!targets_[run.target].isNew)
            broken.push_back(run);
        return !targets_[run.target].isNew;
    });
    figures_.lostAtStop = broken.size();
    for (const Run& run : broken)
        fleet_.handle(run.gateway,
            requests::TargetEvent(
                requests::TargetFailed {.dispatch = run.dispatch, .mayHaveReachedTarget = true, .message = "closed"}));
}

std::string RolloutFleet::state()
{
    const auto answer = fleet_.registries().order("GET", "/v1/rollouts/quotes");
    if (!answer || answer->status != StatusOk)
        return {};
    return nlohmann::json::parse(answer->body).at("state").get<std::string>();
}

RolloutFleet::Figures RolloutFleet::figures() const
{
    Figures figures = figures_;
    figures.endState = endState_;
    return figures;
}

} // namespace saltvane::fleet::test
