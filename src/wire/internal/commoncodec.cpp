/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "wire/internal/commoncodec.h"

namespace saltvane::wire {

Offset<fbs::Address> encode(Builder& builder, const model::Address& address)
{
    const auto ip = encodeText(builder, address.ip);
    return fbs::CreateAddress(builder, ip, address.port);
}

LogPosition decodePosition(const fbs::LogPosition* position)
{
    if (position == nullptr)
        return {};
    return {.term = {position->term()}, .index = {position->index()}};
}

model::Address decodeAddress(FieldReader& reader, const fbs::Address* address, std::string_view field)
{
    if (address == nullptr)
        return {};
    model::Address decoded {.ip = reader.text(address->ip(), field), .port = address->port()};
    reader.require(decoded.ip.size() <= MaxIpBytes, field);
    reader.require(decoded.ip.empty() == (decoded.port == 0), field);
    return decoded;
}

} // namespace saltvane::wire
