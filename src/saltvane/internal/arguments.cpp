/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvane/internal/arguments.h"

#include "saltvane/internal/exitcodes.h"

#include <cstdlib>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

namespace saltvane::cli {

namespace {

constexpr const char* ServersVariable = "SALTVANE_SERVERS";

std::vector<std::string> serversFromEnvironment()
{
    std::vector<std::string> servers;
    const char* value = std::getenv(ServersVariable);
    if (!value)
        return servers;
    std::istringstream list(value);
    for (std::string server; std::getline(list, server, ',');)
        servers.push_back(server);
    return servers;
}

} // namespace

Result<Arguments, int> parseArguments(const std::string& command, std::vector<std::string> args)
{
    TCLAP::CmdLine commandLine("saltvane " + command, ' ', "", false);
    commandLine.setExceptionHandling(false);
    TCLAP::MultiArg<std::string> servers(
        "s", "server", "Entry address of a host; may be repeated", false, "ip:port", commandLine);
    TCLAP::ValueArg<std::string> operatorName(
        "o", "operator", "Name of the signing operator", false, "", "name", commandLine);
    TCLAP::ValueArg<std::string> keyPath(
        "k", "key", "File with the operator's secret key", false, "", "file", commandLine);
    TCLAP::ValueArg<uint64_t> toVersion("t", "to", "Version to go back to", false, 0, "version", commandLine);
    TCLAP::ValueArg<unsigned> timeout(
        "", "timeout", "Longest wait of --wait, seconds", false, 30, "seconds", commandLine);
    TCLAP::ValueArg<unsigned> timeLimit("", "limit",
        "Time after which a rollout that is not completed is rolled back, seconds", false, 0, "seconds", commandLine);
    TCLAP::SwitchArg json("", "json", "Answer in JSON", commandLine);
    TCLAP::SwitchArg wait("", "wait", "Follow until in force everywhere, or until the rollout has ended", commandLine);
    TCLAP::SwitchArg watch("", "watch", "Refresh every second until interrupted", commandLine);
    TCLAP::UnlabeledMultiArg<std::string> operands(
        "operands", "Files, versions or services", false, "operand", commandLine);
    args.insert(args.begin(), "saltvane " + command);
    try {
        commandLine.parse(args);
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "saltvane " << command << ": " << error.error() << " " << error.argId() << "\n";
        return ExitUsage;
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    }
    // TCLAP parses an unknown option as an operand, and most commands ignore operands.
    for (const std::string& operand : operands) {
        if (operand.size() > 1 && operand.starts_with('-')) {
            std::cerr << "saltvane " << command << ": unknown option " << operand << "\n";
            return ExitUsage;
        }
    }
    return Arguments {.operands = operands.getValue(),
        .servers = servers.getValue().empty() ? serversFromEnvironment() : servers.getValue(),
        .operatorName = operatorName.getValue(),
        .keyPath = keyPath.getValue(),
        .toVersion = toVersion.getValue(),
        .timeout = std::chrono::seconds(timeout.getValue()),
        .timeLimit = std::chrono::seconds(timeLimit.getValue()),
        .isJson = json.getValue(),
        .isWaiting = wait.getValue(),
        .isWatching = watch.getValue()};
}

} // namespace saltvane::cli
