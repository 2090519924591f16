/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/gatewaytarget.h"

#include <boost/random/mersenne_twister.hpp>

#include <array>
#include <span>
#include <unordered_map>
#include <vector>

namespace saltvane::gateway {

/// Proximity of a target to this gateway.
enum class Proximity : uint8_t { Zone, Region, Remote };
inline constexpr std::array AllProximities {Proximity::Zone, Proximity::Region, Proximity::Remote};

/// Ranks the targets of one service for each object by weighted rendezvous hashing: the probability of ranking highest
/// is proportional to the slots, and when a target is added or removed only its own objects move. The best targets of
/// each object are cached, so that the cost of a request is the same with 30 and with 10,000 targets; adding or
/// removing a target costs some work for each cached object.
class TargetRanking {
public:
    struct Ranked {
        GatewayTarget* target = nullptr;
        double score = 0; ///< The highest is the object's first choice.
    };

    void add(GatewayTarget& target, Proximity proximity);
    void remove(const GatewayTarget& target, Proximity proximity);
    [[nodiscard]] size_t size() const;
    [[nodiscard]] size_t size(Proximity proximity) const;
    /// The best targets for an object, best first, at most Kept; valid until the next call of a non-const function.
    [[nodiscard]] std::span<const Ranked> best(uint64_t object, Proximity proximity);
    /// A random sample of targets, for requests without an object: at most Kept, best first.
    [[nodiscard]] std::vector<Ranked> sample(Proximity proximity, boost::random::mt19937_64& random) const;

    /// Cached targets per object and proximity. Half of an object's targets may be closed or lost before its requests
    /// go to targets that are not among its best.
    static constexpr size_t MaxRanked = 16;

private:
    struct Lists {
        std::array<std::vector<Ranked>, AllProximities.size()> best;
        std::array<bool, AllProximities.size()> isValid {};
    };

    [[nodiscard]] static double scoreOf(const GatewayTarget& target, uint64_t object);
    static void insert(std::vector<Ranked>& list, const Ranked& ranked, bool hasAll);
    void rank(std::vector<Ranked>& list, uint64_t object, Proximity proximity) const;

    std::array<std::vector<GatewayTarget*>, AllProximities.size()> members_;
    std::unordered_map<uint64_t, Lists> objects_;
};

} // namespace saltvane::gateway
