/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "wire/internal/accountmessagecodec.h"

namespace saltvane::wire {

namespace {

Offset<fbs::AccountCreditAsk> encodeAsk(Builder& builder, const model::AccountCreditAsk& ask)
{
    const auto account = encodeName(builder, ask.account);
    return fbs::CreateAccountCreditAsk(builder, ask.ask, account, ask.credits);
}

model::AccountCreditAsk decodeAsk(FieldReader& reader, const fbs::AccountCreditAsk& ask)
{
    return {.ask = ask.ask(),
        .account = reader.name<model::ClientAccountName>(ask.account(), "AccountCreditAsk.account"),
        .credits = ask.credits()};
}

Offset<fbs::AccountCreditAnswer> encodeAnswer(Builder& builder, const model::AccountCreditAnswer& answer)
{
    return fbs::CreateAccountCreditAnswer(builder, answer.ask, answer.credits, encodeDuration(answer.retryAfter));
}

model::AccountCreditAnswer decodeAnswer(FieldReader& reader, const fbs::AccountCreditAnswer& answer)
{
    return {.ask = answer.ask(),
        .credits = answer.credits(),
        .retryAfter = reader.duration(answer.retry_after(), "AccountCreditAnswer.retryAfter")};
}

} // namespace

Offset<fbs::AccountCreditRequest> encode(Builder& builder, const model::AccountCreditRequest& message)
{
    return fbs::CreateAccountCreditRequest(
        builder, encodeTables<fbs::AccountCreditAsk>(builder, message.asks, encodeAsk));
}

Offset<fbs::AccountCreditReply> encode(Builder& builder, const model::AccountCreditReply& message)
{
    return fbs::CreateAccountCreditReply(
        builder, encodeTables<fbs::AccountCreditAnswer>(builder, message.answers, encodeAnswer));
}

model::AccountCreditRequest decode(FieldReader& reader, const fbs::AccountCreditRequest& message)
{
    return {
        .asks = decodeTables<model::AccountCreditAsk>(reader, message.asks(), "AccountCreditRequest.asks", decodeAsk)};
}

model::AccountCreditReply decode(FieldReader& reader, const fbs::AccountCreditReply& message)
{
    return {.answers = decodeTables<model::AccountCreditAnswer>(
                reader, message.answers(), "AccountCreditReply.answers", decodeAnswer)};
}

} // namespace saltvane::wire
