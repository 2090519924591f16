/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "wire/internal/hostmessagecodec.h"

namespace saltvane::wire {

static_assert(static_cast<int>(fbs::HostState::MAX) == static_cast<int>(model::HostState::Leaving));

namespace {

Offset<fbs::ServiceRoom> encodeServiceRoom(Builder& builder, const model::ServiceRoom& room)
{
    const auto service = encodeName(builder, room.service);
    return fbs::CreateServiceRoom(builder, service, room.targets, room.slots, room.room, room.inFlight, room.queued,
        encodeDuration(room.queueDelay));
}

model::ServiceRoom decodeServiceRoom(FieldReader& reader, const fbs::ServiceRoom& room)
{
    return {
        .service = reader.name<ServiceName>(room.service(), "ServiceRoom.service"),
        .targets = room.targets(),
        .slots = room.slots(),
        .room = room.room(),
        .inFlight = room.in_flight(),
        .queued = room.queued(),
        .queueDelay = reader.duration(room.queue_delay(), "ServiceRoom.queueDelay"),
    };
}

Offset<fbs::ServiceDemand> encodeServiceDemand(Builder& builder, const model::ServiceDemand& demand)
{
    const auto service = encodeName(builder, demand.service);
    const auto region = encodeName(builder, demand.clientRegion);
    return fbs::CreateServiceDemand(builder, service, region, demand.concurrency);
}

model::ServiceDemand decodeServiceDemand(FieldReader& reader, const fbs::ServiceDemand& demand)
{
    return {
        .service = reader.name<ServiceName>(demand.service(), "ServiceDemand.service"),
        .clientRegion = reader.name<RegionName>(demand.client_region(), "ServiceDemand.clientRegion"),
        .concurrency = reader.nonNegative(demand.concurrency(), "ServiceDemand.concurrency"),
    };
}

Offset<fbs::HostRecord> encodeHostRecord(Builder& builder, const model::HostRecord& record)
{
    const auto host = encodeName(builder, record.host);
    const auto zone = encodeName(builder, record.zone);
    const auto region = encodeName(builder, record.region);
    const auto link = encode(builder, record.linkAddress);
    const auto entry = encode(builder, record.entryAddress);
    const auto services = encodeTables<fbs::ServiceRoom>(builder, record.services, encodeServiceRoom);
    const auto demands = encodeTables<fbs::ServiceDemand>(builder, record.demands, encodeServiceDemand);
    const auto targets = encodeNames(builder, record.ownedTargets);
    const fbs::LogPosition inForce = encodePosition(record.inForce);
    return fbs::CreateHostRecord(builder, host, record.incarnation.value, record.sequence, zone, region, link, entry,
        record.isControl, record.isControlLeader, static_cast<fbs::HostState>(record.state), &inForce,
        record.inForceVersion.value, services, demands, targets, record.isIsolated);
}

model::HostRecord decodeHostRecord(FieldReader& reader, const fbs::HostRecord& record)
{
    model::HostRecord decoded {
        .host = reader.name<HostId>(record.host(), "HostRecord.host"),
        .incarnation = {record.incarnation()},
        .sequence = record.sequence(),
        .zone = reader.name<ZoneName>(record.zone(), "HostRecord.zone"),
        .region = reader.name<RegionName>(record.region(), "HostRecord.region"),
        .linkAddress = decodeAddress(reader, record.link_address(), "HostRecord.linkAddress"),
        .entryAddress = decodeAddress(reader, record.entry_address(), "HostRecord.entryAddress"),
        .isControl = record.is_control(),
        .isControlLeader = record.is_control_leader(),
        .state = reader.enumerator(record.state(), model::HostState::Leaving, "HostRecord.state"),
        .inForce = decodePosition(record.in_force()),
        .inForceVersion = {record.in_force_version()},
        .isIsolated = record.is_isolated(),
    };
    reader.require(!decoded.host.isEmpty(), "HostRecord.host");
    decoded.services
        = decodeTables<model::ServiceRoom>(reader, record.services(), "HostRecord.services", decodeServiceRoom);
    decoded.demands
        = decodeTables<model::ServiceDemand>(reader, record.demands(), "HostRecord.demands", decodeServiceDemand);
    decoded.ownedTargets = decodeNames<TargetId>(reader, record.owned_targets(), "HostRecord.ownedTargets");
    return decoded;
}

Offset<fbs::RouteRow> encodeRouteRow(Builder& builder, const model::RouteRow& row)
{
    const auto service = encodeName(builder, row.service);
    const auto region = encodeName(builder, row.region);
    const auto zones = encodeNames(builder, row.zones);
    const auto shares = builder.CreateVector(row.shares);
    return fbs::CreateRouteRow(builder, service, region, zones, shares);
}

model::RouteRow decodeRouteRow(FieldReader& reader, const fbs::RouteRow& row)
{
    model::RouteRow decoded {
        .service = reader.name<ServiceName>(row.service(), "RouteRow.service"),
        .region = reader.name<RegionName>(row.region(), "RouteRow.region"),
        .zones = decodeNames<ZoneName>(reader, row.zones(), "RouteRow.zones"),
    };
    const size_t shareCount = row.shares() == nullptr ? 0 : row.shares()->size();
    if (shareCount != decoded.zones.size()) {
        reader.require(false, "RouteRow.shares");
        return decoded;
    }
    for (size_t i = 0; i < shareCount; ++i)
        decoded.shares.push_back(reader.fraction(elementAt(*row.shares(), i), "RouteRow.shares"));
    return decoded;
}

} // namespace

Offset<fbs::Heartbeat> encode(Builder& builder, const model::Heartbeat& message)
{
    return fbs::CreateHeartbeat(builder, encodeHostRecord(builder, message.record));
}

model::Heartbeat decode(FieldReader& reader, const fbs::Heartbeat& message)
{
    if (message.record() != nullptr)
        return {.record = decodeHostRecord(reader, *message.record())};
    reader.require(false, "Heartbeat.record");
    return {};
}

Offset<fbs::ZoneReport> encode(Builder& builder, const model::ZoneReport& message)
{
    const auto zone = encodeName(builder, message.zone);
    const auto relay = encodeName(builder, message.relay);
    const auto hosts = encodeTables<fbs::HostRecord>(builder, message.hosts, encodeHostRecord);
    std::vector<int64_t> ages;
    ages.reserve(message.ages.size());
    for (const Duration age : message.ages)
        ages.push_back(encodeDuration(age));
    return fbs::CreateZoneReport(builder, zone, relay, hosts, builder.CreateVector(ages));
}

model::ZoneReport decode(FieldReader& reader, const fbs::ZoneReport& message)
{
    model::ZoneReport decoded {
        .zone = reader.name<ZoneName>(message.zone(), "ZoneReport.zone"),
        .relay = reader.name<HostId>(message.relay(), "ZoneReport.relay"),
    };
    decoded.hosts = decodeTables<model::HostRecord>(reader, message.hosts(), "ZoneReport.hosts", decodeHostRecord);
    const size_t ageCount = message.ages() == nullptr ? 0 : message.ages()->size();
    if (ageCount != decoded.hosts.size()) {
        reader.require(false, "ZoneReport.ages");
        return decoded;
    }
    for (size_t i = 0; i < ageCount; ++i)
        decoded.ages.push_back(reader.duration(elementAt(*message.ages(), i), "ZoneReport.ages"));
    return decoded;
}

Offset<fbs::CreditRequest> encode(Builder& builder, const model::CreditRequest& message)
{
    const auto service = encodeName(builder, message.service);
    return fbs::CreateCreditRequest(builder, service, message.wanted, message.inUse, message.sequence);
}

model::CreditRequest decode(FieldReader& reader, const fbs::CreditRequest& message)
{
    return {
        .service = reader.name<ServiceName>(message.service(), "CreditRequest.service"),
        .wanted = message.wanted(),
        .inUse = message.in_use(),
        .sequence = message.sequence(),
    };
}

Offset<fbs::CreditGrant> encode(Builder& builder, const model::CreditGrant& message)
{
    const auto service = encodeName(builder, message.service);
    return fbs::CreateCreditGrant(builder, service, message.window, encodeDuration(message.validFor), message.sequence);
}

model::CreditGrant decode(FieldReader& reader, const fbs::CreditGrant& message)
{
    return {
        .service = reader.name<ServiceName>(message.service(), "CreditGrant.service"),
        .window = message.window(),
        .validFor = reader.duration(message.valid_for(), "CreditGrant.validFor"),
        .sequence = message.sequence(),
    };
}

Offset<fbs::OwnershipHandover> encode(Builder& builder, const model::OwnershipHandover& message)
{
    const auto target = encodeName(builder, message.target);
    const auto service = encodeName(builder, message.service);
    const auto zone = encodeName(builder, message.zone);
    const auto address = encode(builder, message.address);
    return fbs::CreateOwnershipHandover(builder, target, message.targetIncarnation.value, service, zone, address,
        message.slots, message.connections, message.concurrencyLimit, message.stillInFlight);
}

model::OwnershipHandover decode(FieldReader& reader, const fbs::OwnershipHandover& message)
{
    return {
        .target = reader.name<TargetId>(message.target(), "OwnershipHandover.target"),
        .targetIncarnation = {message.target_incarnation()},
        .service = reader.name<ServiceName>(message.service(), "OwnershipHandover.service"),
        .zone = reader.name<ZoneName>(message.zone(), "OwnershipHandover.zone"),
        .address = decodeAddress(reader, message.address(), "OwnershipHandover.address"),
        .slots = message.slots(),
        .connections = message.connections(),
        .concurrencyLimit = message.concurrency_limit(),
        .stillInFlight = message.still_in_flight(),
    };
}

Offset<fbs::HandoverProgress> encode(Builder& builder, const model::HandoverProgress& message)
{
    const auto target = encodeName(builder, message.target);
    return fbs::CreateHandoverProgress(builder, target, message.targetIncarnation.value, message.stillInFlight);
}

model::HandoverProgress decode(FieldReader& reader, const fbs::HandoverProgress& message)
{
    return {
        .target = reader.name<TargetId>(message.target(), "HandoverProgress.target"),
        .targetIncarnation = {message.target_incarnation()},
        .stillInFlight = message.still_in_flight(),
    };
}

Offset<fbs::RowsRequest> encode(Builder& builder, const model::RowsRequest& /*message*/)
{
    return fbs::CreateRowsRequest(builder);
}

model::RowsRequest decode(FieldReader& /*reader*/, const fbs::RowsRequest& /*message*/) { return {}; }

Offset<fbs::RowsReply> encode(Builder& builder, const model::RowsReply& message)
{
    const auto rows = encodeTables<fbs::RouteRow>(builder, message.rows, encodeRouteRow);
    const fbs::LogPosition inForce = encodePosition(message.inForce);
    return fbs::CreateRowsReply(builder, &inForce, rows);
}

model::RowsReply decode(FieldReader& reader, const fbs::RowsReply& message)
{
    return {
        .inForce = decodePosition(message.in_force()),
        .rows = decodeTables<model::RouteRow>(reader, message.rows(), "RowsReply.rows", decodeRouteRow),
    };
}

} // namespace saltvane::wire
