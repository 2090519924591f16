/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "settings/internal/plantext.h"

#include "settings/routeplanformat.h"

#include <algorithm>
#include <array>

namespace saltvane::settings {

namespace {

constexpr size_t NotFound = std::string_view::npos;

/// Scans JSON text by its brackets and quotes only. Other errors are found when the parts are parsed.
class PlanSplitter {
public:
    explicit PlanSplitter(std::string_view text)
        : text_(text)
    {
    }

    std::optional<PlanText> split()
    {
        if (!consume('{'))
            return std::nullopt;
        do {
            if (!consumeMember())
                return std::nullopt;
        } while (consume(','));
        if (!consume('}') || !routes_.isFound)
            return std::nullopt;
        return PlanText {
            .remainder = remainder(), .routes = std::move(routes_.items), .accounts = std::move(accounts_.items)};
    }

private:
    /// A list whose items are split off.
    struct List {
        bool isFound = false;
        size_t begin = 0; ///< Offset of the text between the brackets.
        size_t end = 0;
        std::vector<std::string_view> items;
    };

    [[nodiscard]] std::string remainder() const
    {
        std::array lists {&routes_, &accounts_};
        std::ranges::sort(lists, {}, &List::begin);
        std::string remainder;
        size_t position = 0;
        for (const List* list : lists) {
            remainder += text_.substr(position, list->begin - position);
            position = list->end;
        }
        return remainder += text_.substr(position);
    }

    /// Skips white space. Returns the next character, or '\0' at the end.
    [[nodiscard]] char peek()
    {
        position_ = text_.find_first_not_of(" \t\n\r", position_);
        if (position_ == NotFound)
            position_ = text_.size();
        return position_ < text_.size() ? text_[position_] : '\0';
    }

    bool consume(char expected)
    {
        if (peek() != expected)
            return false;
        ++position_;
        return true;
    }

    bool consumeMember()
    {
        if (peek() != '"')
            return false;
        const size_t begin = position_ + 1;
        if (!skipString())
            return false;
        const std::string_view key = text_.substr(begin, position_ - 1 - begin);
        if (key.find('\\') != NotFound || !consume(':'))
            return false;
        if (key == "routes")
            return consumeList(routes_);
        if (key == "client_accounts" && peek() != 'n') // Null counts as no list.
            return consumeList(accounts_);
        return skipValue();
    }

    bool consumeList(List& list)
    {
        if (list.isFound || !consume('['))
            return false;
        list.isFound = true;
        list.begin = position_;
        if (peek() != ']') {
            do {
                if (peek() != '{')
                    return false;
                const size_t begin = position_;
                if (!skipValue())
                    return false;
                list.items.push_back(text_.substr(begin, position_ - begin));
            } while (consume(','));
        }
        if (peek() != ']')
            return false;
        list.end = position_;
        ++position_;
        return true;
    }

    /// Skips a string, from its opening quote to after the closing one.
    bool skipString()
    {
        for (size_t quote = text_.find('"', position_ + 1); quote != NotFound; quote = text_.find('"', quote + 1)) {
            size_t backslashes = 0;
            while (text_[quote - 1 - backslashes] == '\\')
                ++backslashes;
            if (backslashes % 2 != 0)
                continue;
            position_ = quote + 1;
            return true;
        }
        return false;
    }

    bool skipValue()
    {
        switch (peek()) {
        case '"':
            return skipString();
        case '{':
        case '[':
            return skipBrackets();
        default:
            position_ = std::min(text_.find_first_of(",]} \t\n\r", position_), text_.size());
            return true;
        }
    }

    bool skipBrackets()
    {
        size_t depth = 0;
        while (position_ < text_.size()) {
            const char c = text_[position_];
            if (c == '"') {
                if (!skipString())
                    return false;
                continue;
            }
            ++position_;
            if (c == '{' || c == '[')
                ++depth;
            else if ((c == '}' || c == ']') && --depth == 0)
                return true;
        }
        return false;
    }

    std::string_view text_;
    size_t position_ = 0;
    List routes_;
    List accounts_;
};

} // namespace

std::optional<PlanText> splitPlanText(std::string_view text) { return PlanSplitter(text).split(); }

std::string planWithoutLists(std::string_view plan)
{
    std::optional<PlanText> split = splitPlanText(plan);
    return split ? std::move(split->remainder) : std::string(plan);
}

} // namespace saltvane::settings
