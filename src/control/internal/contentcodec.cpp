/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/contentcodec.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <zstd.h>

namespace saltvane::control {

namespace {

/// Higher levels do not compress plans further: names are random, and level 1 finds all repetitions.
constexpr int CompressionLevel = 1;
constexpr int MinWindowLog = 17; ///< Binary logarithm of bytes.
constexpr int MaxWindowLog = 23; ///< Binary logarithm of bytes; spans two contents of the maximum size.

using Compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using Decompressor = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

} // namespace

std::string compressContent(std::string_view content, std::string_view base)
{
    const Compressor context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    const int window
        = std::clamp(static_cast<int>(std::bit_width(content.size() + base.size())), MinWindowLog, MaxWindowLog);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, CompressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1); // Lets the decoder detect a wrong base.
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string compressed(ZSTD_compressBound(content.size()), '\0');
    // Cannot fail: the buffer is large enough and the parameters are valid.
    const size_t size
        = ZSTD_compress2(context.get(), compressed.data(), compressed.size(), content.data(), content.size());
    compressed.resize(size);
    return compressed;
}

std::optional<std::string> decompressContent(std::string_view compressed, std::string_view base, size_t maxBytes)
{
    const unsigned long long size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > maxBytes)
        return std::nullopt;
    const Decompressor context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string content(size, '\0');
    const size_t decoded
        = ZSTD_decompressDCtx(context.get(), content.data(), content.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(decoded) != 0 || decoded != size)
        return std::nullopt;
    return content;
}

} // namespace saltvane::control
