/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/requestjudgement.h"

#include "base/logtext.h"

#include <concepts>
#include <string>
#include <string_view>
#include <xxhash.h>

namespace saltvane::gateway {

namespace {

/// Fields with their lengths, so that different fields never give the same bytes.
class FieldBytes {
public:
    FieldBytes& add(std::string_view text)
    {
        bytes_ += std::to_string(text.size()) + ':';
        bytes_ += text;
        return *this;
    }
    template <std::integral T> FieldBytes& addNumber(T number) { return add(std::to_string(number)); }
    FieldBytes& addNumber(double number) { return add(shortestDecimal(number)); }
    FieldBytes& add(const std::vector<RegionName>& regions)
    {
        addNumber(regions.size());
        for (const RegionName& region : regions)
            add(region.value());
        return *this;
    }
    [[nodiscard]] uint64_t hash() const { return XXH64(bytes_.data(), bytes_.size(), 0); }

private:
    std::string bytes_;
};

uint64_t digestOf(const model::Route& route)
{
    FieldBytes fields;
    fields.add(model::toString(route.kind)).addNumber(route.timeout.count()).addNumber(route.objective.count());
    fields.addNumber(route.rank).addNumber(route.attempts).addNumber(route.isPublic).addNumber(route.hasAffinity);
    fields.add(route.permittedRegions);
    for (const model::ServiceWeight& service : route.services)
        fields.add(service.service.value()).addNumber(service.weight);
    return fields.hash();
}

uint64_t digestOf(const model::ClientAccount& account)
{
    FieldBytes fields;
    fields.add(account.name.value()).addNumber(account.rank.has_value()).addNumber(account.rank.value_or(0));
    fields.addNumber(account.limit.has_value());
    if (account.limit)
        fields.addNumber(account.limit->perSecond).addNumber(account.limit->burst);
    fields.add(account.permittedRegions);
    return fields.hash();
}

} // namespace

RequestJudgement judgementOf(const model::Route* route, const model::ClientAccount* account)
{
    return {.route = route == nullptr ? 0 : digestOf(*route), .account = account == nullptr ? 0 : digestOf(*account)};
}

} // namespace saltvane::gateway
