/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "wire/internal/rolloutmessagecodec.h"

namespace saltvane::wire {

namespace {

Offset<fbs::RolloutRouteCounts> encodeCounts(Builder& builder, const model::RolloutRouteCounts& counts)
{
    const auto route = encodeName(builder, counts.route);
    const auto byTime = builder.CreateVector(counts.others.byTime);
    const auto trialByTime = builder.CreateVector(counts.trial.byTime);
    return fbs::CreateRolloutRouteCounts(
        builder, route, counts.others.failed, byTime, counts.trial.failed, trialByTime);
}

model::AnswerCounts decodeAnswers(
    FieldReader& reader, uint64_t failed, const flatbuffers::Vector<uint32_t>* byTime, std::string_view field)
{
    model::AnswerCounts counts {.failed = failed};
    if (byTime == nullptr)
        return counts;
    reader.require(byTime->size() <= model::AnswerCounts::TimeBuckets, field);
    if (byTime->size() > model::AnswerCounts::TimeBuckets || !reader.consumeBudget(byTime->size() * 4, field))
        return counts;
    for (flatbuffers::uoffset_t index = 0; index < byTime->size(); ++index)
        counts.byTime.push_back(elementAt(*byTime, index));
    return counts;
}

model::RolloutRouteCounts decodeCounts(FieldReader& reader, const fbs::RolloutRouteCounts& counts)
{
    return {.route = reader.name<model::RouteName>(counts.route(), "RolloutRouteCounts.route"),
        .others = decodeAnswers(reader, counts.failed(), counts.by_time(), "RolloutRouteCounts.byTime"),
        .trial
        = decodeAnswers(reader, counts.trial_failed(), counts.trial_by_time(), "RolloutRouteCounts.trialByTime")};
}

} // namespace

Offset<fbs::RolloutOrder> encode(Builder& builder, const model::RolloutOrder& order)
{
    const auto service = encodeName(builder, order.service);
    const auto version = encodeName(builder, order.version);
    const auto excluded = encodeNames(builder, order.excluded);
    return fbs::CreateRolloutOrder(
        builder, service, version, static_cast<uint8_t>(order.phase), encodeDuration(order.timeLimit), excluded);
}

Offset<fbs::RolloutReport> encode(Builder& builder, const model::RolloutReport& message)
{
    const auto gateway = encodeName(builder, message.gateway);
    const auto service = encodeName(builder, message.service);
    const auto version = encodeName(builder, message.version);
    const auto others = encodeNames(builder, message.otherVersions);
    const auto routes = encodeTables<fbs::RolloutRouteCounts>(builder, message.routes, encodeCounts);
    return fbs::CreateRolloutReport(builder, gateway, message.incarnation.value, service, version, message.isSwitched,
        message.otherInFlight, message.trialSlots, message.otherSlots, others, routes);
}

model::RolloutOrder decode(FieldReader& reader, const fbs::RolloutOrder& order)
{
    return {.service = reader.name<ServiceName>(order.service(), "RolloutOrder.service"),
        .version = reader.name<model::TargetVersion>(order.version(), "RolloutOrder.version"),
        .phase = reader.enumerator(order.phase(), model::RolloutPhase::RolledBack, "RolloutOrder.phase"),
        .timeLimit = reader.duration(order.time_limit(), "RolloutOrder.timeLimit"),
        .excluded = decodeNames<model::TargetVersion>(reader, order.excluded(), "RolloutOrder.excluded")};
}

model::RolloutReport decode(FieldReader& reader, const fbs::RolloutReport& message)
{
    return {.gateway = reader.name<HostId>(message.gateway(), "RolloutReport.gateway"),
        .incarnation = {message.incarnation()},
        .service = reader.name<ServiceName>(message.service(), "RolloutReport.service"),
        .version = reader.name<model::TargetVersion>(message.version(), "RolloutReport.version"),
        .isSwitched = message.is_switched(),
        .otherInFlight = message.other_in_flight(),
        .trialSlots = message.trial_slots(),
        .otherSlots = message.other_slots(),
        .otherVersions
        = decodeNames<model::TargetVersion>(reader, message.other_versions(), "RolloutReport.otherVersions"),
        .routes
        = decodeTables<model::RolloutRouteCounts>(reader, message.routes(), "RolloutReport.routes", decodeCounts)};
}

} // namespace saltvane::wire
