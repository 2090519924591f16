/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/decisionlog.h"

#include <algorithm>
#include <utility>

namespace saltvane::gateway {

namespace {

constexpr double LinesPerSecond = 20;
constexpr double MostSavedLines = 40;
constexpr uint64_t OneAnsweredIn = 64;
constexpr Duration LeftOutPeriod = 5s;

int64_t millisecondsOf(Duration duration) { return std::chrono::round<std::chrono::milliseconds>(duration).count(); }

} // namespace

bool DecisionLog::mayWrite(const Decision& decision)
{
    const bool isAnswered = decision.outcome == model::Outcome::Answered;
    if (isAnswered && ++answered_ % OneAnsweredIn != 1)
        return false;
    if (balance_ < 1) {
        ++leftOut_;
        return false;
    }
    balance_ -= 1;
    return true;
}

void DecisionLog::note(const Decision& decision, Timestamp now)
{
    balance_ = std::min(MostSavedLines, balance_ + toSeconds(now - filledAt_) * LinesPerSecond);
    filledAt_ = now;
    if (!mayWrite(decision))
        return;
    const Exchange& exchange = decision.exchange;
    std::string text = "event=request id=" + exchange.id.value() + " route=" + exchange.route.name.value() + " kind="
        + std::string(model::toString(exchange.route.kind)) + " plan=" + std::to_string(exchange.planVersion.value)
        + " service=" + exchange.service.value() + " target=" + exchange.target.value() + " tries="
        + std::to_string(exchange.tried.size()) + " load=" + std::to_string(static_cast<int>(exchange.loadAtStart))
        + " outcome=" + std::string(model::toString(decision.outcome))
        + " reason=" + std::string(model::toString(decision.reason)) + " status=" + std::to_string(decision.status)
        + " ms=" + std::to_string(millisecondsOf(now - exchange.startedAt));
    const bool isAnswered = decision.outcome == model::Outcome::Answered;
    lines_.push_back({.severity = isAnswered ? host::LogSeverity::Info : host::LogSeverity::Warning,
        .module = "gateway",
        .text = std::move(text)});
}

std::vector<host::LogLine> DecisionLog::take(Timestamp now)
{
    if (leftOut_ > 0 && now - toldAt_ >= LeftOutPeriod) {
        toldAt_ = now;
        lines_.push_back({.severity = host::LogSeverity::Warning,
            .module = "gateway",
            .text = "event=lines_left_out count=" + std::to_string(std::exchange(leftOut_, 0))});
    }
    return std::exchange(lines_, {});
}

} // namespace saltvane::gateway
