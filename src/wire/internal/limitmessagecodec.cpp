/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "wire/internal/limitmessagecodec.h"

namespace saltvane::wire {

namespace {

Offset<fbs::LimitCreditAsk> encodeAsk(Builder& builder, const model::LimitCreditAsk& ask)
{
    const auto limit = encodeName(builder, ask.limit);
    return fbs::CreateLimitCreditAsk(builder, ask.ask, limit, ask.credits);
}

model::LimitCreditAsk decodeAsk(FieldReader& reader, const fbs::LimitCreditAsk& ask)
{
    return {.ask = ask.ask(),
        .limit = model::LimitId(reader.text(ask.limit(), "LimitCreditAsk.limit")),
        .credits = ask.credits()};
}

Offset<fbs::AccountLimitNotice> encodeAccountLimit(Builder& builder, const model::AccountLimitNotice& notice)
{
    const auto limit = encodeName(builder, notice.limit);
    const fbs::LogPosition plan = encodePosition(notice.plan);
    return fbs::CreateAccountLimitNotice(builder, limit, notice.rate.perSecond, notice.rate.burst, &plan);
}

model::AccountLimitNotice decodeAccountLimit(FieldReader& reader, const fbs::AccountLimitNotice& notice)
{
    return {.limit = model::LimitId(reader.text(notice.limit(), "AccountLimitNotice.limit")),
        .rate = {.perSecond = reader.nonNegative(notice.per_second(), "AccountLimitNotice.perSecond"),
            .burst = reader.nonNegative(notice.burst(), "AccountLimitNotice.burst")},
        .plan = decodePosition(notice.plan())};
}

Offset<fbs::LimitCreditAnswer> encodeAnswer(Builder& builder, const model::LimitCreditAnswer& answer)
{
    return fbs::CreateLimitCreditAnswer(builder, answer.ask, answer.credits, encodeDuration(answer.retryAfter));
}

model::LimitCreditAnswer decodeAnswer(FieldReader& reader, const fbs::LimitCreditAnswer& answer)
{
    return {.ask = answer.ask(),
        .credits = answer.credits(),
        .retryAfter = reader.duration(answer.retry_after(), "LimitCreditAnswer.retryAfter")};
}

Offset<fbs::BackpressureNotice> encodeNotice(Builder& builder, const model::BackpressureNotice& notice)
{
    const auto target = encodeName(builder, notice.target.target);
    return fbs::CreateBackpressureNotice(builder, target, notice.target.incarnation.value, notice.limit.has_value(),
        notice.limit.value_or(0), encodeDuration(notice.age));
}

model::BackpressureNotice decodeNotice(FieldReader& reader, const fbs::BackpressureNotice& notice)
{
    model::BackpressureNotice decoded {
        .target = {.target = reader.name<TargetId>(notice.target(), "BackpressureNotice.target"),
            .incarnation = {notice.incarnation()}},
        .age = reader.duration(notice.age(), "BackpressureNotice.age")};
    const double limit = reader.nonNegative(notice.limit(), "BackpressureNotice.limit");
    if (notice.is_limited())
        decoded.limit = limit;
    reader.require(!decoded.target.target.isEmpty(), "BackpressureNotice.target");
    return decoded;
}

} // namespace

Offset<fbs::LimitCreditRequest> encode(Builder& builder, const model::LimitCreditRequest& message)
{
    const auto asks = encodeTables<fbs::LimitCreditAsk>(builder, message.asks, encodeAsk);
    const auto accountLimits
        = encodeTables<fbs::AccountLimitNotice>(builder, message.accountLimits, encodeAccountLimit);
    const auto targetLimits = encodeTables<fbs::BackpressureNotice>(builder, message.targetLimits, encodeNotice);
    return fbs::CreateLimitCreditRequest(builder, asks, accountLimits, targetLimits);
}

Offset<fbs::LimitCreditReply> encode(Builder& builder, const model::LimitCreditReply& message)
{
    return fbs::CreateLimitCreditReply(
        builder, encodeTables<fbs::LimitCreditAnswer>(builder, message.answers, encodeAnswer));
}

model::LimitCreditRequest decode(FieldReader& reader, const fbs::LimitCreditRequest& message)
{
    return {.asks = decodeTables<model::LimitCreditAsk>(reader, message.asks(), "LimitCreditRequest.asks", decodeAsk),
        .accountLimits = decodeTables<model::AccountLimitNotice>(
            reader, message.account_limits(), "LimitCreditRequest.accountLimits", decodeAccountLimit),
        .targetLimits = decodeTables<model::BackpressureNotice>(
            reader, message.target_limits(), "LimitCreditRequest.targetLimits", decodeNotice)};
}

model::LimitCreditReply decode(FieldReader& reader, const fbs::LimitCreditReply& message)
{
    return {.answers
        = decodeTables<model::LimitCreditAnswer>(reader, message.answers(), "LimitCreditReply.answers", decodeAnswer)};
}

Offset<fbs::BackpressureReport> encode(Builder& builder, const model::BackpressureReport& message)
{
    return fbs::CreateBackpressureReport(
        builder, encodeTables<fbs::BackpressureNotice>(builder, message.notices, encodeNotice));
}

model::BackpressureReport decode(FieldReader& reader, const fbs::BackpressureReport& message)
{
    return {.notices = decodeTables<model::BackpressureNotice>(
                reader, message.notices(), "BackpressureReport.notices", decodeNotice)};
}

} // namespace saltvane::wire
