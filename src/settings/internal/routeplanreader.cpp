/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "settings/routeplanreader.h"

#include "settings/internal/plantext.h"
#include "settings/internal/routeplanfields.h"
#include "settings/routeplanformat.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>
#include <xxhash.h>

namespace saltvane::settings {

namespace {

using Json = nlohmann::json;

/// Items of the plan before among which the next one is looked for first: plans change in few places.
constexpr size_t LookAhead = 8;

std::vector<ServiceName> serviceNamesOf(const model::RoutePlan& plan)
{
    std::vector<ServiceName> names;
    for (const model::RoutedService& service : plan.services)
        names.push_back(service.name);
    return names;
}

} // namespace

/// Finds the items of the plan before by their texts, in whatever order.
template <typename Ref> class RoutePlanReader::Finder {
public:
    explicit Finder(std::span<const Known<Ref>> known)
        : known_(known)
    {
    }

    const Known<Ref>* find(const TextDigest& digest)
    {
        const size_t end = std::min(known_.size(), next_ + LookAhead);
        for (size_t i = next_; i < end; ++i) {
            if (known_[i].digest == digest)
                return take(i);
        }
        if (index_.empty()) {
            for (size_t i = 0; i < known_.size(); ++i)
                index_.emplace(known_[i].digest.first, i);
        }
        const auto found = index_.find(digest.first);
        return found == index_.end() || known_[found->second].digest != digest ? nullptr : take(found->second);
    }

private:
    const Known<Ref>* take(size_t position)
    {
        next_ = position + 1;
        return &known_[position];
    }

    std::span<const Known<Ref>> known_;
    size_t next_ = 0;
    std::unordered_map<uint64_t, size_t> index_; ///< Built where an item isn't found close by.
};

RoutePlanReader::TextDigest RoutePlanReader::digestOf(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return {hash.low64, hash.high64};
}

template <typename Ref, typename ReadItem>
void RoutePlanReader::readList(List<Ref>& list, std::span<const std::string_view> texts, const ReadItem& readItem)
{
    list.fresh.clear();
    list.read.clear();
    list.read.reserve(texts.size());
    Finder<Ref> finder(list.known);
    for (const std::string_view text : texts) {
        const size_t position = list.read.size();
        Known<Ref> known {.digest = digestOf(text)};
        if (const Known<Ref>* before = finder.find(known.digest)) {
            known.item = before->item;
        } else {
            list.fresh.push_back(position);
            const auto prepared = list.prepared.find(known.digest.first);
            const bool isPrepared = prepared != list.prepared.end() && prepared->second.digest == known.digest;
            known.item = isPrepared ? prepared->second.item : readItem(Json::parse(text), position);
        }
        list.read.push_back(std::move(known));
    }
}

/// A plan that is read ahead.
struct RoutePlanReader::Preparation {
    PlanText parts;
    size_t nextRoute = 0;
    size_t nextAccount = 0;
};

RoutePlanReader::RoutePlanReader() = default;
RoutePlanReader::~RoutePlanReader() = default;
RoutePlanReader::RoutePlanReader(RoutePlanReader&&) noexcept = default;
RoutePlanReader& RoutePlanReader::operator=(RoutePlanReader&&) noexcept = default;

void RoutePlanReader::prepare(std::string_view text)
{
    routes_.prepared.clear();
    accounts_.prepared.clear();
    preparation_ = std::make_unique<Preparation>();
    if (std::optional<PlanText> parts = splitPlanText(text))
        preparation_->parts = *std::move(parts);
}

template <typename Ref, typename ReadItem>
size_t RoutePlanReader::prepareList(
    List<Ref>& list, std::span<const std::string_view> texts, size_t& next, size_t items, const ReadItem& readItem)
{
    Finder<Ref> finder(list.known);
    for (; next < texts.size() && items > 0; ++next) {
        const TextDigest digest = digestOf(texts[next]);
        if (finder.find(digest) != nullptr)
            continue;
        --items;
        Findings findings;
        Ref item = readItem(Json::parse(texts[next], nullptr, false), next, findings);
        if (findings.isEmpty()) // What is wrong is told when the plan is read.
            list.prepared.insert_or_assign(digest.first, Known<Ref> {.digest = digest, .item = std::move(item)});
    }
    return items;
}

bool RoutePlanReader::prepareSome(size_t items)
{
    if (!preparation_)
        return true;
    Preparation& now = *preparation_;
    const auto readRoute = [](const Json& json, size_t position, Findings& findings) {
        return model::makeRoute(readPlanRoute(json, position, "plan", findings));
    };
    const auto readAccount = [](const Json& json, size_t position, Findings& findings) {
        return model::makeAccount(readPlanAccount(json, position, "plan", findings));
    };
    items = prepareList(routes_, now.parts.routes, now.nextRoute, items, readRoute);
    items = prepareList(accounts_, now.parts.accounts, now.nextAccount, items, readAccount);
    if (now.nextRoute < now.parts.routes.size() || now.nextAccount < now.parts.accounts.size())
        return false;
    preparation_.reset();
    return true;
}

template <typename Ref> std::vector<Ref> RoutePlanReader::refsOf(std::span<const Known<Ref>> list)
{
    std::vector<Ref> refs;
    refs.reserve(list.size());
    for (const Known<Ref>& known : list)
        refs.push_back(known.item);
    return refs;
}

Result<model::RoutePlan, Findings> RoutePlanReader::read(std::string_view text, const std::string& sourceName)
{
    std::optional<model::RoutePlan> plan = readParts(text, sourceName);
    routes_.prepared.clear();
    accounts_.prepared.clear();
    if (!plan)
        return parseRoutePlan(text, sourceName); // Tells all that is wrong, with its places.
    const std::vector<ServiceName> services = serviceNamesOf(*plan);
    const bool mustCheckAll = services != services_;
    Findings findings = mustCheckAll
        ? model::checkRoutePlan(*plan, sourceName)
        : model::checkRoutePlan(
            *plan, {.routes = routes_.fresh, .areAccountsChecked = !accounts_.isSame()}, sourceName);
    if (!findings.isEmpty())
        return findings;
    routes_.known = std::move(routes_.read);
    accounts_.known = std::move(accounts_.read);
    services_ = services;
    return *std::move(plan);
}

std::optional<std::vector<model::AccountRef>> RoutePlanReader::readAccounts(std::string_view text)
{
    const std::optional<PlanText> parts = splitPlanText(text);
    if (!parts)
        return std::nullopt;
    Findings findings;
    try {
        readList(accounts_, parts->accounts, [&](const Json& json, size_t position) {
            return model::makeAccount(readPlanAccount(json, position, "plan", findings));
        });
    } catch (const Json::exception&) {
        return std::nullopt;
    }
    if (!findings.isEmpty())
        return std::nullopt;
    std::vector<model::AccountRef> accounts = refsOf<model::AccountRef>(accounts_.read);
    accounts_.known = std::move(accounts_.read);
    return accounts;
}

std::optional<model::RoutePlan> RoutePlanReader::readParts(std::string_view text, const std::string& sourceName)
{
    const std::optional<PlanText> parts = splitPlanText(text);
    if (!parts)
        return std::nullopt;
    Findings findings;
    try {
        model::RoutePlan plan = readPlanFields(Json::parse(parts->rest), sourceName, findings);
        readList(routes_, parts->routes, [&](const Json& json, size_t position) {
            return model::makeRoute(readPlanRoute(json, position, sourceName, findings));
        });
        readList(accounts_, parts->accounts, [&](const Json& json, size_t position) {
            return model::makeAccount(readPlanAccount(json, position, sourceName, findings));
        });
        if (!findings.isEmpty())
            return std::nullopt;
        plan.routes = refsOf<model::RouteRef>(routes_.read);
        plan.accounts = refsOf<model::AccountRef>(accounts_.read);
        return plan;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace saltvane::settings
