/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace saltvane {

/// A value, or the error that prevented it.
template <typename T, typename E> class Result {
public:
    Result(T value) // NOLINT(google-explicit-constructor): allows `return value;`
        : state_(std::in_place_index<0>, std::move(value))
    {
    }
    Result(E error) // NOLINT(google-explicit-constructor)
        : state_(std::in_place_index<1>, std::move(error))
    {
    }

    [[nodiscard]] bool isOk() const { return state_.index() == 0; }
    [[nodiscard]] const T& value() const { return std::get<0>(state_); }
    [[nodiscard]] T& value() { return std::get<0>(state_); }
    [[nodiscard]] const E& error() const { return std::get<1>(state_); }
    explicit operator bool() const { return isOk(); }

private:
    std::variant<T, E> state_;
};

/// Success without a value.
struct Success { };

/// Error of an operation outside the process, with the path, address or library that it concerns.
struct IoError {
    std::string location;
    std::string message;
    int code = 0;
};

} // namespace saltvane
