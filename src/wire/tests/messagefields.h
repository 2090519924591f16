/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <cstddef>
#include <tuple>
#include <type_traits>
#include <utility>

/// Access to the fields of any message struct as a tuple of references, so that tests cover each new field
/// automatically.
namespace saltvane::wire {

/// Converts to the type of any field.
template <typename Whole> struct AnyField {
    template <typename Field>
    requires(!std::is_same_v<Field, Whole>)
    operator Field() const; // NOLINT(google-explicit-constructor): stands for a field of any type
};

template <typename Message, size_t... Is> constexpr bool takesFields(std::index_sequence<Is...> /*indices*/)
{
    return requires { Message {(static_cast<void>(Is), AnyField<Message> {})...}; };
}

template <typename Message, size_t Count = 16> constexpr size_t fieldCount()
{
    if constexpr (Count == 0 || takesFields<Message>(std::make_index_sequence<Count> {}))
        return Count;
    else
        return fieldCount<Message, Count - 1>();
}

template <typename Message> auto fieldsOf(const Message& m)
{
    constexpr size_t Count = fieldCount<Message>();
    static_assert(Count <= 14, "add a case");
    if constexpr (Count == 0) {
        return std::tie();
    } else if constexpr (Count == 1) {
        const auto& [a] = m;
        return std::tie(a);
    } else if constexpr (Count == 2) {
        const auto& [a, b] = m;
        return std::tie(a, b);
    } else if constexpr (Count == 3) {
        const auto& [a, b, c] = m;
        return std::tie(a, b, c);
    } else if constexpr (Count == 4) {
        const auto& [a, b, c, d] = m;
        return std::tie(a, b, c, d);
    } else if constexpr (Count == 5) {
        const auto& [a, b, c, d, e] = m;
        return std::tie(a, b, c, d, e);
    } else if constexpr (Count == 6) {
        const auto& [a, b, c, d, e, f] = m;
        return std::tie(a, b, c, d, e, f);
    } else if constexpr (Count == 7) {
        const auto& [a, b, c, d, e, f, g] = m;
        return std::tie(a, b, c, d, e, f, g);
    } else if constexpr (Count == 8) {
        const auto& [a, b, c, d, e, f, g, h] = m;
        return std::tie(a, b, c, d, e, f, g, h);
    } else if constexpr (Count == 9) {
        const auto& [a, b, c, d, e, f, g, h, i] = m;
        return std::tie(a, b, c, d, e, f, g, h, i);
    } else if constexpr (Count == 10) {
        const auto& [a, b, c, d, e, f, g, h, i, j] = m;
        return std::tie(a, b, c, d, e, f, g, h, i, j);
    } else if constexpr (Count == 11) {
        const auto& [a, b, c, d, e, f, g, h, i, j, k] = m;
        return std::tie(a, b, c, d, e, f, g, h, i, j, k);
    } else if constexpr (Count == 13) {
        const auto& [a, b, c, d, e, f, g, h, i, j, k, l, n] = m;
        return std::tie(a, b, c, d, e, f, g, h, i, j, k, l, n);
    } else if constexpr (Count == 14) {
        const auto& [a, b, c, d, e, f, g, h, i, j, k, l, n, o] = m;
        return std::tie(a, b, c, d, e, f, g, h, i, j, k, l, n, o);
    } else {
        static_assert(Count == 0, "add a case");
    }
}

/// Index of the first field that differs; the number of fields if none differs.
template <typename Message> size_t firstDifference(const Message& left, const Message& right)
{
    const auto compare = [&]<size_t... Is>(std::index_sequence<Is...> /*indices*/)
    {
        size_t index = 0;
        [[maybe_unused]] const auto leftFields = fieldsOf(left);
        [[maybe_unused]] const auto rightFields = fieldsOf(right);
        static_cast<void>(((std::get<Is>(leftFields) == std::get<Is>(rightFields) && (++index, true)) && ...));
        return index;
    };
    return compare(std::make_index_sequence<fieldCount<Message>()> {});
}

/// Index of the first field with its default value; the number of fields if all differ from their defaults.
template <typename Message> size_t firstDefault(const Message& message)
{
    const auto compare = [&]<size_t... Is>(std::index_sequence<Is...> /*indices*/)
    {
        size_t index = 0;
        const Message defaults {};
        [[maybe_unused]] const auto fields = fieldsOf(message);
        [[maybe_unused]] const auto defaultFields = fieldsOf(defaults);
        static_cast<void>((((std::get<Is>(fields) != std::get<Is>(defaultFields)) && (++index, true)) && ...));
        return index;
    };
    return compare(std::make_index_sequence<fieldCount<Message>()> {});
}

} // namespace saltvane::wire
