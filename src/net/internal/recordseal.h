/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/internal/linkkeys.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace saltvane::net {

/// Authenticates the records of one direction of a link. A record is the length (4 bytes, little endian), the frame and
/// a Poly1305 tag over both, whose one-time key depends on the record's number. Verification therefore fails for a
/// modified, repeated, missing or reordered record.
class RecordSeal {
public:
    static constexpr size_t LengthBytes = 4;
    static constexpr size_t TagBytes = 16;

    explicit RecordSeal(const LinkSecret& sessionKey)
        : key_(sessionKey)
    {
    }

    /// Appends the next record to `to`.
    void seal(std::string_view frame, std::string& to);

    enum class OpenResult { Opened, Incomplete, TooLarge, BadTag };
    struct Opened {
        OpenResult result = OpenResult::Incomplete;
        std::string_view frame; ///< Part of the bytes passed to open().
        size_t size = 0; ///< Bytes of the complete record.
    };
    /// Verifies the record at the beginning of `bytes`.
    [[nodiscard]] Opened open(std::string_view bytes);

private:
    using Tag = std::array<unsigned char, TagBytes>;
    [[nodiscard]] Tag nextTag(std::string_view lengthAndFrame);

    LinkSecret key_;
    uint64_t number_ = 0; ///< Number of the next record.
};

} // namespace saltvane::net
