/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/cbordocument.h"

#include <cstdint>

namespace saltvane::control {

namespace {

using Json = nlohmann::json;

/// Validates a document without building it. The parser recurses and allocates by the declared nesting and sizes, so
/// malicious input must be rejected first.
class LimitChecker final : public nlohmann::json_sax<Json> {
public:
    explicit LimitChecker(size_t inputSize)
        : inputSize_(inputSize)
    {
    }

    // The names are nlohmann::json_sax's. NOLINTBEGIN(readability-identifier-naming)
    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(number_integer_t /*value*/) override { return true; }
    bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
    bool string(string_t& /*value*/) override { return true; }
    bool binary(binary_t& /*value*/) override { return true; }
    bool start_object(size_t size) override { return enter(size); }
    bool key(string_t& /*value*/) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(size_t size) override { return enter(size); }
    bool end_array() override { return leave(); }
    bool parse_error(size_t /*position*/, const std::string& /*token*/, const Json::exception& /*error*/) override
    {
        return false;
    }
    // NOLINTEND(readability-identifier-naming)

private:
    static constexpr size_t MaxDepth = 8;
    static constexpr size_t UnknownSize = SIZE_MAX;

    bool enter(size_t size)
    {
        ++depth_;
        return depth_ <= MaxDepth && (size == UnknownSize || size <= inputSize_);
    }
    bool leave()
    {
        --depth_;
        return true;
    }

    size_t inputSize_;
    size_t depth_ = 0;
};

} // namespace

std::string encodeCbor(const Json& document)
{
    std::string bytes;
    Json::to_cbor(document, bytes);
    return bytes;
}

std::optional<Json> decodeCbor(std::string_view bytes)
{
    LimitChecker checker(bytes.size());
    if (!Json::sax_parse(bytes.begin(), bytes.end(), &checker, Json::input_format_t::cbor))
        return std::nullopt;
    Json document = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (document.is_discarded())
        return std::nullopt;
    return document;
}

} // namespace saltvane::control
