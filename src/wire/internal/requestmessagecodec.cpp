/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "wire/internal/requestmessagecodec.h"

#include <limits>

namespace saltvane::wire {

static_assert(static_cast<int>(fbs::Reason::MAX) + 1 == static_cast<int>(model::Reason::Count));
static_assert(static_cast<int>(fbs::Outcome::MAX) == static_cast<int>(model::Outcome::Unknown));
static_assert(static_cast<int>(fbs::Direction::MAX) == static_cast<int>(model::Direction::ToClient));
static_assert(static_cast<int>(fbs::ForwardPurpose::MAX) == static_cast<int>(model::ForwardPurpose::Mint));
static_assert(static_cast<int>(fbs::ClaimResult::MAX) == static_cast<int>(model::ClaimResult::NoQuorum));

namespace {

constexpr auto LastReason = static_cast<model::Reason>(static_cast<int>(model::Reason::Count) - 1);
/// Limit for the lengths, offsets and windows of bodies, so that the sum of two cannot overflow.
constexpr uint64_t MaxBodyOffset = std::numeric_limits<uint64_t>::max() / 4;
constexpr int MinStatus = 100;
constexpr int MaxStatus = 999;

Offset<fbs::Header> encodeHeader(Builder& builder, const model::Header& header)
{
    const auto name = encodeText(builder, header.name);
    const auto value = encodeText(builder, header.value);
    return fbs::CreateHeader(builder, name, value);
}

model::Header decodeHeader(FieldReader& reader, const fbs::Header& header)
{
    return {
        .name = reader.text(header.name(), "Header.name"),
        .value = reader.text(header.value(), "Header.value"),
    };
}

uint64_t checkedBodyOffset(FieldReader& reader, uint64_t value, std::string_view field)
{
    reader.require(value <= MaxBodyOffset, field);
    return value;
}

std::optional<uint64_t> checkedBodyLength(
    FieldReader& reader, const std::optional<uint64_t>& value, std::string_view field)
{
    if (value)
        reader.require(*value <= MaxBodyOffset, field);
    return value;
}

} // namespace

Offset<fbs::ForwardRequest> encode(Builder& builder, const model::ForwardRequest& message)
{
    const auto request = encodeName(builder, message.request);
    const auto service = encodeName(builder, message.service);
    const auto region = encodeName(builder, message.clientRegion);
    const auto method = encodeText(builder, message.method);
    const auto path = encodeText(builder, message.path);
    const auto headers = encodeTables<fbs::Header>(builder, message.headers, encodeHeader);
    const auto key = encodeText(builder, message.idempotencyKey);
    const auto excluded = encodeNames(builder, message.excludedTargets);
    return fbs::CreateForwardRequest(builder, message.correlation.value,
        static_cast<fbs::ForwardPurpose>(message.purpose), request, service, region, method, path, headers,
        message.bodyLength, encodeDuration(message.deadline), message.isRepeatable, key, excluded);
}

model::ForwardRequest decode(FieldReader& reader, const fbs::ForwardRequest& message)
{
    model::ForwardRequest decoded {
        .correlation = {message.correlation()},
        .purpose = reader.enumerator(message.purpose(), model::ForwardPurpose::Mint, "ForwardRequest.purpose"),
        .request = reader.name<RequestId>(message.request(), "ForwardRequest.request"),
        .service = reader.name<ServiceName>(message.service(), "ForwardRequest.service"),
        .clientRegion = reader.name<RegionName>(message.client_region(), "ForwardRequest.clientRegion"),
        .method = reader.text(message.method(), "ForwardRequest.method"),
        .path = reader.text(message.path(), "ForwardRequest.path"),
    };
    decoded.headers = decodeTables<model::Header>(reader, message.headers(), "ForwardRequest.headers", decodeHeader);
    decoded.bodyLength = checkedBodyLength(reader, message.body_length(), "ForwardRequest.bodyLength");
    decoded.deadline = reader.duration(message.deadline(), "ForwardRequest.deadline");
    decoded.isRepeatable = message.is_repeatable();
    decoded.idempotencyKey = reader.text(message.idempotency_key(), "ForwardRequest.idempotencyKey");
    decoded.excludedTargets
        = decodeNames<TargetId>(reader, message.excluded_targets(), "ForwardRequest.excludedTargets");
    return decoded;
}

Offset<fbs::ForwardBody> encode(Builder& builder, const model::ForwardBody& message)
{
    const auto bytes = encodeBytes(builder, message.bytes);
    return fbs::CreateForwardBody(builder, message.correlation.value, static_cast<fbs::Direction>(message.direction),
        message.offset, bytes, message.isLast);
}

model::ForwardBody decode(FieldReader& reader, const fbs::ForwardBody& message)
{
    return {
        .correlation = {message.correlation()},
        .direction = reader.enumerator(message.direction(), model::Direction::ToClient, "ForwardBody.direction"),
        .offset = checkedBodyOffset(reader, message.offset(), "ForwardBody.offset"),
        .bytes = reader.bytes(message.bytes(), "ForwardBody.bytes"),
        .isLast = message.is_last(),
    };
}

Offset<fbs::ForwardWindow> encode(Builder& builder, const model::ForwardWindow& message)
{
    return fbs::CreateForwardWindow(
        builder, message.correlation.value, static_cast<fbs::Direction>(message.direction), message.bytes);
}

model::ForwardWindow decode(FieldReader& reader, const fbs::ForwardWindow& message)
{
    return {
        .correlation = {message.correlation()},
        .direction = reader.enumerator(message.direction(), model::Direction::ToClient, "ForwardWindow.direction"),
        .bytes = checkedBodyOffset(reader, message.bytes(), "ForwardWindow.bytes"),
    };
}

Offset<fbs::ForwardResponseHead> encode(Builder& builder, const model::ForwardResponseHead& message)
{
    const auto headers = encodeTables<fbs::Header>(builder, message.headers, encodeHeader);
    const auto target = encodeName(builder, message.target);
    return fbs::CreateForwardResponseHead(
        builder, message.correlation.value, static_cast<uint16_t>(message.status), headers, message.bodyLength, target);
}

model::ForwardResponseHead decode(FieldReader& reader, const fbs::ForwardResponseHead& message)
{
    const int status = message.status();
    reader.require(status >= MinStatus && status <= MaxStatus, "ForwardResponseHead.status");
    return {
        .correlation = {message.correlation()},
        .status = status,
        .headers = decodeTables<model::Header>(reader, message.headers(), "ForwardResponseHead.headers", decodeHeader),
        .bodyLength = checkedBodyLength(reader, message.body_length(), "ForwardResponseHead.bodyLength"),
        .target = reader.name<TargetId>(message.target(), "ForwardResponseHead.target"),
    };
}

Offset<fbs::ForwardEnd> encode(Builder& builder, const model::ForwardEnd& message)
{
    const auto target = encodeName(builder, message.target);
    return fbs::CreateForwardEnd(builder, message.correlation.value, static_cast<fbs::Outcome>(message.outcome),
        static_cast<fbs::Reason>(message.reason), encodeDuration(message.retryAfter), target, message.tries);
}

model::ForwardEnd decode(FieldReader& reader, const fbs::ForwardEnd& message)
{
    return {
        .correlation = {message.correlation()},
        .outcome = reader.enumerator(message.outcome(), model::Outcome::Unknown, "ForwardEnd.outcome"),
        .reason = reader.enumerator(message.reason(), LastReason, "ForwardEnd.reason"),
        .retryAfter = reader.duration(message.retry_after(), "ForwardEnd.retryAfter"),
        .target = reader.name<TargetId>(message.target(), "ForwardEnd.target"),
        .tries = message.tries(),
    };
}

Offset<fbs::ForwardCancel> encode(Builder& builder, const model::ForwardCancel& message)
{
    return fbs::CreateForwardCancel(builder, message.correlation.value, static_cast<fbs::Reason>(message.reason));
}

model::ForwardCancel decode(FieldReader& reader, const fbs::ForwardCancel& message)
{
    return {
        .correlation = {message.correlation()},
        .reason = reader.enumerator(message.reason(), LastReason, "ForwardCancel.reason"),
    };
}

Offset<fbs::ClaimRequest> encode(Builder& builder, const model::ClaimRequest& message)
{
    const auto service = encodeName(builder, message.service);
    const auto key = encodeText(builder, message.key);
    return fbs::CreateClaimRequest(
        builder, message.claim, service, key, message.fingerprint, encodeDuration(message.retention));
}

model::ClaimRequest decode(FieldReader& reader, const fbs::ClaimRequest& message)
{
    return {
        .claim = message.claim(),
        .service = reader.name<ServiceName>(message.service(), "ClaimRequest.service"),
        .key = reader.text(message.key(), "ClaimRequest.key"),
        .fingerprint = message.fingerprint(),
        .retention = reader.duration(message.retention(), "ClaimRequest.retention"),
    };
}

Offset<fbs::ClaimReply> encode(Builder& builder, const model::ClaimReply& message)
{
    const auto holder = encodeName(builder, message.holder);
    return fbs::CreateClaimReply(
        builder, message.claim, static_cast<fbs::ClaimResult>(message.result), holder, message.holderIncarnation.value);
}

model::ClaimReply decode(FieldReader& reader, const fbs::ClaimReply& message)
{
    return {
        .claim = message.claim(),
        .result = reader.enumerator(message.result(), model::ClaimResult::NoQuorum, "ClaimReply.result"),
        .holder = reader.name<HostId>(message.holder(), "ClaimReply.holder"),
        .holderIncarnation = {message.holder_incarnation()},
    };
}

} // namespace saltvane::wire
