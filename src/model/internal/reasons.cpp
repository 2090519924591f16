/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "model/reasons.h"

#include <cstddef>

namespace saltvane::model {
namespace {

constexpr int StatusOk = 200;
constexpr int StatusBadGateway = 502;
constexpr int StatusUnavailable = 503;

struct ReasonInfo {
    std::string_view text;
    int notRunStatus = StatusUnavailable;
    int unknownStatus = StatusBadGateway;
};

constexpr size_t ReasonCount = static_cast<size_t>(Reason::Count);

/// Indexed by Reason.
constexpr std::array<ReasonInfo, ReasonCount> ReasonInfos {{
    {.text = "none"},
    {.text = "not-ready"},
    {.text = "stopping"},
    {.text = "unknown-service", .notRunStatus = 404},
    {.text = "bad-request", .notRunStatus = 400},
    {.text = "missing-key", .notRunStatus = 400},
    {.text = "key-conflict", .notRunStatus = 422, .unknownStatus = 422},
    {.text = "key-expired", .notRunStatus = 409, .unknownStatus = 409},
    {.text = "key-in-use", .notRunStatus = 409, .unknownStatus = 409},
    {.text = "minter-gone", .notRunStatus = 409, .unknownStatus = 409},
    {.text = "no-quorum"},
    {.text = "deadline-exceeded", .notRunStatus = 504, .unknownStatus = 504},
    {.text = "no-room"},
    {.text = "shift-cap-reached"},
    {.text = "link-limit-reached"},
    {.text = "zone-closed"},
    {.text = "queue-full"},
    {.text = "queue-timeout", .notRunStatus = 504, .unknownStatus = 504},
    {.text = "no-target"},
    {.text = "connect-failed"},
    {.text = "target-shed"},
    {.text = "target-failed", .notRunStatus = 502},
    {.text = "target-stalled", .notRunStatus = 504, .unknownStatus = 504},
    {.text = "peer-lost"},
    {.text = "client-gone"},
    {.text = "body-too-large", .notRunStatus = 413, .unknownStatus = 413},
    {.text = "headers-too-large", .notRunStatus = 431},
    {.text = "too-many-connections"},
    {.text = "stop-time-limit"},
    {.text = "retry-budget-spent"},
    {.text = "stale-state"},
    {.text = "request-quarantined"},
    {.text = "unknown-key", .notRunStatus = 401},
    {.text = "rate-limited", .notRunStatus = 429},
    {.text = "limit-unknown"},
    {.text = "back-pressure"},
    {.text = "no-memory"},
    {.text = "body-timeout", .notRunStatus = 408},
}};

constexpr bool allReasonsHaveText()
{
    for (const ReasonInfo& info : ReasonInfos) {
        if (info.text.empty())
            return false;
    }
    return true;
}
static_assert(allReasonsHaveText());

const ReasonInfo& infoOf(Reason reason)
{
    const auto index = static_cast<size_t>(reason);
    return ReasonInfos[index < ReasonCount ? index : 0];
}

} // namespace

std::string_view toString(Reason reason) { return infoOf(reason).text; }

std::optional<Reason> reasonFrom(std::string_view text)
{
    for (size_t index = 0; index < ReasonInfos.size(); ++index) {
        if (ReasonInfos.at(index).text == text)
            return static_cast<Reason>(index);
    }
    return std::nullopt;
}

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

int httpStatus(Outcome outcome, Reason reason)
{
    if (outcome == Outcome::Answered)
        return StatusOk;
    const ReasonInfo& info = infoOf(reason);
    return outcome == Outcome::NotRun ? info.notRunStatus : info.unknownStatus;
}

} // namespace saltvane::model
