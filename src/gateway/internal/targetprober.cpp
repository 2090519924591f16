/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/targetprober.h"

#include "requests/headerfilter.h"

#include <algorithm>
#include <utility>

namespace saltvane::gateway {

namespace {

/// Set in the dispatch ids of probes, to distinguish them from those of requests.
constexpr uint64_t ProbeBit = uint64_t {1} << 63U;
constexpr int StatusMisdirected = 421;

} // namespace

bool TargetProber::isProbe(requests::DispatchId dispatch) { return (dispatch.value & ProbeBit) != 0; }

void TargetProber::probe(const GatewayTarget& target, std::string_view path, Timestamp now)
{
    const bool isInProgress = std::ranges::any_of(
        probes_, [&](const auto& item) { return item.second.target == target.targetIncarnation(); });
    // A probe occupies a slot as a request does.
    const bool isDisallowed = target.backpressure.limit || now < target.backpressure.unavailableUntil();
    if (path.empty() || isInProgress || isDisallowed || probes_.size() >= MaxConcurrentProbes)
        return;
    const requests::DispatchId dispatch {ProbeBit | ++lastProbe_};
    probes_.emplace(dispatch.value, Probe {.target = target.targetIncarnation(), .timeoutAt = now + Timeout});
    actions_.emplace_back(requests::TargetStart {.dispatch = dispatch,
        .target = target.id(),
        .address = target.record.address,
        .method = "GET",
        .path = std::string(path),
        .headers = {{.name = "Host", .value = toString(target.record.address)},
            {.name = headers_.expectedTarget, .value = target.id().value()}},
        .bodyLength = 0,
        .isRepeatable = true,
        .needsNewConnection = true});
}

std::optional<TargetProber::ProbeResult> TargetProber::handle(const requests::TargetEvent& event)
{
    const auto dispatch = std::visit([](const auto& item) { return item.dispatch; }, event);
    const auto found = probes_.find(dispatch.value);
    if (found == probes_.end())
        return std::nullopt;
    const Probe probe = found->second;
    if (const auto* failed = std::get_if<requests::TargetFailed>(&event)) {
        probes_.erase(found);
        // A lost connection says nothing: targets close connections beyond their limit this way.
        if (!failed->isRefused)
            return std::nullopt;
        return ProbeResult {.target = probe.target, .status = Status::Stopped, .isRefused = true};
    }
    const auto* head = std::get_if<requests::TargetResponseHead>(&event);
    if (head == nullptr)
        return std::nullopt;
    probes_.erase(found);
    actions_.emplace_back(requests::TargetCancel {.dispatch = dispatch});
    return ProbeResult {
        .target = probe.target, .status = isFromOtherTarget(*head, probe) ? Status::Stopped : Status::Alive};
}

bool TargetProber::isFromOtherTarget(const requests::TargetResponseHead& head, const Probe& probe) const
{
    const std::string_view id = requests::firstFieldValue(head.headers, headers_.targetId);
    return head.status == StatusMisdirected || (!id.empty() && id != probe.target.target.value());
}

std::optional<TargetProber::SentProbe> TargetProber::findSentProbe(const requests::TargetResponseHead& head) const
{
    const auto found = probes_.find(head.dispatch.value);
    if (found == probes_.end() || isFromOtherTarget(head, found->second))
        return std::nullopt;
    return SentProbe {.target = found->second.target, .sentAt = found->second.timeoutAt - Timeout};
}

void TargetProber::tick(Timestamp now)
{
    while (!probes_.empty() && probes_.begin()->second.timeoutAt <= now) {
        actions_.emplace_back(requests::TargetCancel {.dispatch = {probes_.begin()->first}});
        probes_.erase(probes_.begin());
    }
}

std::vector<requests::Action> TargetProber::drainActions() { return std::exchange(actions_, {}); }

} // namespace saltvane::gateway
