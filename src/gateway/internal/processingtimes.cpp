/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/processingtimes.h"

#include <algorithm>
#include <array>

namespace saltvane::gateway {

namespace {

/// Used before any response was received, and for services whose routes have no objective.
constexpr ProcessingTimes::Times InitialTimes {
    .first = 150ms, .secondExcess = 175ms, .otherExcess = 350ms, .slowest = 1s};
/// The objective that corresponds to these times. Operators set objectives a little above the processing time of a warm
/// target, so the initial times scale with them.
constexpr Duration InitialTimesObjective = 400ms;
constexpr double SlowestDecay = 0.998; ///< Per response.
constexpr double AverageWeight = 0.05; ///< Weight of one response in the moving average.
/// About 100 bytes each; in plans with more routes, the remaining ones use their services' times.
constexpr size_t MaxRoutes = 1024;

} // namespace

std::string_view toString(Choice choice)
{
    static constexpr std::array<std::string_view, 3> Names {"first", "second", "other"};
    return Names.at(static_cast<size_t>(choice));
}

Duration ProcessingTimes::Times::of(Choice choice) const
{
    switch (choice) {
    case Choice::First:
        return first;
    case Choice::Second:
        return first + secondExcess;
    case Choice::Other:
        break;
    }
    return first + otherExcess;
}

void ProcessingTimes::initialize(const ServiceName& service, Duration objective)
{
    if (objective <= Duration::zero() || services_.contains(service))
        return;
    const double factor = toSeconds(objective) / toSeconds(InitialTimesObjective);
    const auto scaled = [factor](Duration initialTime) { return fromSeconds(toSeconds(initialTime) * factor); };
    services_.emplace(service,
        Times {.first = scaled(InitialTimes.first),
            .secondExcess = scaled(InitialTimes.secondExcess),
            .otherExcess = scaled(InitialTimes.otherExcess),
            .slowest = scaled(InitialTimes.slowest)});
}

ProcessingTimes::Times ProcessingTimes::ofService(const ServiceName& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? InitialTimes : found->second;
}

ProcessingTimes::Times ProcessingTimes::ofRoute(const ServiceName& service, const model::RouteName& route) const
{
    const auto found = routes_.find({service, route});
    return found == routes_.end() ? ofService(service) : found->second;
}

void ProcessingTimes::recordSent(const ServiceName& service, Duration processingTime)
{
    Duration& mean = sent_.try_emplace(service, processingTime).first->second;
    mean += fromSeconds(AverageWeight * toSeconds(processingTime - mean));
}

Duration ProcessingTimes::meanOfSent(const ServiceName& service) const
{
    const auto found = sent_.find(service);
    return found == sent_.end() ? ofService(service).first : found->second;
}

void ProcessingTimes::update(Times& times, const Sample& sample)
{
    times.slowest = std::max(sample.duration, fromSeconds(toSeconds(times.slowest) * SlowestDecay));
    if (sample.hasQueued)
        return;
    const auto approach
        = [](Duration& learnt, Duration seen) { learnt += fromSeconds(AverageWeight * toSeconds(seen - learnt)); };
    if (sample.choice == Choice::First)
        return approach(times.first, sample.duration);
    Duration& excess = sample.choice == Choice::Second ? times.secondExcess : times.otherExcess;
    approach(excess, std::max(sample.duration - times.first, Duration::zero()));
}

void ProcessingTimes::record(const ServiceName& service, const model::RouteName& route, const Sample& sample)
{
    if (Times* times = findOrAdd(service, route); times != nullptr)
        update(*times, sample);
    update(services_.try_emplace(service, InitialTimes).first->second, sample);
}

void ProcessingTimes::correct(const ServiceName& service, const model::RouteName& route, Duration first)
{
    if (Times* times = findOrAdd(service, route); times != nullptr)
        times->first = first;
}

ProcessingTimes::Times* ProcessingTimes::findOrAdd(const ServiceName& service, const model::RouteName& route)
{
    const auto known = routes_.find({service, route});
    if (known != routes_.end())
        return &known->second;
    if (routes_.size() >= MaxRoutes)
        return nullptr;
    return &routes_.emplace(std::pair(service, route), ofService(service)).first->second;
}

void ProcessingTimes::recordDelivery(const ServiceName& service, const model::RouteName& route, Duration duration)
{
    auto known = deliveries_.find({service, route});
    if (known == deliveries_.end() && deliveries_.size() >= MaxRoutes)
        return;
    if (known == deliveries_.end())
        known = deliveries_.try_emplace(std::pair(service, route)).first;
    Deliveries& deliveries = known->second;
    deliveries.slowest = std::max(duration, fromSeconds(toSeconds(deliveries.slowest) * SlowestDecay));
    ++deliveries.count;
}

ProcessingTimes::Deliveries ProcessingTimes::deliveriesOf(
    const ServiceName& service, const model::RouteName& route) const
{
    const auto found = deliveries_.find({service, route});
    return found == deliveries_.end() ? Deliveries {} : found->second;
}

} // namespace saltvane::gateway
