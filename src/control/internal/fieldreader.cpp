/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/fieldreader.h"

namespace saltvane::control {

using Json = nlohmann::json;

const Json* FieldReader::find(const char* name)
{
    if (!isOk_)
        return nullptr;
    const auto found = object_.find(name);
    isOk_ = found != object_.end();
    return isOk_ ? &*found : nullptr;
}

FieldReader& FieldReader::read(const char* name, std::string& value)
{
    const Json* field = find(name);
    isOk_ = field && field->is_string();
    if (isOk_)
        value = field->get_ref<const std::string&>();
    return *this;
}

FieldReader& FieldReader::read(const char* name, uint64_t& value)
{
    const Json* field = find(name);
    isOk_ = field && field->is_number_unsigned();
    if (isOk_)
        value = field->get<uint64_t>();
    return *this;
}

FieldReader& FieldReader::read(const char* name, int64_t& value)
{
    const Json* field = find(name);
    const bool isTooLarge = field && field->is_number_unsigned() && field->get<uint64_t>() > INT64_MAX;
    isOk_ = field && field->is_number_integer() && !isTooLarge;
    if (isOk_)
        value = field->get<int64_t>();
    return *this;
}

FieldReader& FieldReader::read(const char* name, bool& value)
{
    const Json* field = find(name);
    isOk_ = field && field->is_boolean();
    if (isOk_)
        value = field->get<bool>();
    return *this;
}

std::string_view FieldReader::binary(const char* name)
{
    const Json* field = find(name);
    isOk_ = field && field->is_binary();
    if (!isOk_)
        return {};
    const Json::binary_t& bytes = field->get_binary();
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

const Json& FieldReader::array(const char* name)
{
    static const Json Empty = Json::array();
    const Json* field = find(name);
    isOk_ = field && field->is_array();
    return isOk_ ? *field : Empty;
}

} // namespace saltvane::control
