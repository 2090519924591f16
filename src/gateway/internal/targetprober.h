/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/gatewaytarget.h"
#include "requests/exchangetypes.h"
#include "settings/routedhostsettings.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace saltvane::gateway {

/// Asks targets that broke a request off whether they are still there: one that ended refuses a connection within a
/// round trip, where the next request for it would show that a quarter of a second later on average.
class TargetProber {
public:
    explicit TargetProber(settings::HeaderNames headers)
        : headers_(std::move(headers))
    {
    }

    /// One probe a target at a time. `path`: where its service answers probes; empty: it can't be asked.
    void probe(const GatewayTarget& target, std::string_view path, Timestamp now);

    enum class Finding { Gone, Alive };
    struct Probed {
        model::TargetIncarnation target;
        Finding finding = Finding::Alive;
    };
    /// Whether an event is of a probe, and not of a request.
    [[nodiscard]] static bool isOfProbe(requests::DispatchId dispatch);
    /// What this is the answer to; none where another target answers.
    struct Question {
        model::TargetIncarnation target;
        Timestamp sentAt;
    };
    [[nodiscard]] std::optional<Question> questionOf(const requests::TargetResponseHead& head) const;
    /// None while nothing is known, or nothing will be.
    [[nodiscard]] std::optional<Probed> handle(const requests::TargetEvent& event);
    /// Ends probes that nobody answers.
    void tick(Timestamp now);
    [[nodiscard]] std::vector<requests::Action> takeActions();

private:
    /// Two round trips between the furthest regions, and a slow target's time for the answer.
    static constexpr Duration Limit = 500ms;
    static constexpr size_t MostAtOnce = 64;

    struct Probe {
        model::TargetIncarnation target;
        Timestamp endsAt;
    };

    [[nodiscard]] bool isOfOther(const requests::TargetResponseHead& head, const Probe& probe) const;

    settings::HeaderNames headers_;
    std::map<uint64_t, Probe> probes_; ///< By dispatch: the oldest first.
    uint64_t last_ = 0;
    std::vector<requests::Action> actions_;
};

} // namespace saltvane::gateway
