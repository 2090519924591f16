/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/routeplan.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace saltvane::model {

namespace {

/// An objective that exceeds the timeout by this much can only be a typing mistake.
constexpr Duration MaxObjectiveExcess = 60s;

class PlanChecker {
public:
    PlanChecker(const RoutePlan& plan, const std::string& source)
        : plan_(plan)
        , source_(source)
    {
    }

    Findings check(const PlanCheckScope& scope)
    {
        checkServices();
        if (scope.includesAccounts)
            checkAccounts();
        for (const size_t position : scope.routes)
            checkRoute(plan_.routes[position]->route, "routes[" + std::to_string(position) + "]");
        return std::move(findings_);
    }

private:
    void addFinding(std::string field, std::string message)
    {
        findings_.add({.location = {.source = source_}, .field = std::move(field), .message = std::move(message)});
    }

    void checkServices()
    {
        for (size_t i = 0; i < plan_.services.size(); ++i) {
            if (plan_.services[i].name.isEmpty())
                addFinding("services[" + std::to_string(i) + "].name", "must not be empty");
        }
    }

    void checkAccounts()
    {
        std::unordered_set<std::string_view> names;
        std::unordered_map<std::string_view, size_t> keyHolders; ///< Index of the account that has the key.
        for (size_t i = 0; i < plan_.accounts.size(); ++i) {
            const ClientAccount& account = plan_.accounts[i]->account;
            const std::string field = "client_accounts[" + std::to_string(i) + "]";
            if (account.name.isEmpty())
                addFinding(field + ".name", "must not be empty");
            else if (!names.insert(account.name.value()).second)
                addFinding(field + ".name", "another account has this name: '" + account.name.value() + "'");
            for (const std::string& key : account.keys)
                checkKey(key, i, keyHolders, field + ".keys");
        }
    }

    /// The key itself is never part of a finding, because findings are logged and displayed.
    void checkKey(const std::string& key, size_t account, std::unordered_map<std::string_view, size_t>& keyHolders,
        const std::string& field)
    {
        if (key.empty())
            return addFinding(field, "must not hold an empty key");
        const auto [holder, isNew] = keyHolders.try_emplace(key, account);
        if (!isNew && holder->second != account)
            addFinding(field, "client_accounts[" + std::to_string(holder->second) + "] has one of these keys too");
    }

    void checkRoute(const Route& route, const std::string& field)
    {
        if (route.attempts == 0)
            addFinding(field + ".attempts", "must be at least 1");
        if (route.objective >= route.timeout + MaxObjectiveExcess)
            addFinding(field + ".objective_ms", "exceeds timeout_ms by a minute or more");
        checkWeights(route, field);
    }

    void checkWeights(const Route& route, const std::string& field)
    {
        double sum = 0;
        for (const ServiceWeight& item : route.services) {
            if (plan_.findService(item.service) == nullptr)
                addFinding(field + ".service", "no such service: '" + item.service.value() + "'");
            if (!std::isfinite(item.weight) || item.weight < 0)
                addFinding(field + ".split", "a weight must be a number that is not negative");
            else
                sum += item.weight;
        }
        if (sum <= 0)
            addFinding(field + ".split", "the weights sum to 0");
    }

    const RoutePlan& plan_;
    const std::string& source_;
    Findings findings_;
};

} // namespace

std::string_view toString(RouteKind kind)
{
    static constexpr std::array<std::string_view, 3> Names {"repeatable", "at_most_once", "large_read"};
    return Names.at(static_cast<size_t>(kind));
}

const RoutedService* RoutePlan::findService(const ServiceName& name) const
{
    const auto found = std::ranges::find(services, name, &RoutedService::name);
    return found == services.end() ? nullptr : &*found;
}

Findings checkRoutePlan(const RoutePlan& plan, const std::string& source)
{
    std::vector<size_t> all(plan.routes.size());
    std::iota(all.begin(), all.end(), size_t {0});
    return checkRoutePlan(plan, {.routes = all}, source);
}

Findings checkRoutePlan(const RoutePlan& plan, const PlanCheckScope& scope, const std::string& source)
{
    return PlanChecker(plan, source).check(scope);
}

} // namespace saltvane::model
