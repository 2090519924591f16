/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/ibundleholder.h"

#include <deque>
#include <optional>
#include <string>

namespace saltvane::control {

/// States in force as they go to hosts that lack them: as they are where they are small, else compressed and cut into
/// parts. The newest is compressed against the one before for hosts that hold that, which makes some hundred bytes of a
/// change of few routes in a plan of hundreds of kilobytes. The last few are kept, so that a host that has begun to
/// fetch one can finish while newer ones come.
class BundleParts {
public:
    /// Bytes of a state sent at a time: 0.07 s of a network link of 4 Mbit/s, the narrowest that the users' gateways
    /// had when plans grew over it. What is urgent waits so long at most behind a plan.
    static constexpr size_t PartBytes = 32 * 1024;

    struct Answer {
        uint64_t pull = 0; ///< Number of the pull that is answered; 0: none.
        Duration age {};
    };

    void setInForce(const IBundleHolder::InForce& state);
    /// The state in force from its beginning, as far as one message goes, for a host that holds the one at `held`.
    [[nodiscard]] model::Message first(const LogPosition& held, const Answer& answer);
    /// As first, for a host that is believed to hold the state before.
    [[nodiscard]] model::Message firstAfterLast(const Answer& answer) { return first(last_.position, answer); }
    /// A further part; none where the state isn't kept any more or has no such offset.
    [[nodiscard]] std::optional<model::Message> next(const model::BundlePull& pull, const Answer& answer);

private:
    struct Kept {
        LogPosition position;
        BundleVersion version;
        LogPosition base; ///< None: the bytes stand alone.
        std::string bytes; ///< Compressed.
        uint64_t checksum = 0;
    };

    [[nodiscard]] const Kept* find(const LogPosition& position, const LogPosition& base);
    [[nodiscard]] const Kept& compressedFor(const LogPosition& held);
    [[nodiscard]] static model::BundlePart partOf(const Kept& kept, uint64_t offset, const Answer& answer);

    IBundleHolder::InForce inForce_;
    IBundleHolder::InForce last_; ///< The one before.
    std::deque<Kept> kept_; ///< Least lately asked for first.
};

} // namespace saltvane::control
