/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/record.h"

#include "net/internal/linkhello.h"

#include <xxhash.h>

namespace saltvane::net {

namespace {

constexpr std::string_view Magic = "SVR1";
constexpr size_t LengthBytes = 4;
constexpr size_t ChecksumBytes = 8;
constexpr size_t LengthOffset = 4;
constexpr size_t ChecksumOffset = LengthOffset + LengthBytes;
static_assert(ChecksumOffset + ChecksumBytes == RecordHeaderBytes);

uint64_t checksumOf(const RecordPosition& position, std::string_view length, std::string_view payload)
{
    const XXH64_hash_t seed = XXH64(&position.offset, sizeof(position.offset), position.file);
    const XXH64_hash_t ofLength = XXH64(length.data(), length.size(), seed);
    return XXH64(payload.data(), payload.size(), ofLength);
}

} // namespace

std::string encodeRecord(const RecordPosition& position, std::string_view payload)
{
    const std::string length = encodeLinkInteger(payload.size(), LengthBytes);
    std::string record(Magic);
    record.reserve(RecordHeaderBytes + payload.size());
    record += length;
    record += encodeLinkInteger(checksumOf(position, length, payload), ChecksumBytes);
    record += payload;
    return record;
}

std::optional<std::string_view> recordAt(std::string_view file, const RecordPosition& position)
{
    if (file.size() < position.offset + RecordHeaderBytes)
        return std::nullopt;
    const std::string_view rest = file.substr(position.offset);
    if (!rest.starts_with(Magic))
        return std::nullopt;
    const std::string_view length = rest.substr(LengthOffset, LengthBytes);
    const uint64_t size = decodeLinkInteger(length);
    if (size > MaxRecordPayloadBytes || rest.size() - RecordHeaderBytes < size)
        return std::nullopt;
    const std::string_view payload = rest.substr(RecordHeaderBytes, size);
    if (decodeLinkInteger(rest.substr(ChecksumOffset, ChecksumBytes)) != checksumOf(position, length, payload))
        return std::nullopt;
    return payload;
}

bool hasRecordFrom(std::string_view file, RecordPosition position)
{
    while (true) {
        const size_t found = file.find(Magic, position.offset);
        if (found == std::string_view::npos)
            return false;
        position.offset = found;
        if (recordAt(file, position))
            return true;
        ++position.offset;
    }
}

} // namespace saltvane::net
