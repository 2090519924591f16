/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace saltvane::cli {

/// Table of text, each column as wide as its widest cell.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> titles);
    void add(std::vector<std::string> row);
    void print(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace saltvane::cli
