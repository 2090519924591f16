/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvane/internal/texttable.h"

#include <algorithm>
#include <utility>

namespace saltvane::cli {

namespace {

constexpr size_t ColumnGap = 2;

} // namespace

TextTable::TextTable(std::vector<std::string> titles)
    : rows_ {std::move(titles)}
{
}

void TextTable::add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

void TextTable::print(std::ostream& out) const
{
    std::vector<size_t> widths(rows_.front().size(), 0);
    for (const auto& row : rows_) {
        for (size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    for (const auto& row : rows_) {
        std::string line;
        for (size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            line.append(widths[column] + ColumnGap - row[column].size(), ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << "\n";
    }
}

} // namespace saltvane::cli
