/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/worktimes.h"

#include <algorithm>
#include <array>

namespace saltvane::gateway {

namespace {

/// Before any answer came, and of a service whose routes have no objective.
constexpr WorkTimes::Times FirstGuess {.first = 150ms, .secondExcess = 175ms, .otherExcess = 350ms, .slowest = 1s};
/// The objective for which this is the first guess. Operators set objectives a little above the work of a warm target,
/// so the guess goes with them.
constexpr Duration ObjectiveOfFirstGuess = 400ms;
constexpr double SlowestDecay = 0.998; ///< By each answer.
constexpr double WeightOfOne = 0.05; ///< Of one answer.
/// Some 100 bytes each; a plan with more routes serves those beyond by their services' times.
constexpr size_t MostRoutes = 1024;

} // namespace

std::string_view toString(Choice choice)
{
    static constexpr std::array<std::string_view, 3> Names {"first", "second", "other"};
    return Names.at(static_cast<size_t>(choice));
}

Duration WorkTimes::Times::of(Choice choice) const
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

void WorkTimes::noteAsked(const ServiceName& service, Duration objective)
{
    if (objective <= Duration::zero() || services_.contains(service))
        return;
    const double factor = toSeconds(objective) / toSeconds(ObjectiveOfFirstGuess);
    const auto scaled = [factor](Duration guess) { return fromSeconds(toSeconds(guess) * factor); };
    services_.emplace(service,
        Times {.first = scaled(FirstGuess.first),
            .secondExcess = scaled(FirstGuess.secondExcess),
            .otherExcess = scaled(FirstGuess.otherExcess),
            .slowest = scaled(FirstGuess.slowest)});
}

WorkTimes::Times WorkTimes::ofService(const ServiceName& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? FirstGuess : found->second;
}

WorkTimes::Times WorkTimes::ofRoute(const ServiceName& service, const model::RouteName& route) const
{
    const auto found = routes_.find({service, route});
    return found == routes_.end() ? ofService(service) : found->second;
}

void WorkTimes::noteSent(const ServiceName& service, Duration work)
{
    Duration& mean = sent_.try_emplace(service, work).first->second;
    mean += fromSeconds(WeightOfOne * toSeconds(work - mean));
}

Duration WorkTimes::sentTo(const ServiceName& service) const
{
    const auto found = sent_.find(service);
    return found == sent_.end() ? ofService(service).first : found->second;
}

void WorkTimes::learn(Times& times, const Sample& sample)
{
    times.slowest = std::max(sample.taken, fromSeconds(toSeconds(times.slowest) * SlowestDecay));
    if (sample.hasWaited)
        return;
    const auto approach
        = [](Duration& learnt, Duration seen) { learnt += fromSeconds(WeightOfOne * toSeconds(seen - learnt)); };
    if (sample.choice == Choice::First)
        return approach(times.first, sample.taken);
    Duration& excess = sample.choice == Choice::Second ? times.secondExcess : times.otherExcess;
    approach(excess, std::max(sample.taken - times.first, Duration::zero()));
}

void WorkTimes::note(const ServiceName& service, const model::RouteName& route, const Sample& sample)
{
    const auto known = routes_.find({service, route});
    if (known != routes_.end())
        learn(known->second, sample);
    else if (routes_.size() < MostRoutes)
        learn(routes_.emplace(std::pair(service, route), ofService(service)).first->second, sample);
    learn(services_.try_emplace(service, FirstGuess).first->second, sample);
}

} // namespace saltvane::gateway
