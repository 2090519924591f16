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

/// Probes targets that lost the connection of a request, to find out whether they have stopped: a stopped target
/// refuses a connection within a round trip, while the next request to it would show that a quarter of a second later
/// on average.
class TargetProber {
public:
    explicit TargetProber(settings::HeaderNames headers)
        : headers_(std::move(headers))
    {
    }

    /// Sends at most one probe to a target at a time. `path`: path at which its service answers probes; without one the
    /// target is not probed.
    void probe(const GatewayTarget& target, std::string_view path, Timestamp now);

    enum class Status { Stopped, Alive };
    struct ProbeResult {
        model::TargetIncarnation target;
        Status status = Status::Alive;
        bool isRefused = false; ///< Stopped, and nothing listens at its address.
    };
    /// Whether an event belongs to a probe and not to a request.
    [[nodiscard]] static bool isProbe(requests::DispatchId dispatch);
    /// The probe that this head answers; none if another target answers.
    struct SentProbe {
        model::TargetIncarnation target;
        Timestamp sentAt;
    };
    [[nodiscard]] std::optional<SentProbe> findSentProbe(const requests::TargetResponseHead& head) const;
    /// The result of the probe, if this event decides it.
    [[nodiscard]] std::optional<ProbeResult> handle(const requests::TargetEvent& event);
    /// Cancels probes that timed out.
    void tick(Timestamp now);
    [[nodiscard]] std::vector<requests::Action> drainActions();

private:
    /// Two round trips between the most distant regions, plus the response time of a slow target.
    static constexpr Duration Timeout = 500ms;
    static constexpr size_t MaxConcurrentProbes = 64;

    struct Probe {
        model::TargetIncarnation target;
        Timestamp timeoutAt;
    };

    [[nodiscard]] bool isFromOtherTarget(const requests::TargetResponseHead& head, const Probe& probe) const;

    settings::HeaderNames headers_;
    std::map<uint64_t, Probe> probes_; ///< By dispatch id, so the oldest is first.
    uint64_t lastProbe_ = 0;
    std::vector<requests::Action> actions_;
};

} // namespace saltvane::gateway
