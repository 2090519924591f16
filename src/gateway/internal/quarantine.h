/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gateway/internal/answeredrequests.h"
#include "gateway/internal/endrate.h"
#include "gateway/internal/ratebudget.h"
#include "gateway/internal/runwatch.h"
#include "gateway/internal/targetprober.h"
#include "gateway/internal/targetset.h"
#include "host/hosttypes.h"
#include "membership/suspectoutbox.h"
#include "membership/suspecttable.h"
#include "model/counters.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace saltvane::gateway {

/// Finds requests that end the targets that run them, and keeps them from targets. What one gateway sees all gateways
/// hear, so that three targets are lost to such a request, not two for each of its caller's tries.
/// docs/design/0013-fatal-requests.md
class Quarantine {
public:
    struct Options {
        settings::HeaderNames headers;
        TargetSet& targets;
        model::Counters& counters;
        /// Where targets of a service answer probes; empty: not known.
        std::function<std::string(const ServiceName&)> probePathOf;
    };
    explicit Quarantine(Options options);

    /// A request that lost two targets is not repeated by this host: the third one would be lost to the same try,
    /// before any other gateway has heard of the first two. Its caller may try again.
    static constexpr size_t MostLostToARepeat = 2;

    /// Before a request is sent to a target. A time: it isn't sent, and may come back after it.
    [[nodiscard]] std::optional<Duration> refusal(const model::RequestDigest& digest, Timestamp now);
    /// Whether a try that lost its target may go on at another one.
    [[nodiscard]] bool mayRepeat(const model::RequestDigest& digest) const;

    /// The whole answer came.
    void noteAnswered(const model::RequestDigest& digest, Timestamp now);
    /// The target answers, whatever it was asked.
    void noteAlive(const model::TargetIncarnation& target) { watch_.forget(target); }
    /// The run's connection broke. `isGone`: the target is known to be gone.
    void noteBroken(const LostRun& run, bool isGone, Timestamp now);
    /// The run was given up, and its target has said nothing to anybody since it was sent.
    void noteGivenUp(const LostRun& run) { watch_.note(run); }
    /// This start of a target is no more.
    void noteGone(const model::TargetIncarnation& target, Timestamp now);

    void handle(const model::SuspectReport& report, Timestamp now);
    /// Of a probe.
    void handle(const requests::TargetEvent& event, Timestamp now);
    [[nodiscard]] std::optional<TargetProber::Question> questionOf(const requests::TargetResponseHead& head) const
    {
        return prober_.questionOf(head);
    }
    void tick(Timestamp now);

    /// What all registry hosts are to hear.
    [[nodiscard]] std::vector<model::SuspectRequest> takeNews(Timestamp now);
    /// What a registry host that may know nothing is to hear.
    [[nodiscard]] std::vector<model::SuspectRequest> blamed(Timestamp now) const { return table_.blamed(now); }
    [[nodiscard]] std::vector<requests::Action> takeActions() { return prober_.takeActions(); }
    [[nodiscard]] std::vector<host::LogLine> takeLines() { return std::exchange(lines_, {}); }

private:
    /// So many requests lose their targets at one gateway in a second when a third of 1,356 targets end within one, and
    /// it takes under a tenth of a link of 2.6 Mbit/s to say so to nine registry hosts.
    static constexpr double ToldPerSecond = 100;
    static constexpr double MostToldAtOnce = 50;
    static constexpr double LinesPerSecond = 5;
    static constexpr double MostSavedLines = 20;

    void noteEnded(const LostRun& run, Timestamp now);
    /// Where this gateway had an answer to it since its first end, or shortly before, its ends are void.
    void clearAnswered(const model::RequestDigest& digest, Timestamp now);
    void makeVoid(const model::RequestDigest& digest, Timestamp now);
    void tellExplained(Timestamp now);
    void log(host::LogSeverity severity, std::string text, Timestamp now);

    Options options_;
    membership::SuspectTable table_;
    membership::SuspectOutbox outbox_;
    EndRate endRate_;
    AnsweredRequests answered_;
    RunWatch watch_;
    TargetProber prober_;
    RateBudget lineBudget_ {{.perSecond = LinesPerSecond, .burst = MostSavedLines}};
    std::vector<host::LogLine> lines_;
};

} // namespace saltvane::gateway
