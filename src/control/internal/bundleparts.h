/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/ibundlereplica.h"

#include <deque>
#include <optional>
#include <string>

namespace saltvane::control {

/// Encodes the state in force for transfer: small states are sent unchanged, larger ones compressed and split into
/// parts. For hosts that hold the previous state, the newest is compressed with it as the base: a change of a few
/// routes in a plan of hundreds of kilobytes then takes some hundred bytes. The latest few encoded states are cached,
/// so that a host can finish a transfer after a newer state has come into force.
class BundleParts {
public:
    /// Bytes of a state in one message: 0.07 s on a network link of 4 Mbit/s, the slowest link of the users' gateways
    /// when plans outgrew it. Urgent messages wait behind a plan no longer than this.
    static constexpr size_t PartBytes = 32 * 1024;

    struct Answer {
        uint64_t pull = 0; ///< Number of the answered pull; 0 for a push.
        Duration age {};
    };

    void setInForce(const IBundleReplica::InForce& state);
    /// First message of the state in force, for a host that has the state at `hostPosition`.
    [[nodiscard]] model::Message firstMessage(const LogPosition& hostPosition, const Answer& answer);
    /// As firstMessage, for a host that presumably holds the previous state.
    [[nodiscard]] model::Message firstMessageAfterPrevious(const Answer& answer)
    {
        return firstMessage(previous_.position, answer);
    }
    /// The part at the requested offset; no value if the state is no longer cached or has no such offset.
    [[nodiscard]] std::optional<model::Message> nextMessage(const model::BundlePull& pull, const Answer& answer);

private:
    struct CompressedState {
        LogPosition position;
        BundleVersion version;
        LogPosition base; ///< State that decompression needs; default: none.
        std::string bytes; ///< Compressed.
        uint64_t checksum = 0;
    };

    [[nodiscard]] const CompressedState* find(const LogPosition& position, const LogPosition& base);
    [[nodiscard]] const CompressedState& compressedFor(const LogPosition& hostPosition);
    [[nodiscard]] static model::BundlePart partOf(const CompressedState& cached, uint64_t offset, const Answer& answer);

    IBundleReplica::InForce inForce_;
    IBundleReplica::InForce previous_;
    std::deque<CompressedState> cached_; ///< Least recently requested first.
};

} // namespace saltvane::control
