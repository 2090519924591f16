/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace saltvane {

/// Sanitizes a value for a key=value log line, so that untrusted text can't add fields or lines: whitespace, control
/// and non-ASCII characters, '"' and '=' become '_'. An empty text becomes "-".
[[nodiscard]] std::string logValue(std::string_view text);

/// The shortest decimal text that parses back to the same number.
[[nodiscard]] std::string shortestDecimal(double number);

/// The text of one log line: key=value pairs in the order they were added.
class LogText {
public:
    explicit LogText(std::string_view event)
        : text_("event=" + std::string(event))
    {
    }

    /// The value is sanitized by logValue().
    LogText& add(std::string_view key, std::string_view value)
    {
        text_.append(" ").append(key).append("=").append(logValue(value));
        return *this;
    }
    template <std::integral Number> LogText& add(std::string_view key, Number value)
    {
        return add(key, std::string_view(std::to_string(value)));
    }
    LogText& addMilliseconds(std::string_view key, Duration value)
    {
        // Also stands for "never".
        constexpr int64_t MaxMilliseconds = 999'999;
        return add(key, std::min(std::chrono::round<std::chrono::milliseconds>(value).count(), MaxMilliseconds));
    }

    /// Without a value the field is empty.
    LogText& addMilliseconds(std::string_view key, const std::optional<Duration>& value)
    {
        return value ? addMilliseconds(key, *value) : add(key, "");
    }

    [[nodiscard]] const std::string& text() const { return text_; }

private:
    std::string text_;
};

} // namespace saltvane
