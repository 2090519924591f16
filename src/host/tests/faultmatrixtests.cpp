/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/faultmatrix.h"

#include <fstream>
#include <set>
#include <sstream>

namespace saltvane::host {

using namespace fakes;

namespace {

constexpr Duration RecoveryTime = 15s;
constexpr double RequestsPerSecond = 40;

using Cell = std::pair<size_t, size_t>; ///< Fault, step.

std::vector<Cell> allCells()
{
    std::vector<Cell> cells;
    for (size_t fault = 0; fault < faults().size(); ++fault) {
        for (size_t step = 0; step < steps().size(); ++step)
            cells.emplace_back(fault, step);
    }
    return cells;
}

std::string identifier(std::string_view name)
{
    std::string result;
    bool isStart = true;
    for (const char c : name) {
        if (std::isalpha(static_cast<unsigned char>(c)) == 0) {
            isStart = c == ' ' || isStart;
            continue;
        }
        result += isStart ? static_cast<char>(std::toupper(static_cast<unsigned char>(c))) : c;
        isStart = false;
    }
    return result;
}

std::vector<std::string> cellsOfLine(const std::string& line)
{
    std::vector<std::string> cells;
    std::istringstream text(line);
    std::string cell;
    std::getline(text, cell, '|');
    while (std::getline(text, cell, '|')) {
        const size_t first = cell.find_first_not_of(' ');
        const size_t last = cell.find_last_not_of(' ');
        cells.push_back(first == std::string::npos ? "" : cell.substr(first, last - first + 1));
    }
    return cells;
}

/// Rows of the page's table with the header row first, without the separator row.
std::vector<std::vector<std::string>> tableOfThePage()
{
    std::ifstream page(SALTVANE_SOURCE_DIR "/docs/FAULT-MATRIX.md");
    std::vector<std::vector<std::string>> table;
    std::string line;
    while (std::getline(page, line)) {
        if (line.starts_with("|") && !line.starts_with("|-"))
            table.push_back(cellsOfLine(line));
    }
    return table;
}

class FaultMatrixTests : public ::testing::TestWithParam<Cell> { };

} // namespace

TEST_P(FaultMatrixTests, Holds)
{
    const auto [fault, step] = GetParam();
    ServingDeployment serving({.requestsPerSecond = RequestsPerSecond, .seed = 100 + fault * steps().size() + step});
    steps()[step].begin(serving);
    faults()[fault].inject(serving);
    serving.run(FaultDuration + 100ms);
    EXPECT_TRUE(serving.deployment.time().runUntil([&] { return serving.hasRecovered(); }, RecoveryTime))
        << serving.deployment.describe();
    const uint64_t answeredBefore = serving.load.record().answered;
    serving.run(1s);
    EXPECT_GT(serving.load.record().answered, answeredBefore) << serving.load.summary();
    serving.finish();
}

INSTANTIATE_TEST_SUITE_P(Cells, FaultMatrixTests, ::testing::ValuesIn(allCells()), [](const auto& cell) {
    return identifier(faults()[cell.param.first].name) + "When" + identifier(steps()[cell.param.second].name);
});

TEST(FaultMatrixPageTests, PageAndTestAgree)
{
    const std::vector<std::vector<std::string>> table = tableOfThePage();
    ASSERT_EQ(table.size(), faults().size() + 1);
    ASSERT_EQ(table.front().size(), steps().size() + 1);
    for (size_t step = 0; step < steps().size(); ++step)
        EXPECT_EQ(table.front()[step + 1], steps()[step].name);
    for (size_t fault = 0; fault < faults().size(); ++fault) {
        const std::vector<std::string>& row = table[fault + 1];
        ASSERT_EQ(row.size(), steps().size() + 1);
        EXPECT_EQ(row.front(), faults()[fault].name);
        for (size_t step = 0; step < steps().size(); ++step)
            EXPECT_EQ(row[step + 1], "holds") << faults()[fault].name << ", " << steps()[step].name;
    }
}

} // namespace saltvane::host
