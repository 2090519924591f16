/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/suspectrelay.h"

#include <utility>

namespace saltvane::registry {

namespace {

/// A request takes at most 200 bytes; a report must fit in a frame.
constexpr size_t MaxRequestsPerReport = 256;
constexpr size_t MinFailuresToForward = 2;
/// On the disk. When a third of all targets fail at once, many requests have two failures by coincidence.
constexpr size_t MaxUnconfirmedKept = 256;

} // namespace

SuspectRelay::SuspectRelay()
    : table_(membership::SuspectTable::Limits {})
    , outbox_({.perSecond = ForwardedPerSecond, .burst = ForwardBurst})
{
}

void SuspectRelay::record(std::span<const model::SuspectRequest> reported, Timestamp now)
{
    for (const model::SuspectRequest& reportedRequest : reported) {
        if (!table_.merge(reportedRequest, now))
            continue;
        const bool isRepeated = table_.isBlamed(reportedRequest.digest)
            || table_.consecutiveFailures(reportedRequest.digest) >= MinFailuresToForward;
        if (isRepeated)
            forwarded_.insert(reportedRequest.digest);
        // Receivers of its failures must also learn that they are void.
        if (isRepeated || forwarded_.contains(reportedRequest.digest)) {
            outbox_.add(reportedRequest.digest, table_);
            ++unconfirmedChanges_;
        }
    }
    for (const model::RequestDigest& digest : table_.drainCleared())
        outbox_.add(digest, table_);
}

void SuspectRelay::tick(Timestamp now)
{
    table_.expire(now);
    if (forwarded_.size() > table_.size())
        std::erase_if(forwarded_, [&](const model::RequestDigest& digest) { return !table_.updateFor(digest, now); });
}

SuspectRelay::Updates SuspectRelay::drainUpdates(Timestamp now)
{
    Updates updates;
    if (outbox_.isEmpty())
        return updates;
    for (model::SuspectRequest& request : outbox_.drain(table_, now)) {
        model::SuspectReport& report = request.isBlamed ? updates.verdicts : updates.unconfirmed;
        report.requests.push_back(std::move(request));
    }
    return updates;
}

std::vector<model::SuspectRequest> SuspectRelay::unconfirmed(Timestamp now) const
{
    return table_.unconfirmed(MaxUnconfirmedKept, now);
}

std::vector<model::SuspectReport> SuspectRelay::verdicts(Timestamp now) const
{
    std::vector<model::SuspectReport> reports;
    for (model::SuspectRequest& request : table_.blamed(now)) {
        if (reports.empty() || reports.back().requests.size() >= MaxRequestsPerReport)
            reports.emplace_back();
        reports.back().requests.push_back(std::move(request));
    }
    return reports;
}

} // namespace saltvane::registry
