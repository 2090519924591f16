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
#include <string>
#include <string_view>

namespace saltvane {

/// A value of a log line: whatever a caller chose to put into it, it stays one word. Empty becomes "-".
[[nodiscard]] std::string logWord(std::string_view text);

/// In the shortest form that reads back as the same number.
[[nodiscard]] std::string decimalText(double number);

/// The text of one log line: key=value pairs in the order they were added.
class LogText {
public:
    explicit LogText(std::string_view event)
        : text_("event=" + std::string(event))
    {
    }

    /// Whatever the value holds, it stays one word.
    LogText& add(std::string_view key, std::string_view value)
    {
        text_.append(" ").append(key).append("=").append(logWord(value));
        return *this;
    }
    template <std::integral Number> LogText& add(std::string_view key, Number value)
    {
        return add(key, std::string_view(std::to_string(value)));
    }
    LogText& addMilliseconds(std::string_view key, Duration value)
    {
        // Stands for "never", or for as long.
        constexpr int64_t Most = 999'999;
        return add(key, std::min(std::chrono::round<std::chrono::milliseconds>(value).count(), Most));
    }

    [[nodiscard]] const std::string& text() const { return text_; }

private:
    std::string text_;
};

} // namespace saltvane
