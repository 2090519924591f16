/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "endingtargets.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace saltvane::fleet::test {

namespace {

constexpr std::array<const char*, 3> Zones {"north-a", "south-a", "west-a"};
constexpr Duration ReportPeriod = 1s;
/// A caller's try to connect where nothing answers.
constexpr Duration ConnectLimit = 500ms;
constexpr int StatusOk = 200;
constexpr int StatusMisdirected = 421;
constexpr int StatusFull = 503;

std::string_view headerOf(const requests::TargetStart& start, std::string_view name)
{
    const auto found = std::ranges::find_if(
        start.headers, [&](const model::Header& header) { return model::isSameFieldName(header.name, name); });
    return found == start.headers.end() ? std::string_view() : std::string_view(found->value);
}

} // namespace

EndingTargets::EndingTargets(Fleet& fleet, const Options& options, unsigned int seed)
    : fleet_(fleet)
    , options_(options)
    , random_(seed)
    , targets_(options.count)
{
    uint16_t port = 9000;
    for (size_t number = 0; number < targets_.size(); ++number) {
        targets_[number].address = {.ip = "10.9.0.1", .port = ++port};
        targets_[number].zone = Zones.at(number % Zones.size());
        start(targets_[number]);
    }
}

void EndingTargets::start(Target& target)
{
    target.start = ++starts_;
    const bool isNewId = !options_.keepsId || target.id.empty();
    if (isNewId)
        target.id = "t-" + std::to_string(target.address.port) + "-" + std::to_string(target.start);
    target.isUp = true;
    target.sequence = 0;
    target.nextReportAt = now();
}

void EndingTargets::report(Target& target)
{
    target.nextReportAt = now() + ReportPeriod;
    nlohmann::json body {{"service", "quotes"}, {"address", toString(target.address)}, {"zone", target.zone},
        {"version", "v1"}, {"slots", options_.slots}, {"state", "ready"}, {"slow_start_left_ms", 0},
        {"sequence", ++target.sequence}};
    if (options_.keepsId)
        body["started_ms"] = target.start;
    const std::optional<size_t> leader = fleet_.registries().leader();
    if (leader)
        fleet_.registries().post(*leader, "/v1/targets/" + target.id + "/heartbeat", body.dump());
}

void EndingTargets::tell(size_t gateway, requests::TargetEvent event, Duration after)
{
    late_.push_back({.at = now() + after, .gateway = gateway, .event = std::move(event)});
}

bool EndingTargets::take(size_t gateway, const requests::Action& action)
{
    if (const auto* start = std::get_if<requests::TargetStart>(&action)) {
        accept(gateway, *start);
        return true;
    }
    const auto* cancel = std::get_if<requests::TargetCancel>(&action);
    if (cancel == nullptr)
        return false;
    const auto isCancelled
        = [&](const auto& one) { return one.gateway == gateway && one.dispatch == cancel->dispatch; };
    for (Target& target : targets_)
        std::erase_if(target.runs, isCancelled);
    std::erase_if(late_, [&](const Late& late) {
        return late.gateway == gateway
            && std::visit([&](const auto& event) { return event.dispatch == cancel->dispatch; }, late.event);
    });
    return true;
}

void EndingTargets::forgetGateway(size_t gateway)
{
    for (Target& target : targets_)
        std::erase_if(target.runs, [&](const Run& run) { return run.gateway == gateway; });
    std::erase_if(late_, [&](const Late& late) { return late.gateway == gateway; });
}

void EndingTargets::accept(size_t gateway, const requests::TargetStart& start)
{
    const auto found = std::ranges::find(targets_, start.address, &Target::address);
    if (found == targets_.end() || !found->isUp) {
        const requests::TargetFailed refused {.dispatch = start.dispatch,
            .mayHaveReachedTarget = false,
            .message = "no connection",
            .isRefused = !options_.isSilent};
        return tell(gateway, refused, options_.isSilent ? ConnectLimit : 10ms);
    }
    Target& target = *found;
    Run run {.gateway = gateway,
        .dispatch = start.dispatch,
        .id = std::string(headerOf(start, "Saltvane-Request-Id")),
        .isFatal = !isHarmless_ && start.path.find(FatalMark) != std::string::npos,
        .isProbe = start.path == "/health",
        .path = std::string(headerOf(start, "Saltvane-Client-Account")) + start.path};
    for (const auto& observer : onArrival)
        observer(contactOf(target, run));
    if (headerOf(start, "Saltvane-Expect-Target") != target.id)
        return answer(target, run, StatusMisdirected, false);
    if (target.needs.rest)
        return answer(target, run, StatusFull, true);
    if (run.isProbe)
        return answer(target, run, StatusOk, false);
    if (target.runs.size() >= options_.slots + options_.queue)
        return answer(target, run, StatusFull, true);
    target.runs.push_back(std::move(run));
}

