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

/// Set in the dispatches of probes, so that they are none of a request's.
constexpr uint64_t ProbeBit = uint64_t {1} << 63U;
constexpr int StatusMisdirected = 421;

} // namespace

bool TargetProber::isOfProbe(requests::DispatchId dispatch) { return (dispatch.value & ProbeBit) != 0; }

void TargetProber::probe(const GatewayTarget& target, std::string_view path, Timestamp now)
{
    const bool isUnderWay
        = std::ranges::any_of(probes_, [&](const auto& one) { return one.second.target == target.start(); });
    // A probe takes a slot as a request does.
    const bool isUnwanted = target.backpressure.limit || now < target.backpressure.closedUntil();
    if (path.empty() || isUnderWay || isUnwanted || probes_.size() >= MostAtOnce)
        return;
    const requests::DispatchId dispatch {ProbeBit | ++last_};
    probes_.emplace(dispatch.value, Probe {.target = target.start(), .endsAt = now + Limit});
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

std::optional<TargetProber::Probed> TargetProber::handle(const requests::TargetEvent& event)
{
    const auto dispatch = std::visit([](const auto& one) { return one.dispatch; }, event);
    const auto found = probes_.find(dispatch.value);
    if (found == probes_.end())
        return std::nullopt;
    const Probe probe = found->second;
    if (const auto* failed = std::get_if<requests::TargetFailed>(&event)) {
        probes_.erase(found);
        // A connection that breaks says nothing: targets refuse connections over their limit that way.
        if (!failed->isRefused)
            return std::nullopt;
        return Probed {.target = probe.target, .finding = Finding::Gone};
    }
    const auto* head = std::get_if<requests::TargetResponseHead>(&event);
    if (head == nullptr)
        return std::nullopt;
    probes_.erase(found);
    actions_.emplace_back(requests::TargetCancel {.dispatch = dispatch});
    return Probed {.target = probe.target, .finding = isOfOther(*head, probe) ? Finding::Gone : Finding::Alive};
}

bool TargetProber::isOfOther(const requests::TargetResponseHead& head, const Probe& probe) const
{
    const std::string_view id = requests::firstFieldValue(head.headers, headers_.targetId);
    return head.status == StatusMisdirected || (!id.empty() && id != probe.target.target.value());
}

std::optional<TargetProber::Question> TargetProber::questionOf(const requests::TargetResponseHead& head) const
{
    const auto found = probes_.find(head.dispatch.value);
    if (found == probes_.end() || isOfOther(head, found->second))
        return std::nullopt;
    return Question {.target = found->second.target, .sentAt = found->second.endsAt - Limit};
}

void TargetProber::tick(Timestamp now)
{
    while (!probes_.empty() && probes_.begin()->second.endsAt <= now) {
        actions_.emplace_back(requests::TargetCancel {.dispatch = {probes_.begin()->first}});
        probes_.erase(probes_.begin());
    }
}

std::vector<requests::Action> TargetProber::takeActions() { return std::exchange(actions_, {}); }

} // namespace saltvane::gateway
