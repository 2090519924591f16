/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/claimtable.h"

#include "control/internal/fieldreader.h"

#include <algorithm>

namespace saltvane::control {

namespace {
using Json = nlohmann::json;
constexpr size_t ClaimFieldCount = 7;
} // namespace

std::optional<ClaimOutcome> ClaimTable::answerFor(const ClaimKey& command, int64_t nowUnixMs) const
{
    const auto found = claims_.find({command.service, command.key});
    if (found == claims_.end() || found->second.expiresAtUnixMs <= nowUnixMs)
        return std::nullopt;
    const Claim& existing = found->second;
    ClaimOutcome outcome {.holder = existing.holder, .holderIncarnation = existing.holderIncarnation};
    const bool isResend = existing.holder == command.holder && existing.holderIncarnation == command.holderIncarnation
        && existing.claim == command.claim;
    if (existing.fingerprint != command.fingerprint)
        outcome.result = model::ClaimResult::OtherFingerprint;
    else
        outcome.result = isResend ? model::ClaimResult::Granted : model::ClaimResult::HeldElsewhere;
    return outcome;
}

ClaimOutcome ClaimTable::apply(const ClaimKey& command)
{
    clock_ = std::max(clock_, command.nowUnixMs);
    prune();
    if (const std::optional<ClaimOutcome> answer = answerFor(command, clock_))
        return *answer;
    insert({command.service, command.key},
        {.fingerprint = command.fingerprint,
            .holder = command.holder,
            .holderIncarnation = command.holderIncarnation,
            .claim = command.claim,
            .expiresAtUnixMs = command.expiresAtUnixMs});
    return {.result = model::ClaimResult::Granted,
        .holder = command.holder,
        .holderIncarnation = command.holderIncarnation};
}

void ClaimTable::insert(Key key, Claim claim)
{
    expiries_.emplace(claim.expiresAtUnixMs, key);
    claims_[std::move(key)] = std::move(claim);
}

void ClaimTable::prune()
{
    while (!expiries_.empty() && expiries_.begin()->first <= clock_) {
        claims_.erase(expiries_.begin()->second);
        expiries_.erase(expiries_.begin());
    }
}

Json ClaimTable::toJson() const
{
    Json array = Json::array();
    for (const auto& [key, claim] : claims_) {
        array.push_back({{"service", key.first.value()}, {"key", key.second}, {"fingerprint", claim.fingerprint},
            {"holder", claim.holder.value()}, {"holderIncarnation", claim.holderIncarnation.value},
            {"claim", claim.claim}, {"expiresAtUnixMs", claim.expiresAtUnixMs}});
    }
    return array;
}

std::optional<ClaimTable> ClaimTable::fromJson(const Json& array, int64_t clock)
{
    ClaimTable table;
    table.clock_ = clock;
    for (const Json& item : array) {
        Key key;
        Claim claim;
        FieldReader reader(item, ClaimFieldCount);
        reader.read("service", key.first).read("key", key.second).read("fingerprint", claim.fingerprint);
        reader.read("holder", claim.holder).read("holderIncarnation", claim.holderIncarnation);
        reader.read("claim", claim.claim).read("expiresAtUnixMs", claim.expiresAtUnixMs);
        if (!reader.isOk() || table.claims_.contains(key))
            return std::nullopt;
        table.insert(std::move(key), std::move(claim));
    }
    return table;
}

} // namespace saltvane::control
