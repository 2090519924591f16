/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "wire/internal/fieldreader.h"

#include <cmath>

namespace saltvane::wire {

namespace {

/// How far a fraction may exceed 1 because of rounding errors.
constexpr double ShareTolerance = 1e-6;

} // namespace

void FieldReader::require(bool isValid, std::string_view field)
{
    if (!isValid && !badField_)
        badField_ = std::string(field);
}

bool FieldReader::consumeBudget(size_t size, std::string_view field)
{
    const bool isWithinBudget = size <= budget_;
    require(isWithinBudget, field);
    if (isWithinBudget)
        budget_ -= size;
    return isWithinBudget;
}

std::string FieldReader::text(const flatbuffers::String* value, std::string_view field)
{
    if (value == nullptr || !consumeBudget(value->size(), field))
        return {};
    return {value->c_str(), value->size()};
}

std::string FieldReader::bytes(const flatbuffers::Vector<uint8_t>* value, std::string_view field)
{
    if (value == nullptr || !consumeBudget(value->size(), field))
        return {};
    return {reinterpret_cast<const char*>(value->data()), value->size()};
}

Duration FieldReader::duration(int64_t nanoseconds, std::string_view field)
{
    require(nanoseconds >= 0, field);
    return Duration(nanoseconds);
}

double FieldReader::nonNegative(double value, std::string_view field)
{
    require(std::isfinite(value) && value >= 0, field);
    return value;
}

double FieldReader::fraction(double value, std::string_view field)
{
    require(value >= 0 && value <= 1 + ShareTolerance, field);
    return value;
}

} // namespace saltvane::wire
