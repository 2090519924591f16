/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/supersededrules.h"

#include <algorithm>

namespace saltvane::gateway {

namespace {

template <typename Map, typename Key> bool record(Map& rules, const Key& key, LogIndex newerPlan)
{
    const auto [rule, isNew] = rules.try_emplace(key, newerPlan);
    rule->second = std::max(rule->second, newerPlan);
    return isNew;
}

std::string patternOf(const model::Route& route) { return route.host + route.pathPrefix; }

} // namespace

bool SupersededRules::recordRoute(const model::Route& route, LogIndex newerPlan)
{
    return record(routes_, patternOf(route), newerPlan);
}

bool SupersededRules::recordKey(const ClientKeyDigest& key, LogIndex newerPlan)
{
    return record(keys_, key, newerPlan);
}

bool SupersededRules::contains(const model::Route& route, const std::optional<ClientKeyDigest>& key) const
{
    return (!routes_.empty() && routes_.contains(patternOf(route))) || (key && keys_.contains(*key));
}

void SupersededRules::onPlan(LogIndex plan)
{
    const auto isContained = [plan](const auto& rule) { return rule.second <= plan; };
    std::erase_if(routes_, isContained);
    std::erase_if(keys_, isContained);
}

} // namespace saltvane::gateway
