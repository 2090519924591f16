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

constexpr size_t None = std::string_view::npos;

/// Goes over JSON text by its brackets and quotes alone; whoever parses the parts finds what else is wrong.
class PlanSplitter {
public:
    explicit PlanSplitter(std::string_view text)
        : text_(text)
    {
    }

    std::optional<PlanText> split()
    {
        if (!take('{'))
            return std::nullopt;
        do {
            if (!takeMember())
                return std::nullopt;
        } while (take(','));
        if (!take('}') || !routes_.isFound)
            return std::nullopt;
        return PlanText {.rest = rest(), .routes = std::move(routes_.items), .accounts = std::move(accounts_.items)};
    }

private:
    /// A list whose items are taken out.
    struct List {
        bool isFound = false;
        size_t begin = 0; ///< Of what is between its brackets.
        size_t end = 0;
        std::vector<std::string_view> items;
    };

    [[nodiscard]] std::string rest() const
    {
        std::array lists {&routes_, &accounts_};
        std::ranges::sort(lists, {}, &List::begin);
        std::string rest;
        size_t at = 0;
        for (const List* list : lists) {
            rest += text_.substr(at, list->begin - at);
            at = list->end;
        }
        return rest += text_.substr(at);
    }

    [[nodiscard]] char next()
    {
        at_ = text_.find_first_not_of(" \t\n\r", at_);
        if (at_ == None)
            at_ = text_.size();
        return at_ < text_.size() ? text_[at_] : '\0';
    }

    bool take(char expected)
    {
        if (next() != expected)
            return false;
        ++at_;
        return true;
    }

    bool takeMember()
    {
        if (next() != '"')
            return false;
        const size_t begin = at_ + 1;
        if (!skipString())
            return false;
        const std::string_view key = text_.substr(begin, at_ - 1 - begin);
        if (key.find('\\') != None || !take(':'))
            return false;
        if (key == "routes")
            return takeList(routes_);
        if (key == "client_accounts" && next() != 'n') // Null is no list.
            return takeList(accounts_);
        return skipValue();
    }

    bool takeList(List& list)
    {
        if (list.isFound || !take('['))
            return false;
        list.isFound = true;
        list.begin = at_;
        if (next() != ']') {
            do {
                if (next() != '{')
                    return false;
                const size_t begin = at_;
                if (!skipValue())
                    return false;
                list.items.push_back(text_.substr(begin, at_ - begin));
            } while (take(','));
        }
        if (next() != ']')
            return false;
        list.end = at_;
        ++at_;
        return true;
    }

    /// From a quote to behind the one that ends the string.
    bool skipString()
    {
        for (size_t quote = text_.find('"', at_ + 1); quote != None; quote = text_.find('"', quote + 1)) {
            size_t backslashes = 0;
            while (text_[quote - 1 - backslashes] == '\\')
                ++backslashes;
            if (backslashes % 2 != 0)
                continue;
            at_ = quote + 1;
            return true;
        }
        return false;
    }

    bool skipValue()
    {
        switch (next()) {
        case '"':
            return skipString();
        case '{':
        case '[':
            return skipBrackets();
        default:
            at_ = std::min(text_.find_first_of(",]} \t\n\r", at_), text_.size());
            return true;
        }
    }

    bool skipBrackets()
    {
        size_t depth = 0;
        while (at_ < text_.size()) {
            const char c = text_[at_];
            if (c == '"') {
                if (!skipString())
                    return false;
                continue;
            }
            ++at_;
            if (c == '{' || c == '[')
                ++depth;
            else if ((c == '}' || c == ']') && --depth == 0)
                return true;
        }
        return false;
    }

    std::string_view text_;
    size_t at_ = 0;
    List routes_;
    List accounts_;
};

} // namespace

std::optional<PlanText> splitPlanText(std::string_view text) { return PlanSplitter(text).split(); }

std::string withoutLists(std::string_view plan)
{
    std::optional<PlanText> split = splitPlanText(plan);
    return split ? std::move(split->rest) : std::string(plan);
}

} // namespace saltvane::settings
