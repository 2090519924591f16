/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "base/timetypes.h"
#include "wire/generated/saltvane_generated.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace saltvane::wire {

/// Maximum size in bytes of a name (host, zone, service, target and so on).
inline constexpr size_t MaxNameBytes = 1024;
/// Maximum size in bytes of an IP address as text.
inline constexpr size_t MaxIpBytes = 64;

/// Reads the fields of one verified envelope and records the first field whose value is out of range. Reading continues
/// after an error with harmless values, so that decoders need no error handling per field.
class FieldReader {
public:
    /// `budget`: maximum size in bytes of the decoded message. Fields of a FlatBuffer may overlap, so without this
    /// limit a small frame could decode into a large message. Frames made by encodeFrame() never decode to more than
    /// their size.
    explicit FieldReader(size_t budget)
        : budget_(budget)
    {
    }

    /// Name of the first invalid field; no value if all were valid so far.
    [[nodiscard]] const std::optional<std::string>& badField() const { return badField_; }

    /// Records the field as invalid unless `isValid`.
    void require(bool isValid, std::string_view field);
    /// Deducts `size` bytes from the budget. Returns false, and records the field, if the budget is too small.
    bool consumeBudget(size_t size, std::string_view field);

    /// Absent strings and vectors are read as empty ones.
    std::string text(const flatbuffers::String* value, std::string_view field);
    std::string bytes(const flatbuffers::Vector<uint8_t>* value, std::string_view field);
    template <typename NameType> NameType name(const flatbuffers::String* value, std::string_view field)
    {
        if (value == nullptr)
            return {};
        require(value->size() <= MaxNameBytes, field);
        return NameType(text(value, field));
    }

    /// Must not be negative.
    Duration duration(int64_t nanoseconds, std::string_view field);
    /// Must be finite and not negative.
    double nonNegative(double value, std::string_view field);
    /// Must be from 0 to 1, with a tolerance for rounding errors.
    double fraction(double value, std::string_view field);
    /// `last` is the greatest value of the enumeration. Enumerations begin with 0 and have no gaps.
    template <typename Enum, typename WireEnum> Enum enumerator(WireEnum value, Enum last, std::string_view field)
    {
        const auto number = static_cast<int>(value);
        if (number <= static_cast<int>(last))
            return static_cast<Enum>(number);
        require(false, field);
        return last;
    }

private:
    size_t budget_;
    std::optional<std::string> badField_;
};

} // namespace saltvane::wire