void EndingTargets::setNeeds(size_t target, const Needs& needs) { targets_.at(target).needs = needs; }

EndingTargets::Contact EndingTargets::contactOf(const Target& target, const Run& run) const
{
    return {.target = static_cast<size_t>(&target - targets_.data()),
        .start = target.id,
        .gateway = run.gateway,
        .isProbe = run.isProbe};
}

void EndingTargets::answer(const Target& target, const Run& run, int status, bool isNotRun)
{
    requests::TargetResponseHead head {.dispatch = run.dispatch,
        .status = status,
        .headers = {{.name = "Saltvane-Request-Id", .value = run.id},
            {.name = "Saltvane-Load",
                .value = std::to_string(std::min<size_t>(target.runs.size(), options_.slots)) + ",0,"
                    + std::to_string(options_.slots)}},
        .bodyLength = 0};
    if (isNotRun)
        head.headers.push_back({.name = "Saltvane-Not-Run", .value = "1"});
    if (target.needs.rest && status == StatusFull)
        head.headers.push_back({.name = "Retry-After", .value = std::to_string(toSeconds(*target.needs.rest))});
    if (target.needs.isLeaving)
        head.headers.push_back({.name = "Saltvane-Leaving", .value = "1"});
    if (target.needs.limit)
        head.headers.push_back({.name = "Saltvane-Limit", .value = std::to_string(*target.needs.limit)});
    tell(run.gateway, std::move(head));
    late_.back().answer = {contactOf(target, run), target.needs};
    tell(run.gateway, requests::TargetResponseDone {.dispatch = run.dispatch});
}

void EndingTargets::beginRuns(Target& target)
{
    std::uniform_int_distribution<int64_t> work(options_.workLeast.count(), options_.workMost.count());
    const size_t working = std::min<size_t>(target.runs.size(), options_.slots);
    for (size_t i = 0; i < working; ++i) {
        Run& run = target.runs[i];
        if (std::exchange(run.hasBegun, true))
            continue;
        run.endsAt = now() + Duration(work(random_));
        if (run.isFatal)
            fatalRuns_.push_back({.path = run.path, .beganAt = now(), .gateway = run.gateway});
    }
}

void EndingTargets::endRuns(Target& target)
{
    const auto isDue = [&](const Run& run) { return run.hasBegun && run.endsAt <= now(); };
    if (std::ranges::any_of(target.runs, [&](const Run& run) { return isDue(run) && run.isFatal; }))
        return end(target);
    for (const Run& run : target.runs) {
        if (isDue(run))
            answer(target, run, StatusOk, false);
    }
    std::erase_if(target.runs, isDue);
}

void EndingTargets::end(size_t target)
{
    if (targets_.at(target).isUp)
        end(targets_[target]);
}

void EndingTargets::end(Target& target)
{
    target.isUp = false;
    target.upAt = now() + options_.downFor;
    // Where a connection had carried a request before, a new one is tried at once, and refused.
    std::bernoulli_distribution wasReused(0.5);
    for (const Run& run : target.runs) {
        if (!options_.isSilent)
            tell(run.gateway,
                requests::TargetFailed {
                    .dispatch = run.dispatch, .message = "connection closed", .isRefused = wasReused(random_)});
    }
    target.runs.clear();
}

void EndingTargets::step()
{
    for (Target& target : targets_) {
        if (!target.isUp && now() >= target.upAt)
            start(target);
        if (!target.isUp)
            continue;
        endRuns(target);
        beginRuns(target);
        if (target.isUp && now() >= target.nextReportAt)
            report(target);
    }
    std::vector<Late> due;
    std::erase_if(late_, [&](Late& late) {
        if (late.at > now())
            return false;
        due.push_back(std::move(late));
        return true;
    });
    for (Late& late : due) {
        if (late.answer) {
            for (const auto& observer : onAnswered)
                observer(late.answer->first, late.answer->second);
        }
        fleet_.handle(late.gateway, std::move(late.event));
    }
}

} // namespace saltvane::fleet::test
