/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/hostmessages.h"
#include "wire/internal/fieldreader.h"

#include <cstring>
#include <string>
#include <string_view>
#include <vector>

/// Codec functions that several message families share. Empty strings and vectors are omitted from the frame.
namespace saltvane::wire {

using Builder = flatbuffers::FlatBufferBuilder;
template <typename T> using Offset = flatbuffers::Offset<T>;
template <typename T> using OffsetVector = flatbuffers::Vector<Offset<T>>;

[[nodiscard]] inline Offset<flatbuffers::String> encodeText(Builder& builder, std::string_view text)
{
    return text.empty() ? Offset<flatbuffers::String>() : builder.CreateString(text.data(), text.size());
}

[[nodiscard]] inline Offset<flatbuffers::Vector<uint8_t>> encodeBytes(Builder& builder, std::string_view bytes)
{
    if (bytes.empty())
        return {};
    return builder.CreateVector(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
}

/// Reads an element of a vector of numbers at any alignment: the verifier does not check the alignment of 8-byte
/// elements, and a peer may send them misaligned.
template <typename T> [[nodiscard]] T elementAt(const flatbuffers::Vector<T>& vector, flatbuffers::uoffset_t index)
{
    T value {};
    std::memcpy(&value, vector.Data() + index * sizeof(T), sizeof(T));
    return flatbuffers::EndianScalar(value);
}

template <typename Tag> [[nodiscard]] Offset<flatbuffers::String> encodeName(Builder& builder, const Name<Tag>& name)
{
    return encodeText(builder, name.value());
}

template <typename Tag>
[[nodiscard]] Offset<OffsetVector<flatbuffers::String>> encodeNames(
    Builder& builder, const std::vector<Name<Tag>>& names)
{
    if (names.empty())
        return {};
    std::vector<Offset<flatbuffers::String>> offsets;
    offsets.reserve(names.size());
    for (const Name<Tag>& name : names)
        offsets.push_back(builder.CreateString(name.value()));
    return builder.CreateVector(offsets);
}

/// Encodes each item with `encodeItem(builder, item)`.
template <typename Wire, typename Item, typename Encoder>
[[nodiscard]] Offset<OffsetVector<Wire>> encodeTables(
    Builder& builder, const std::vector<Item>& items, Encoder encodeItem)
{
    if (items.empty())
        return {};
    std::vector<Offset<Wire>> offsets;
    offsets.reserve(items.size());
    for (const Item& item : items)
        offsets.push_back(encodeItem(builder, item));
    return builder.CreateVector(offsets);
}

/// A negative duration (a deadline that passed while the message was created) is sent as zero.
[[nodiscard]] inline int64_t encodeDuration(Duration duration) { return std::max<int64_t>(duration.count(), 0); }

[[nodiscard]] inline fbs::LogPosition encodePosition(const LogPosition& position)
{
    return {position.term.value, position.index.value};
}

[[nodiscard]] Offset<fbs::Address> encode(Builder& builder, const model::Address& address);

template <typename NameType>
[[nodiscard]] std::vector<NameType> decodeNames(
    FieldReader& reader, const OffsetVector<flatbuffers::String>* names, std::string_view field)
{
    std::vector<NameType> decoded;
    if (names == nullptr || !reader.consumeBudget(names->size() * sizeof(flatbuffers::uoffset_t), field))
        return decoded;
    decoded.reserve(names->size());
    for (const flatbuffers::String* name : *names)
        decoded.push_back(reader.name<NameType>(name, field));
    return decoded;
}

/// Decodes each table with `decodeItem(reader, table)`.
template <typename Item, typename Wire, typename Decoder>
[[nodiscard]] std::vector<Item> decodeTables(
    FieldReader& reader, const OffsetVector<Wire>* tables, std::string_view field, Decoder decodeItem)
{
    constexpr size_t MinTableBytes = sizeof(flatbuffers::uoffset_t) + sizeof(flatbuffers::soffset_t);
    std::vector<Item> decoded;
    if (tables == nullptr || !reader.consumeBudget(tables->size() * MinTableBytes, field))
        return decoded;
    decoded.reserve(tables->size());
    for (const Wire* table : *tables)
        decoded.push_back(decodeItem(reader, *table));
    return decoded;
}

[[nodiscard]] LogPosition decodePosition(const fbs::LogPosition* position);
/// Accepts an empty address, or an IP text with a port other than 0.
[[nodiscard]] model::Address decodeAddress(FieldReader& reader, const fbs::Address* address, std::string_view field);

} // namespace saltvane::wire
