/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/result.h"
#include "model/routeplan.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace saltvane::settings {

/// Reads one route plan after the other, with the same results as parseRoutePlan. Routes and client accounts whose text
/// did not change are taken over from the plan before: a change costs what it changes, and a look over the text. Read
/// whole, a plan of 19,000 routes takes 0.1 s of a core, which is a second of a host that has a tenth of one.
class RoutePlanReader {
public:
    RoutePlanReader();
    ~RoutePlanReader();
    RoutePlanReader(RoutePlanReader&&) noexcept;
    RoutePlanReader& operator=(RoutePlanReader&&) noexcept;

    /// The client accounts alone; none where the text can't be taken apart or one of them is not as it should be.
    [[nodiscard]] std::optional<std::vector<model::AccountRef>> readAccounts(std::string_view text);
    [[nodiscard]] Result<model::RoutePlan, Findings> read(std::string_view text, const std::string& sourceName);
    /// Takes a plan apart to be read in parts ahead of read(), which then only looks it through. One at a time; the
    /// text stays where it is until prepareSome() has told its end.
    void prepare(std::string_view text);
    /// Reads so many of its new routes and accounts; true: nothing is left to be read ahead.
    [[nodiscard]] bool prepareSome(size_t items);

    /// Of the last plan: routes that the one before did not have.
    [[nodiscard]] size_t newRoutes() const { return routes_.fresh.size(); }
    /// The same of client accounts.
    [[nodiscard]] size_t newAccounts() const { return accounts_.fresh.size(); }

private:
    using TextDigest = std::pair<uint64_t, uint64_t>;
    template <typename Ref> struct Known {
        TextDigest digest;
        Ref item;
    };
    /// A list of the plan whose items are known by their texts.
    template <typename Ref> struct List {
        std::vector<Known<Ref>> known; ///< Of the last plan that had no findings, in its order.
        std::vector<Known<Ref>> read; ///< Of the plan that is being read.
        std::vector<size_t> fresh; ///< Positions in it of items that are not known.
        std::unordered_map<uint64_t, Known<Ref>> prepared; ///< Read ahead, by the first half of their digests.
        [[nodiscard]] bool isSame() const
        {
            return std::ranges::equal(read, known, {}, &Known<Ref>::item, &Known<Ref>::item);
        }
    };
    template <typename Ref> class Finder;
    struct Preparation;

    [[nodiscard]] static TextDigest digestOf(std::string_view text);
    template <typename Ref> [[nodiscard]] static std::vector<Ref> refsOf(std::span<const Known<Ref>> list);
    /// `readItem` reads one whose text is not known, at its position.
    template <typename Ref, typename ReadItem>
    static void readList(List<Ref>& list, std::span<const std::string_view> texts, const ReadItem& readItem);
    /// None where anything is wrong.
    [[nodiscard]] std::optional<model::RoutePlan> readParts(std::string_view text, const std::string& sourceName);

    /// Reads ahead up to so many items from `next` on; gives how many are left of that number.
    template <typename Ref, typename ReadItem>
    static size_t prepareList(
        List<Ref>& list, std::span<const std::string_view> texts, size_t& next, size_t items, const ReadItem& readItem);

    std::unique_ptr<Preparation> preparation_;
    List<model::RouteRef> routes_;
    List<model::AccountRef> accounts_;
    std::vector<ServiceName> services_; ///< Of the last plan that had no findings.
};

} // namespace saltvane::settings
