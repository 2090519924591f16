/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "wire/internal/peermessagecodec.h"

namespace saltvane::wire {

namespace {

Offset<fbs::PeerRecord> encodeRecord(Builder& builder, const model::PeerRecord& record)
{
    const auto host = encodeName(builder, record.host);
    const auto zone = encodeName(builder, record.zone);
    const auto region = encodeName(builder, record.region);
    return fbs::CreatePeerRecord(builder, host, zone, region, encode(builder, record.frontAddress));
}

model::PeerRecord decodeRecord(FieldReader& reader, const fbs::PeerRecord& record)
{
    model::PeerRecord decoded {.host = reader.name<HostId>(record.host(), "PeerRecord.host"),
        .zone = reader.name<ZoneName>(record.zone(), "PeerRecord.zone"),
        .region = reader.name<RegionName>(record.region(), "PeerRecord.region"),
        .frontAddress = decodeAddress(reader, record.front_address(), "PeerRecord.frontAddress")};
    reader.require(!decoded.host.isEmpty(), "PeerRecord.host");
    return decoded;
}

} // namespace

Offset<fbs::PeerRequest> encode(Builder& builder, const model::PeerRequest& /*message*/)
{
    return fbs::CreatePeerRequest(builder);
}

Offset<fbs::PeerReport> encode(Builder& builder, const model::PeerReport& message)
{
    return fbs::CreatePeerReport(builder, encodeTables<fbs::PeerRecord>(builder, message.peers, encodeRecord));
}

model::PeerRequest decode(FieldReader& /*reader*/, const fbs::PeerRequest& /*message*/) { return {}; }

model::PeerReport decode(FieldReader& reader, const fbs::PeerReport& message)
{
    return {.peers = decodeTables<model::PeerRecord>(reader, message.peers(), "PeerReport.peers", decodeRecord)};
}

} // namespace saltvane::wire
