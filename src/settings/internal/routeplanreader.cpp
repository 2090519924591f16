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

/// How many items of the previous plan are searched for the next item before the index is used: successive plans differ
/// in few places, so most items are found here.
constexpr size_t LookAhead = 8;

std::vector<ServiceName> serviceNamesOf(const model::RoutePlan& plan)
{
    std::vector<ServiceName> names;
    for (const model::RoutedService& service : plan.services)
        names.push_back(service.name);
    return names;
}

} // namespace

/// Finds items of the previous plan by the digests of their texts, in any order.
template <typename Ref> class RoutePlanReader::CachedItemFinder {
public:
    explicit CachedItemFinder(std::span<const Cached<Ref>> cached)
        : cached_(cached)
    {
    }

    const Cached<Ref>* find(const TextDigest& digest)
    {
        const size_t end = std::min(cached_.size(), next_ + LookAhead);
        for (size_t i = next_; i < end; ++i) {
            if (cached_[i].digest == digest)
                return advanceTo(i);
        }
        if (index_.empty()) {
            for (size_t i = 0; i < cached_.size(); ++i)
                index_.emplace(cached_[i].digest.first, i);
        }
        const auto found = index_.find(digest.first);
        return found == index_.end() || cached_[found->second].digest != digest ? nullptr : advanceTo(found->second);
    }

private:
    const Cached<Ref>* advanceTo(size_t position)
    {
        next_ = position + 1;
        return &cached_[position];
    }

    std::span<const Cached<Ref>> cached_;
    size_t next_ = 0;
    /// By the first half of the digest; built when an item is first not found among the next LookAhead ones.
    std::unordered_map<uint64_t, size_t> index_;
};

RoutePlanReader::TextDigest RoutePlanReader::digestOf(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return {hash.low64, hash.high64};
}

template <typename Ref, typename ReadItem>
void RoutePlanReader::readList(List<Ref>& list, std::span<const std::string_view> texts, const ReadItem& readItem)
{
    list.added.clear();
    list.read.clear();
    list.read.reserve(texts.size());
    CachedItemFinder<Ref> finder(list.cached);
    for (const std::string_view text : texts) {
        const size_t position = list.read.size();
        Cached<Ref> current {.digest = digestOf(text)};
        if (const Cached<Ref>* cachedItem = finder.find(current.digest)) {
            current.item = cachedItem->item;
        } else {
            list.added.push_back(position);
            const auto ahead = list.itemsReadAhead.find(current.digest.first);
            const bool isReadAhead = ahead != list.itemsReadAhead.end() && ahead->second.digest == current.digest;
            current.item = isReadAhead ? ahead->second.item : readItem(Json::parse(text), position);
        }
        list.read.push_back(std::move(current));
    }
}

/// Progress of a plan that is being read ahead.
struct RoutePlanReader::ReadAheadState {
    PlanText parts;
    size_t nextRoute = 0;
    size_t nextAccount = 0;
};

RoutePlanReader::RoutePlanReader() = default;
RoutePlanReader::~RoutePlanReader() = default;
RoutePlanReader::RoutePlanReader(RoutePlanReader&&) noexcept = default;
RoutePlanReader& RoutePlanReader::operator=(RoutePlanReader&&) noexcept = default;

void RoutePlanReader::startReadAhead(std::string_view text)
{
    routes_.itemsReadAhead.clear();
    accounts_.itemsReadAhead.clear();
    readAheadState_ = std::make_unique<ReadAheadState>();
    if (std::optional<PlanText> parts = splitPlanText(text))
        readAheadState_->parts = *std::move(parts);
}

template <typename Ref, typename ReadItem>
size_t RoutePlanReader::readListAhead(
    List<Ref>& list, std::span<const std::string_view> texts, size_t& next, size_t items, const ReadItem& readItem)
{
    CachedItemFinder<Ref> finder(list.cached);
    for (; next < texts.size() && items > 0; ++next) {
        const TextDigest digest = digestOf(texts[next]);
        if (finder.find(digest) != nullptr)
            continue;
        --items;
        Findings findings;
        Ref item = readItem(Json::parse(texts[next], nullptr, false), next, findings);
        if (findings.isEmpty()) // Findings are reported when the plan is read.
            list.itemsReadAhead.insert_or_assign(digest.first, Cached<Ref> {.digest = digest, .item = std::move(item)});
    }
    return items;
}

bool RoutePlanReader::readAhead(size_t items)
{
    if (!readAheadState_)
        return true;
    ReadAheadState& state = *readAheadState_;
    const auto readRoute = [](const Json& json, size_t position, Findings& findings) {
        return model::makeRoute(readPlanRoute(json, position, "plan", findings));
    };
    const auto readAccount = [](const Json& json, size_t position, Findings& findings) {
        return model::makeAccount(readPlanAccount(json, position, "plan", findings));
    };
    items = readListAhead(routes_, state.parts.routes, state.nextRoute, items, readRoute);
    items = readListAhead(accounts_, state.parts.accounts, state.nextAccount, items, readAccount);
    if (state.nextRoute < state.parts.routes.size() || state.nextAccount < state.parts.accounts.size())
        return false;
    readAheadState_.reset();
    return true;
}

template <typename Ref> std::vector<Ref> RoutePlanReader::refsOf(std::span<const Cached<Ref>> list)
{
    std::vector<Ref> refs;
    refs.reserve(list.size());
    for (const Cached<Ref>& cached : list)
        refs.push_back(cached.item);
    return refs;
}

Result<model::RoutePlan, Findings> RoutePlanReader::read(std::string_view text, const std::string& sourceName)
{
    std::optional<model::RoutePlan> plan = readParts(text, sourceName);
    routes_.itemsReadAhead.clear();
    accounts_.itemsReadAhead.clear();
    if (!plan)
        return parseRoutePlan(text, sourceName); // Reports all findings with their locations.
    const std::vector<ServiceName> services = serviceNamesOf(*plan);
    const bool mustCheckAll = services != services_;
    Findings findings = mustCheckAll
        ? model::checkRoutePlan(*plan, sourceName)
        : model::checkRoutePlan(*plan, {.routes = routes_.added, .includesAccounts = !accounts_.isSame()}, sourceName);
    if (!findings.isEmpty())
        return findings;
    routes_.cached = std::move(routes_.read);
    accounts_.cached = std::move(accounts_.read);
    services_ = services;
    return *std::move(plan);
}

std::optional<model::RoutePlan> RoutePlanReader::readWithoutRoutes(std::string_view text)
{
    const std::optional<PlanText> parts = splitPlanText(text);
    if (!parts)
        return std::nullopt;
    Findings findings;
    model::RoutePlan plan;
    try {
        plan = readPlanFields(Json::parse(parts->remainder), "plan", findings);
        readList(accounts_, parts->accounts, [&](const Json& json, size_t position) {
            return model::makeAccount(readPlanAccount(json, position, "plan", findings));
        });
    } catch (const Json::exception&) {
        return std::nullopt;
    }
    if (!findings.isEmpty())
        return std::nullopt;
    plan.accounts = refsOf<model::AccountRef>(accounts_.read);
    accounts_.cached = std::move(accounts_.read);
    return plan;
}

std::optional<model::RoutePlan> RoutePlanReader::readParts(std::string_view text, const std::string& sourceName)
{
    const std::optional<PlanText> parts = splitPlanText(text);
    if (!parts)
        return std::nullopt;
    Findings findings;
    try {
        model::RoutePlan plan = readPlanFields(Json::parse(parts->remainder), sourceName, findings);
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
