/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "trafficfleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace saltvane::fleet::test {

namespace {

constexpr Duration Step = 10ms;
/// Number of paths that many callers request; every other request has a path of its own.
constexpr uint64_t PopularPaths = 24;
constexpr double PopularFraction = 0.5;
constexpr Duration StartTimeout = 20s;
/// Delay of a retry where the response has no Retry-After.
constexpr double DefaultRetrySeconds = 0.05;
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

std::string requestIdOf(uint64_t number) { return "try-" + std::to_string(number); }

std::string planText(double slowStartPerSecond)
{
    nlohmann::json plan {{"version", 1},
        {"services",
            {{{"name", "quotes"}, {"probe_path", "/health"}, {"connections", 100}, {"slow_start_s", 3},
                {"slow_start_per_s", slowStartPerSecond}}}}};
    for (const char* kind : {"repeatable", "at_most_once"}) {
        const bool isRepeatable = std::string_view(kind) == "repeatable";
        plan["routes"].push_back(
            {{"name", kind}, {"host", "prices.example"}, {"path_prefix", isRepeatable ? "/read/" : "/once/"},
                {"kind", kind}, {"timeout_ms", 3000}, {"objective_ms", 400}, {"attempts", 2}, {"service", "quotes"}});
    }
    return plan.dump();
}

} // namespace

TrafficFleet::TrafficFleet(
    unsigned int seed, const CrashingTargets::Options& targets, const FleetOptions& fleet, const CallerOptions& callers)
    : fleet_(fleet)
    , peers_(fleet_)
    , callers_(callers)
    , random_(seed)
{
    fleet_.onAction = [this](size_t gateway, requests::Action& action) { handleAction(gateway, action); };
    (void)fleet_.runUntil([this] { return fleet_.registries().leader().has_value(); }, StartTimeout);
    (void)fleet_.putPlan(0, planText(targets.slowStartPerSecond));
    (void)fleet_.runUntil([this] { return fleet_.isPlanInForceEverywhere(1); }, StartTimeout);
    targets_ = std::make_unique<CrashingTargets>(fleet_, targets, seed + 1);
    fleet_.onStep = [this] { step(); };
    fleet_.run(2s);
    areCallersActive_ = true;
}

void TrafficFleet::addFatalCaller(const std::string& path, Duration interval)
{
    fatalCallers_.push_back({.path = path, .interval = interval, .nextAt = now()});
}

void TrafficFleet::run(Duration duration) { fleet_.run(duration); }

void TrafficFleet::restartGateway(size_t gateway)
{
    targets_->dropGateway(gateway);
    peers_.dropGateway(gateway);
    fleet_.restartGateway(gateway);
    std::vector<uint64_t> aborted;
    for (const auto& [number, attempt] : attempts_) {
        if (attempt.gateway == gateway && attempt.outcome.status == 0)
            aborted.push_back(number);
    }
    for (const uint64_t number : aborted)
        onOutcome(number);
}

size_t TrafficFleet::randomGateway()
{
    return std::uniform_int_distribution<size_t>(0, fleet_.gateways() - 1)(random_);
}

void TrafficFleet::step()
{
    targets_->step();
    peers_.step();
    if (!areCallersActive_)
        return;
    sendHarmless();
    for (FatalCaller& caller : fatalCallers_) {
        if (now() < caller.nextAt)
            continue;
        caller.nextAt = now() + caller.interval;
        (void)send(randomGateway(), {.path = caller.path}, false, false);
    }
    std::vector<uint64_t> dueRetries;
    std::erase_if(retries_, [&](const Retry& retry) {
        if (retry.at <= now())
            dueRetries.push_back(retry.number);
        return retry.at <= now();
    });
    for (const uint64_t number : dueRetries) {
        const Attempt previous = attempts_.extract(number).mapped();
        (void)send(randomGateway(), previous.request, previous.isHarmless, true);
    }
}

void TrafficFleet::sendHarmless()
{
    for (harmlessPending_ += callers_.requestsPerSecond * toSeconds(Step); harmlessPending_ >= 1;
         harmlessPending_ -= 1) {
        const bool isPopular = std::bernoulli_distribution(PopularFraction)(random_);
        const uint64_t number = ++harmlessSent_;
        const std::string name
            = isPopular ? "popular-" + std::to_string(number % PopularPaths) : std::to_string(number);
        const bool isOnce = !isPopular && number % 3 == 0;
        (void)send(randomGateway(),
            {.path = (isOnce ? "/once/" : "/read/") + name,
                .body = isOnce ? "pay" : "",
                .object = callers_.haveObjects ? name : "",
                .isAtMostOnce = isOnce},
            true, false);
    }
}

uint64_t TrafficFleet::sendRequest(size_t gateway, const Request& request)
{
    return send(gateway, request, false, true);
}

