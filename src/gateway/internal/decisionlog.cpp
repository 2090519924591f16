/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/decisionlog.h"

#include "base/logtext.h"

#include <utility>

namespace saltvane::gateway {

namespace {

constexpr uint64_t AnsweredPerLogLine = 64;
constexpr Duration SuppressedCountInterval = 5s;

} // namespace

bool DecisionLog::mayLog(const Decision& decision, Timestamp now)
{
    const bool isAnswered = decision.outcome == model::Outcome::Answered;
    if (isAnswered && ++answered_ % AnsweredPerLogLine != 1)
        return false;
    if (logLineBudget_.trySpend(now))
        return true;
    ++suppressed_;
    return false;
}

void DecisionLog::logDecision(const Decision& decision, const Ages& ages, Timestamp now)
{
    if (!mayLog(decision, now))
        return;
    const Exchange& exchange = decision.exchange;
    LogText line("request");
    line.add("id", exchange.id.value())
        .add("request", model::toString(exchange.digest))
        .add("route", exchange.route.name.value())
        .add("account", exchange.account ? exchange.account->account.name.value() : "")
        .add("kind", model::toString(exchange.route.kind))
        .add("plan", exchange.planVersion.value)
        .addMilliseconds("plan_age_ms", ages.plan)
        .addMilliseconds("word_age_ms", ages.registry)
        .add("orders", exchange.orders.value)
        .add("service", exchange.service.value())
        .add("target", exchange.target.target.value())
        .add("tries", exchange.attemptedTargets.size())
        .add("peer", exchange.peer.value())
        .add("forwarded", exchange.isForwarded ? "yes" : "no")
        .add("plan_index", exchange.planIndex.value)
        .add("peer_plan_index", exchange.peerPlanIndex ? std::to_string(exchange.peerPlanIndex->value) : "")
        .add("choice", toString(exchange.choice))
        .add("warm", exchange.isLikelyWarm ? "yes" : "unknown")
        .addMilliseconds("send_ms", exchange.timeToFirstByte())
        .add("withheld", exchange.timesWithheld)
        .add("connection", exchange.connection.localPort)
        .add("connection_requests", exchange.connection.earlierRequests)
        .addMilliseconds("target_ms", exchange.timeToHead)
        .add("load", static_cast<int>(exchange.loadAtSend))
        .addMilliseconds("load_age_ms", exchange.loadAge)
        .addMilliseconds("target_age_ms", exchange.targetAge)
        .add("limit", exchange.limit ? shortestDecimal(*exchange.limit) : "")
        .add("known", exchange.targetsKnown)
        .add("usable", exchange.targetsUsable)
        .add("body_bytes", exchange.body.received)
        .add("outcome", model::toString(decision.outcome))
        .add("reason", model::toString(decision.reason))
        .add("status", decision.status)
        .addMilliseconds("ms", now - exchange.startedAt);
    if (!exchange.lastFailure.empty())
        line.add("target_gone", exchange.isLastTargetGone ? "yes" : "unknown")
            .add("failure", '"' + exchange.lastFailure + '"');
    const bool isAnswered = decision.outcome == model::Outcome::Answered;
    logLines_.push_back({.severity = isAnswered ? host::LogSeverity::Info : host::LogSeverity::Warning,
        .module = "gateway",
        .text = line.text()});
}

std::vector<host::LogLine> DecisionLog::drainLogLines(Timestamp now)
{
    if (suppressed_ > 0 && now - suppressedCountLoggedAt_ >= SuppressedCountInterval) {
        suppressedCountLoggedAt_ = now;
        logLines_.push_back({.severity = host::LogSeverity::Warning,
            .module = "gateway",
            .text = "event=lines_left_out count=" + std::to_string(std::exchange(suppressed_, 0))});
    }
    return std::exchange(logLines_, {});
}

} // namespace saltvane::gateway
