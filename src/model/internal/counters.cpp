/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/counters.h"

namespace saltvane::model {
namespace {

constexpr size_t CounterCount = static_cast<size_t>(Counter::Count);

/// Indexed by Counter.
constexpr std::array<CounterInfo, CounterCount> CounterInfos {{
    {.name = "saltvane_look_ups_total", .help = "Look-ups of entry hosts answered."},
    {.name = "saltvane_look_ups_refused_total", .help = "Look-ups of entry hosts refused."},
    {.name = "saltvane_requests_total", .help = "Requests accepted from callers."},
    {.name = "saltvane_requests_answered_total", .help = "Requests that ended with the whole answer of a target."},
    {.name = "saltvane_requests_not_run_total", .help = "Requests that ended as not run."},
    {.name = "saltvane_requests_unknown_total", .help = "Requests that ended with an unknown outcome."},
    {.name = "saltvane_forwards_sent_total", .help = "Requests forwarded to another host."},
    {.name = "saltvane_forwards_received_total", .help = "Requests received from another host."},
    {.name = "saltvane_dispatches_total", .help = "Requests dispatched to an owned target."},
    {.name = "saltvane_retries_total", .help = "Requests sent again after a failed try."},
    {.name = "saltvane_diversions_total", .help = "Requests sent elsewhere than their route row says."},
    {.name = "saltvane_announcements_total", .help = "Target announcements accepted."},
    {.name = "saltvane_announcements_refused_total", .help = "Target announcements refused."},
    {.name = "saltvane_ownerships_taken_total", .help = "Target ownerships taken by this host."},
    {.name = "saltvane_ownerships_lost_total", .help = "Target ownerships that ended at this host."},
    {.name = "saltvane_ownership_handovers_total", .help = "Target ownerships handed to another host."},
    {.name = "saltvane_ejections_total", .help = "Targets ejected on this host's own evidence."},
    {.name = "saltvane_trial_requests_total", .help = "Single requests that tested an ejected target."},
    {.name = "saltvane_credits_granted_total", .help = "Credit windows granted to other hosts."},
    {.name = "saltvane_stale_messages_total", .help = "Messages of an older incarnation, sequence or term."},
    {.name = "saltvane_keys_claimed_total", .help = "Idempotency keys claimed in the replicated log."},
    {.name = "saltvane_key_replays_total", .help = "Resends answered from the stored answer."},
    {.name = "saltvane_late_frames_total", .help = "Frames for a request that has ended."},
    {.name = "saltvane_broken_bodies_total", .help = "Bodies with a gap, an overlap or an early end."},
    {.name = "saltvane_hosts_suspected_total", .help = "Hosts whose heartbeats stopped."},
    {.name = "saltvane_hosts_joined_total", .help = "Hosts that joined or came back."},
    {.name = "saltvane_bundles_installed_total", .help = "Bundles installed on this host."},
    {.name = "saltvane_bundles_refused_total", .help = "Bundles refused by this host."},
    {.name = "saltvane_bundle_pulls_total", .help = "Pulls of the bundle in force."},
    {.name = "saltvane_elections_total", .help = "Elections started."},
    {.name = "saltvane_commits_total", .help = "Log entries committed."},
    {.name = "saltvane_snapshots_taken_total", .help = "Snapshots taken of the replicated state."},
    {.name = "saltvane_snapshots_received_total", .help = "Snapshots installed from the leader."},
    {.name = "saltvane_not_current_answers_total", .help = "Reads refused for want of a current quorum's proof."},
    {.name = "saltvane_link_auth_failures_total", .help = "Links refused because authentication failed."},
    {.name = "saltvane_bad_frames_total", .help = "Frames that could not be decoded."},
    {.name = "saltvane_bad_http_requests_total", .help = "HTTP requests that could not be parsed."},
    {.name = "saltvane_link_bytes_total", .help = "Bytes of frames queued for other hosts."},
    {.name = "saltvane_bundle_bytes_total", .help = "Of these, bytes of plans and bundles for hosts that use them."},
    {.name = "saltvane_row_moves_total", .help = "Ticks in which a route row moved."},
    {.name = "saltvane_row_moves_capped_total", .help = "Ticks in which the shift cap held a route row back."},
    {.name = "saltvane_targets_lost_under_requests_total", .help = "Runs that ended because their target did."},
    {.name = "saltvane_requests_blamed_total", .help = "Requests found by this host to end the targets that run them."},
    {.name = "saltvane_limited_dispatches_total", .help = "Requests sent to targets that name a limit."},
    {.name = "saltvane_slow_start_dispatches_total", .help = "Requests sent to targets in their slow start."},
    {.name = "saltvane_unconfirmed_dispatches_total",
        .help = "Requests sent to targets while the registry's information was not current."},
    {.name = "saltvane_surplus_responses_total",
        .help = "Times that a target sent bytes on a kept connection on which no request waited for them."},
    {.name = "saltvane_overdue_unread_total",
        .help = "Times that a caller's connection was kept beyond a time limit because it had unread bytes."},
    {.name = "saltvane_requests_after_close_total",
        .help = "Requests that arrived on a connection that the host had closed; they were refused with the close."},
    {.name = "saltvane_unacknowledged_closes_total",
        .help = "Connections to targets that were closed with unacknowledged bytes of a request."},
}};

constexpr bool allCountersHaveInfo()
{
    for (const CounterInfo& info : CounterInfos) {
        if (info.name.empty() || info.help.empty())
            return false;
    }
    return true;
}
static_assert(allCountersHaveInfo());

} // namespace

CounterInfo infoOf(Counter counter) { return CounterInfos.at(static_cast<size_t>(counter)); }

} // namespace saltvane::model
