/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/recordseal.h"

#include "wire/framecodec.h"

#include <array>
#include <sodium.h>

namespace saltvane::net {

namespace {

static_assert(RecordSeal::TagBytes == crypto_onetimeauth_BYTES);
static_assert(LinkKeyBytes == crypto_stream_chacha20_KEYBYTES);

constexpr size_t MaxFrameHeaderBytes = 64; ///< Upper bound on a frame's bytes beside its envelope.
constexpr size_t MaxRecordBytes = wire::MaxFrameBytes + MaxFrameHeaderBytes;

} // namespace

RecordSeal::Tag RecordSeal::nextTag(std::string_view lengthAndFrame)
{
    const std::string nonce = encodeLinkInteger(number_, crypto_stream_chacha20_NONCEBYTES);
    ++number_;
    std::array<unsigned char, crypto_onetimeauth_KEYBYTES> oneTimeKey {};
    crypto_stream_chacha20(
        oneTimeKey.data(), oneTimeKey.size(), reinterpret_cast<const unsigned char*>(nonce.data()), key_.data());
    Tag tag {};
    crypto_onetimeauth(tag.data(), reinterpret_cast<const unsigned char*>(lengthAndFrame.data()), lengthAndFrame.size(),
        oneTimeKey.data());
    return tag;
}

void RecordSeal::seal(std::string_view frame, std::string& to)
{
    const size_t start = to.size();
    to += encodeLinkInteger(frame.size(), LengthBytes);
    to += frame;
    const Tag tag = nextTag(std::string_view(to).substr(start));
    to.append(reinterpret_cast<const char*>(tag.data()), tag.size());
}

RecordSeal::Opened RecordSeal::open(std::string_view bytes)
{
    if (bytes.size() < LengthBytes)
        return {};
    const uint64_t length = decodeLinkInteger(bytes.substr(0, LengthBytes));
    if (length > MaxRecordBytes)
        return {.result = OpenResult::TooLarge};
    const size_t size = LengthBytes + length + TagBytes;
    if (bytes.size() < size)
        return {};
    const Tag expected = nextTag(bytes.substr(0, LengthBytes + length));
    const auto* receivedTag = reinterpret_cast<const unsigned char*>(bytes.data() + LengthBytes + length);
    if (crypto_verify_16(expected.data(), receivedTag) != 0)
        return {.result = OpenResult::BadTag};
    return {.result = OpenResult::Opened, .frame = bytes.substr(LengthBytes, length), .size = size};
}

} // namespace saltvane::net
