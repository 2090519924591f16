/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvane/internal/checkcommands.h"

#include "saltvane/internal/exitcodes.h"
#include "saltvane/internal/signer.h"
#include "settings/hostsettings.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace saltvane::cli {

namespace {

nlohmann::json toJson(const Finding& finding)
{
    return {{"source", finding.location.source}, {"line", finding.location.line}, {"column", finding.location.column},
        {"field", finding.field}, {"message", finding.message}};
}

void printFindings(const std::vector<Finding>& findings, bool isJson)
{
    if (isJson) {
        nlohmann::json list = nlohmann::json::array();
        for (const Finding& finding : findings)
            list.push_back(toJson(finding));
        std::cout << nlohmann::json {{"findings", list}}.dump(2) << "\n";
        return;
    }
    for (const Finding& finding : findings)
        std::cerr << toString(finding) << "\n";
}

template <typename LoadFunction> int checkFiles(const Arguments& arguments, LoadFunction load)
{
    if (arguments.operands.empty()) {
        std::cerr << "saltvane: name at least one file\n";
        return ExitUsage;
    }
    std::vector<Finding> findings;
    for (const std::string& path : arguments.operands) {
        const auto result = load(path);
        if (!result) {
            findings.insert(findings.end(), result.error().items().begin(), result.error().items().end());
            continue;
        }
        if (!arguments.isJson)
            std::cout << path << ": ok\n";
    }
    if (arguments.isJson || !findings.empty())
        printFindings(findings, arguments.isJson);
    return findings.empty() ? ExitOk : ExitUsage;
}

} // namespace

int checkHosts(const Arguments& arguments)
{
    return checkFiles(arguments, [](const std::string& path) { return settings::loadHostSettings(path); });
}

int checkBundles(const Arguments& arguments)
{
    return checkFiles(arguments, [](const std::string& path) { return settings::loadBundle(path); });
}

int newKey(const Arguments& arguments)
{
    if (arguments.operands.size() != 1) {
        std::cerr << "saltvane: key new takes one file\n";
        return ExitUsage;
    }
    const Result<std::string, IoError> publicKey = Signer::createKeyFile(arguments.operands.front());
    if (!publicKey) {
        std::cerr << "saltvane: " << publicKey.error().location << ": " << publicKey.error().message << "\n";
        return ExitUsage;
    }
    std::cout << "public_key: " << publicKey.value() << "\n";
    return ExitOk;
}

} // namespace saltvane::cli
