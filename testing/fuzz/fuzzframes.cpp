/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "wire/framecodec.h"

#include <array>
#include <string>
#include <string_view>
#include <xxhash.h>

namespace {

/// Wraps an envelope in a frame with a valid length and checksum, so that the reader gets to parse it.
std::string framed(std::string_view envelope)
{
    constexpr size_t Alignment = 8;
    std::string padded(envelope);
    padded.resize((padded.size() + Alignment - 1) / Alignment * Alignment);
    std::string frame;
    const auto append = [&](uint64_t value, size_t bytes) {
        for (size_t i = 0; i < bytes; ++i)
            frame.push_back(static_cast<char>(value >> (8 * i)));
    };
    append(padded.size(), 4);
    append(XXH64(padded.data(), padded.size(), 0), 8);
    return frame + padded;
}

void readAll(std::string_view bytes)
{
    saltvane::wire::FrameReader reader;
    reader.append(bytes);
    for (auto message = reader.next(); message && message.value().has_value(); message = reader.next())
        (void)saltvane::wire::encodeFrame(*message.value());
}

} // namespace

/// Parses frames of other hosts: every message that can be read can also be encoded again.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string_view input(reinterpret_cast<const char*>(data), size);
    readAll(input);
    readAll(framed(input));
    return 0;
}
