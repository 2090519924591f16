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

/// How near a target is to this gateway.
enum class Nearness : uint8_t { Zone, Region, Away };
inline constexpr std::array AllNearnesses {Nearness::Zone, Nearness::Region, Nearness::Away};

/// The targets of one service in the order in which an object's requests choose among them: weighted rendezvous
/// hashing, the chance to rank highest goes with the slots, and where a target comes or goes only its own objects move.
/// The best of each object are kept, so that a request costs the same at 30 and at 10,000 targets; a target that comes
/// or goes costs some work for each object kept.
class TargetRanking {
public:
    struct Ranked {
        GatewayTarget* target = nullptr;
        double score = 0; ///< The highest is the object's first choice.
    };

    void add(GatewayTarget& target, Nearness nearness);
    void remove(const GatewayTarget& target, Nearness nearness);
    [[nodiscard]] size_t size() const;
    /// The best for an object, best first, at most Kept; valid until the next call of any of these.
    [[nodiscard]] std::span<const Ranked> best(uint64_t object, Nearness nearness);
    /// Some targets by lot, for requests about no object: at most Kept, best first.
    [[nodiscard]] std::vector<Ranked> draw(Nearness nearness, boost::random::mt19937_64& random) const;

    /// Of an object, each nearness. Half of an object's targets may be closed or lost before others take its requests
    /// that it would not rank so high.
    static constexpr size_t Kept = 16;

private:
    struct Lists {
        std::array<std::vector<Ranked>, AllNearnesses.size()> best;
        std::array<bool, AllNearnesses.size()> isValid {};
    };

    [[nodiscard]] static double scoreOf(const GatewayTarget& target, uint64_t object);
    static void insert(std::vector<Ranked>& list, const Ranked& ranked, bool hasAll);
    void rank(std::vector<Ranked>& list, uint64_t object, Nearness nearness) const;

    std::array<std::vector<GatewayTarget*>, AllNearnesses.size()> members_;
    std::unordered_map<uint64_t, Lists> objects_;
};

} // namespace saltvane::gateway
