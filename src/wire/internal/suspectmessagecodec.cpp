/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "wire/internal/suspectmessagecodec.h"

namespace saltvane::wire {

namespace {

Offset<fbs::TargetEnd> encodeEnd(Builder& builder, const model::TargetEnd& end)
{
    return fbs::CreateTargetEnd(
        builder, end.target, encodeDuration(end.sentAgo), encodeDuration(end.endedAgo), end.usualShare);
}

model::TargetEnd decodeEnd(FieldReader& reader, const fbs::TargetEnd& end)
{
    return {.target = end.target(),
        .sentAgo = reader.duration(end.sent_ago(), "TargetEnd.sentAgo"),
        .endedAgo = reader.duration(end.ended_ago(), "TargetEnd.endedAgo"),
        .usualShare = reader.fraction(end.usual_share(), "TargetEnd.usualShare")};
}

Offset<fbs::SuspectRequest> encodeRequest(Builder& builder, const model::SuspectRequest& request)
{
    const auto ends = encodeTables<fbs::TargetEnd>(builder, request.ends, encodeEnd);
    return fbs::CreateSuspectRequest(builder, request.digest.high, request.digest.low, request.epoch, request.isBlamed,
        request.trials, encodeDuration(request.restingFor), encodeDuration(request.askedAgo), ends);
}

model::SuspectRequest decodeRequest(FieldReader& reader, const fbs::SuspectRequest& request)
{
    return {.digest = {.high = request.digest_high(), .low = request.digest_low()},
        .epoch = request.epoch(),
        .isBlamed = request.is_blamed(),
        .trials = request.trials(),
        .restingFor = reader.duration(request.resting_for(), "SuspectRequest.restingFor"),
        .askedAgo = reader.duration(request.asked_ago(), "SuspectRequest.askedAgo"),
        .ends = decodeTables<model::TargetEnd>(reader, request.ends(), "SuspectRequest.ends", decodeEnd)};
}

} // namespace

Offset<fbs::SuspectReport> encode(Builder& builder, const model::SuspectReport& message)
{
    return fbs::CreateSuspectReport(
        builder, encodeTables<fbs::SuspectRequest>(builder, message.requests, encodeRequest));
}

model::SuspectReport decode(FieldReader& reader, const fbs::SuspectReport& message)
{
    return {.requests
        = decodeTables<model::SuspectRequest>(reader, message.requests(), "SuspectReport.requests", decodeRequest)};
}

} // namespace saltvane::wire
