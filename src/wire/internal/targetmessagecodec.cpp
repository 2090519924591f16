/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "wire/internal/targetmessagecodec.h"

#include "wire/internal/rolloutmessagecodec.h"

namespace saltvane::wire {

namespace {

Offset<fbs::TargetRecord> encodeRecord(Builder& builder, const model::TargetRecord& record)
{
    const auto target = encodeName(builder, record.target);
    const auto service = encodeName(builder, record.service);
    const auto address = encode(builder, record.address);
    const auto zone = encodeName(builder, record.zone);
    const auto host = encodeName(builder, record.slowStartHost);
    const auto version = encodeName(builder, record.version);
    return fbs::CreateTargetRecord(builder, target, service, address, zone, record.slots, record.isLeaving,
        encodeDuration(record.slowStartLeft), record.sequence, encodeDuration(record.age), host, record.isRecalled,
        record.incarnation.value, version, record.isStartExpected);
}

model::TargetRecord decodeRecord(FieldReader& reader, const fbs::TargetRecord& record)
{
    model::TargetRecord decoded {
        .target = reader.name<TargetId>(record.target(), "TargetRecord.target"),
        .incarnation = {record.incarnation()},
        .service = reader.name<ServiceName>(record.service(), "TargetRecord.service"),
        .version = reader.name<model::TargetVersion>(record.version(), "TargetRecord.version"),
        .address = decodeAddress(reader, record.address(), "TargetRecord.address"),
        .zone = reader.name<ZoneName>(record.zone(), "TargetRecord.zone"),
        .slots = record.slots(),
        .isLeaving = record.is_leaving(),
        .slowStartLeft = reader.duration(record.slow_start_left(), "TargetRecord.slowStartLeft"),
        .sequence = record.sequence(),
        .age = reader.duration(record.age(), "TargetRecord.age"),
        .slowStartHost = reader.name<HostId>(record.slow_start_host(), "TargetRecord.slowStartHost"),
        .isStartExpected = record.is_start_expected(),
        .isRecalled = record.is_recalled(),
    };
    reader.require(!decoded.target.isEmpty(), "TargetRecord.target");
    return decoded;
}

Offset<fbs::ReopenedZone> encodeReopenedZone(Builder& builder, const model::ReopenedZone& reopened)
{
    const auto zone = encodeName(builder, reopened.zone);
    const fbs::LogPosition position = encodePosition(reopened.position);
    return fbs::CreateReopenedZone(builder, zone, &position, encodeDuration(reopened.age));
}

model::ReopenedZone decodeReopenedZone(FieldReader& reader, const fbs::ReopenedZone& reopened)
{
    return {.zone = reader.name<ZoneName>(reopened.zone(), "ReopenedZone.zone"),
        .position = decodePosition(reopened.position()),
        .age = reader.duration(reopened.age(), "ReopenedZone.age")};
}

/// Earlier versions send only the target ids. Their incarnations are then unknown (0).
std::vector<model::TargetIncarnation> decodeRetired(FieldReader& reader, const fbs::TargetReport& message)
{
    std::vector<model::TargetIncarnation> retired;
    const auto* incarnations = message.retired_incarnations();
    const auto ids = decodeNames<TargetId>(reader, message.retired(), "TargetReport.retired");
    reader.require(incarnations == nullptr || incarnations->size() == ids.size(), "TargetReport.retiredIncarnations");
    for (flatbuffers::uoffset_t i = 0; i < ids.size(); ++i) {
        const bool hasIncarnation = incarnations != nullptr && i < incarnations->size();
        retired.push_back({.target = ids[i], .incarnation = {hasIncarnation ? elementAt(*incarnations, i) : 0}});
    }
    return retired;
}

std::vector<uint64_t> decodeUnchanged(FieldReader& reader, const fbs::TargetReport& message)
{
    std::vector<uint64_t> unchanged;
    const auto* hashes = message.unchanged();
    if (hashes == nullptr || !reader.consumeBudget(hashes->size() * sizeof(uint64_t), "TargetReport.unchanged"))
        return unchanged;
    unchanged.reserve(hashes->size());
    for (flatbuffers::uoffset_t index = 0; index < hashes->size(); ++index)
        unchanged.push_back(elementAt(*hashes, index));
    return unchanged;
}

} // namespace

Offset<fbs::TargetReport> encode(Builder& builder, const model::TargetReport& message)
{
    const auto zones = encodeNames(builder, message.evacuatedZones);
    std::vector<TargetId> retiredIds;
    std::vector<uint64_t> retiredIncarnations;
    for (const model::TargetIncarnation& start : message.retired) {
        retiredIds.push_back(start.target);
        retiredIncarnations.push_back(start.incarnation.value);
    }
    const auto retired = encodeNames(builder, retiredIds);
    const auto incarnations = builder.CreateVector(retiredIncarnations);
    const auto targets = encodeTables<fbs::TargetRecord>(builder, message.targets, encodeRecord);
    const fbs::LogPosition orders = encodePosition(message.orders);
    const fbs::LogPosition ordersSince = encodePosition(message.ordersSince);
    const auto unchanged
        = message.unchanged.empty() ? Offset<flatbuffers::Vector<uint64_t>>() : builder.CreateVector(message.unchanged);
    const auto rollouts = encodeTables<fbs::RolloutOrder>(
        builder, message.rollouts, [](Builder& to, const model::RolloutOrder& order) { return encode(to, order); });
    const auto reopened = encodeTables<fbs::ReopenedZone>(builder, message.reopenedZones, encodeReopenedZone);
    return fbs::CreateTargetReport(builder, &orders, zones, retired, targets, incarnations, rollouts, message.gateways,
        unchanged, message.gatewayNumber, reopened, message.registryVoters, &ordersSince);
}

model::TargetReport decode(FieldReader& reader, const fbs::TargetReport& message)
{
    return {
        .orders = decodePosition(message.orders()),
        .ordersSince = decodePosition(message.orders_since()),
        .evacuatedZones = decodeNames<ZoneName>(reader, message.evacuated_zones(), "TargetReport.evacuatedZones"),
        .reopenedZones = decodeTables<model::ReopenedZone>(
            reader, message.reopened_zones(), "TargetReport.reopenedZones", decodeReopenedZone),
        .retired = decodeRetired(reader, message),
        .targets = decodeTables<model::TargetRecord>(reader, message.targets(), "TargetReport.targets", decodeRecord),
        .rollouts = decodeTables<model::RolloutOrder>(reader, message.rollouts(), "TargetReport.rollouts",
            [](FieldReader& from, const fbs::RolloutOrder& order) { return decode(from, order); }),
        .unchanged = decodeUnchanged(reader, message),
        .gateways = message.gateways(),
        .gatewayNumber = message.gateway_number(),
        .registryVoters = message.registry_voters(),
    };
}

Offset<fbs::TargetLoads> encode(Builder& builder, const model::TargetLoads& message)
{
    const auto targets = builder.CreateVector(message.targets);
    const auto inFlight = builder.CreateVector(message.inFlight);
    return fbs::CreateTargetLoads(builder, targets, inFlight, message.isChange);
}

model::TargetLoads decode(FieldReader& reader, const fbs::TargetLoads& message)
{
    model::TargetLoads decoded {.isChange = message.is_change()};
    const size_t count = message.targets() == nullptr ? 0 : message.targets()->size();
    const size_t loads = message.in_flight() == nullptr ? 0 : message.in_flight()->size();
    reader.require(count == loads, "TargetLoads.inFlight");
    if (count != loads)
        return decoded;
    for (size_t i = 0; i < count; ++i) {
        decoded.targets.push_back(elementAt(*message.targets(), static_cast<flatbuffers::uoffset_t>(i)));
        decoded.inFlight.push_back(elementAt(*message.in_flight(), static_cast<flatbuffers::uoffset_t>(i)));
    }
    return decoded;
}

} // namespace saltvane::wire
