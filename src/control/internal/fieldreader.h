/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace saltvane::control {

/// Reads the fields of a JSON object by name and exact type. After the first mismatch nothing more is read.
class FieldReader {
public:
    FieldReader(const nlohmann::json& object, size_t fieldCount)
        : object_(object)
        , isOk_(object.is_object() && object.size() == fieldCount)
    {
    }

    [[nodiscard]] bool isOk() const { return isOk_; }

    FieldReader& read(const char* name, std::string& value);
    FieldReader& read(const char* name, uint64_t& value);
    FieldReader& read(const char* name, int64_t& value);
    FieldReader& read(const char* name, bool& value);
    template <typename Tag> FieldReader& read(const char* name, Name<Tag>& value)
    {
        std::string text;
        read(name, text);
        value = Name<Tag>(std::move(text));
        return *this;
    }
    template <typename Tag> FieldReader& read(const char* name, Number<Tag>& value) { return read(name, value.value); }
    /// View of a binary field, valid as long as the object; empty if the field is missing or of another type.
    [[nodiscard]] std::string_view binary(const char* name);
    /// An array field; an empty array if the field is missing or of another type.
    [[nodiscard]] const nlohmann::json& array(const char* name);

private:
    [[nodiscard]] const nlohmann::json* find(const char* name);

    const nlohmann::json& object_;
    bool isOk_;
};

} // namespace saltvane::control