uint64_t TrafficFleet::send(size_t gateway, const Request& request, bool isHarmless, bool isLastAttempt)
{
    const uint64_t number = ++lastNumber_;
    attempts_.emplace(number,
        Attempt {.gateway = gateway, .request = request, .isHarmless = isHarmless, .isLastAttempt = isLastAttempt});
    const requests::HttpHandle handle {number};
    requests::HttpRequestStarted started {.handle = handle,
        .method = request.body.empty() ? "GET" : "POST",
        .path = request.path,
        .headers
        = {{.name = "Host", .value = "prices.example"}, {.name = "Saltvane-Request-Id", .value = requestIdOf(number)},
            {.name = "Saltvane-Deadline-Ms", .value = "3000"}},
        .bodyLength = request.body.size()};
    if (!request.account.empty())
        started.headers.push_back({.name = "Saltvane-Client-Account", .value = request.account});
    if (!request.object.empty())
        started.headers.push_back({.name = "Saltvane-Object", .value = request.object});
    fleet_.handle(gateway, requests::HttpEvent(std::move(started)));
    if (!request.body.empty())
        fleet_.handle(gateway,
            requests::HttpEvent(requests::HttpRequestBody {.handle = handle, .bytes = request.body, .isLast = true}));
    return number;
}

TrafficFleet::Outcome TrafficFleet::outcomeOf(uint64_t number) const
{
    const auto found = attempts_.find(number);
    return found == attempts_.end() ? Outcome {} : found->second.outcome;
}

void TrafficFleet::handleAction(size_t gateway, const requests::Action& action)
{
    if (peers_.handleAction(gateway, action) || (targets_ && targets_->handleAction(gateway, action)))
        return;
    const auto* response = std::get_if<requests::HttpRespond>(&action);
    const auto found = response == nullptr ? attempts_.end() : attempts_.find(response->handle.value);
    if (found == attempts_.end() || found->second.gateway != gateway)
        return;
    Outcome& outcome = found->second.outcome;
    outcome.status = response->status;
    std::string digest;
    for (const model::Header& header : response->headers) {
        if (header.name == "Retry-After")
            outcome.retryAfter = std::stod(header.value);
        else if (header.name == "Saltvane-Reason")
            outcome.reason = header.value;
        else if (header.name == CrashingTargets::DigestHeader)
            digest = header.value;
    }
    const bool isOfTarget = outcome.status == StatusOk || !digest.empty();
    if (isOfTarget && digest != CrashingTargets::digestOf(requestIdOf(response->handle.value), outcome.status))
        ++misattributed_;
    onOutcome(response->handle.value);
}

/// Schedules the one retry of a failed request, after the delay that the response asks for.
void TrafficFleet::onOutcome(uint64_t number)
{
    Attempt& attempt = attempts_.at(number);
    recordAttempt(number, attempt);
    if (attempt.isHarmless && attempt.outcome.reason == "request-quarantined")
        ++tally_.quarantined;
    const bool isServed = attempt.outcome.status == StatusOk;
    const bool mayRetry
        = !attempt.isLastAttempt && !isServed && (!attempt.request.isAtMostOnce || attempt.outcome.retryAfter > 0);
    if (mayRetry) {
        const double delay
            = attempt.outcome.retryAfter > 0 ? std::min(attempt.outcome.retryAfter, 1.0) : DefaultRetrySeconds;
        retries_.push_back({.at = now() + fromSeconds(delay), .number = number});
        return;
    }
    if (!attempt.isHarmless)
        return;
    ++tally_.requested;
    tally_.served += isServed ? 1 : 0;
    attempts_.erase(number);
}

void TrafficFleet::recordAttempt(uint64_t number, const Attempt& attempt)
{
    if (attempt.request.isAtMostOnce && attempt.outcome.status == StatusUnavailable)
        refusedAtMostOnce_.insert(requestIdOf(number));
    if (!attempt.isHarmless || attempt.isLastAttempt || number <= talliedFrom_)
        return;
    FirstAttempts& tally = firstAttempts_[attempt.gateway];
    ++tally.completed;
    tally.served += attempt.outcome.status == StatusOk ? 1 : 0;
}

void TrafficFleet::clearTally()
{
    tally_ = {};
    firstAttempts_.clear();
    talliedFrom_ = lastNumber_;
}

double TrafficFleet::firstAttemptsServed(std::span<const size_t> gateways) const
{
    FirstAttempts all;
    for (const size_t gateway : gateways) {
        const auto found = firstAttempts_.find(gateway);
        if (found == firstAttempts_.end())
            continue;
        all.completed += found->second.completed;
        all.served += found->second.served;
    }
    return all.completed == 0 ? 0 : static_cast<double>(all.served) / static_cast<double>(all.completed);
}

size_t TrafficFleet::untrueRefusals() const
{
    return static_cast<size_t>(std::ranges::count_if(
        refusedAtMostOnce_, [&](const std::string& request) { return targets_->runsOfAtMostOnce(request) > 0; }));
}

size_t TrafficFleet::runsOf(const std::string& path) const
{
    return static_cast<size_t>(std::ranges::count(targets_->fatalRuns(), path, &CrashingTargets::FatalRun::path));
}

size_t TrafficFleet::runsAfterThird(const std::string& path) const
{
    constexpr size_t Third = 3;
    size_t runs = 0;
    size_t lateRuns = 0;
    Timestamp third;
    for (const CrashingTargets::FatalRun& run : targets_->fatalRuns()) {
        if (run.path != path)
            continue;
        if (++runs == Third)
            third = run.startedAt;
        lateRuns += runs > Third && run.startedAt > third + ConvergenceTime ? 1 : 0;
    }
    return lateRuns;
}

} // namespace saltvane::fleet::test
