/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "fatalfleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace saltvane::fleet::test {

namespace {

constexpr Duration Step = 10ms;
/// Paths that many callers ask for; the other requests have one each of their own.
constexpr uint64_t PopularPaths = 24;
constexpr double PopularShare = 0.5;
constexpr Duration StartLimit = 20s;
/// A caller that is not told when to come back.
constexpr double UsualPause = 0.05;
constexpr int StatusOk = 200;

std::string planText()
{
    nlohmann::json plan {
        {"version", 1}, {"services", {{{"name", "quotes"}, {"probe_path", "/health"}, {"connections", 100}}}}};
    for (const char* kind : {"repeatable", "at_most_once"}) {
        const bool isRepeatable = std::string_view(kind) == "repeatable";
        plan["routes"].push_back(
            {{"name", kind}, {"host", "prices.example"}, {"path_prefix", isRepeatable ? "/read/" : "/once/"},
                {"kind", kind}, {"timeout_ms", 3000}, {"objective_ms", 400}, {"attempts", 2}, {"service", "quotes"}});
    }
    return plan.dump();
}

} // namespace

FatalFleet::FatalFleet(
    unsigned int seed, const EndingTargets::Options& targets, const FleetOptions& fleet, const CallerOptions& callers)
    : fleet_(fleet)
    , callers_(callers)
    , random_(seed)
{
    fleet_.onAction = [this](size_t gateway, requests::Action& action) { take(gateway, action); };
    (void)fleet_.runUntil([this] { return fleet_.registries().leader().has_value(); }, StartLimit);
    (void)fleet_.putPlan(0, planText());
    (void)fleet_.runUntil([this] { return fleet_.isPlanEverywhere(1); }, StartLimit);
    targets_ = std::make_unique<EndingTargets>(fleet_, targets, seed + 1);
    fleet_.onStep = [this] { step(); };
    fleet_.run(2s);
    isCalling_ = true;
}

void FatalFleet::addFatalCaller(const std::string& path, Duration period)
{
    fatalCallers_.push_back({.path = path, .period = period, .nextAt = now()});
}

void FatalFleet::run(Duration duration) { fleet_.run(duration); }

void FatalFleet::restartGateway(size_t gateway)
{
    targets_->forgetGateway(gateway);
    fleet_.restartGateway(gateway);
    std::vector<uint64_t> cut;
    for (const auto& [number, open] : tries_) {
        if (open.gateway == gateway && open.outcome.status == 0)
            cut.push_back(number);
    }
    for (const uint64_t number : cut)
        noteOutcome(number);
}

size_t FatalFleet::drawGateway() { return std::uniform_int_distribution<size_t>(0, fleet_.gateways() - 1)(random_); }

void FatalFleet::step()
{
    targets_->step();
    if (!isCalling_)
        return;
    sendHarmless();
    for (FatalCaller& caller : fatalCallers_) {
        if (now() < caller.nextAt)
            continue;
        caller.nextAt = now() + caller.period;
        (void)send(drawGateway(), {.path = caller.path}, false, false);
    }
    std::vector<uint64_t> due;
    std::erase_if(returns_, [&](const Return& one) {
        if (one.at <= now())
            due.push_back(one.number);
        return one.at <= now();
    });
    for (const uint64_t number : due) {
        const Try before = tries_.extract(number).mapped();
        (void)send(drawGateway(), before.request, before.isHarmless, true);
    }
}

void FatalFleet::sendHarmless()
{
    for (harmlessDue_ += callers_.perSecond * toSeconds(Step); harmlessDue_ >= 1; harmlessDue_ -= 1) {
        const bool isPopular = std::bernoulli_distribution(PopularShare)(random_);
        const uint64_t number = ++harmless_;
        const std::string name
            = isPopular ? "popular-" + std::to_string(number % PopularPaths) : std::to_string(number);
        const bool isOnce = !isPopular && number % 3 == 0;
        (void)send(drawGateway(),
            {.path = (isOnce ? "/once/" : "/read/") + name,
                .body = isOnce ? "pay" : "",
                .object = callers_.haveObjects ? name : "",
                .isAtMostOnce = isOnce},
            true, false);
    }
}

uint64_t FatalFleet::ask(size_t gateway, const Request& request) { return send(gateway, request, false, true); }

uint64_t FatalFleet::send(size_t gateway, const Request& request, bool isHarmless, bool isSecond)
{
    const uint64_t number = ++lastNumber_;
    tries_.emplace(
        number, Try {.gateway = gateway, .request = request, .isHarmless = isHarmless, .isSecond = isSecond});
    const requests::HttpHandle handle {number};
    requests::HttpRequestStarted started {.handle = handle,
        .method = request.body.empty() ? "GET" : "POST",
        .path = request.path,
        .headers = {{.name = "Host", .value = "prices.example"},
            {.name = "Saltvane-Request-Id", .value = "try-" + std::to_string(number)},
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

FatalFleet::Outcome FatalFleet::outcomeOf(uint64_t number) const
{
    const auto found = tries_.find(number);
    return found == tries_.end() ? Outcome {} : found->second.outcome;
}

void FatalFleet::take(size_t gateway, const requests::Action& action)
{
    if (targets_ && targets_->take(gateway, action))
        return;
    const auto* response = std::get_if<requests::HttpRespond>(&action);
    const auto found = response == nullptr ? tries_.end() : tries_.find(response->handle.value);
    if (found == tries_.end() || found->second.gateway != gateway)
        return;
    Outcome& outcome = found->second.outcome;
    outcome.status = response->status;
    for (const model::Header& header : response->headers) {
        if (header.name == "Retry-After")
            outcome.retryAfter = std::stod(header.value);
        else if (header.name == "Saltvane-Reason")
            outcome.reason = header.value;
    }
    noteOutcome(response->handle.value);
}

/// Callers try once more, after the time that they are told.
void FatalFleet::noteOutcome(uint64_t number)
{
    Try& ended = tries_.at(number);
    if (ended.isHarmless && ended.outcome.reason == "request-quarantined")
        ++tally_.quarantined;
    const bool isServed = ended.outcome.status == StatusOk;
    const bool mayReturn
        = !ended.isSecond && !isServed && (!ended.request.isAtMostOnce || ended.outcome.retryAfter > 0);
    if (mayReturn) {
        const double pause = ended.outcome.retryAfter > 0 ? std::min(ended.outcome.retryAfter, 1.0) : UsualPause;
        returns_.push_back({.at = now() + fromSeconds(pause), .number = number});
        return;
    }
    if (!ended.isHarmless)
        return;
    ++tally_.asked;
    tally_.served += isServed ? 1 : 0;
    tries_.erase(number);
}

size_t FatalFleet::runsOf(const std::string& path) const
{
    return static_cast<size_t>(std::ranges::count(targets_->fatalRuns(), path, &EndingTargets::FatalRun::path));
}

size_t FatalFleet::runsAfterThird(const std::string& path) const
{
    constexpr size_t Third = 3;
    size_t seen = 0;
    size_t late = 0;
    Timestamp third;
    for (const EndingTargets::FatalRun& run : targets_->fatalRuns()) {
        if (run.path != path)
            continue;
        if (++seen == Third)
            third = run.beganAt;
        late += seen > Third && run.beganAt > third + ContactTime ? 1 : 0;
    }
    return late;
}

} // namespace saltvane::fleet::test
