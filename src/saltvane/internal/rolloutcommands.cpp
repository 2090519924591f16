/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvane/internal/rolloutcommands.h"

#include "base/monotonicclock.h"
#include "saltvane/internal/controlclient.h"
#include "saltvane/internal/exitcodes.h"
#include "saltvane/internal/report.h"

#include <chrono>
#include <iostream>
#include <thread>

namespace saltvane::cli {

namespace {

constexpr std::chrono::milliseconds PollInterval {500};
constexpr const char* RolloutsPath = "/v1/rollouts";
constexpr std::string_view RunningState = "running";
constexpr std::string_view CompletedState = "completed";

std::string describe(const nlohmann::json& rollout)
{
    const std::string state = rollout.value("state", "");
    const std::string phase = state == RunningState ? " (" + rollout.value("phase", "") + ")" : "";
    return rollout.value("service", "") + ": " + rollout.value("to_version", "") + " " + state + phase;
}

/// Prints the rollout's state, each time it changes if the command waits. Returns the exit code.
int follow(const ControlClient& client, const std::string& service, const Arguments& arguments)
{
    const auto deadline = monotonicNow() + arguments.timeout;
    std::string lastLine;
    for (;;) {
        const auto rollout = client.get(std::string(RolloutsPath) + "/" + service);
        if (!rollout)
            return reportError(rollout.error());
        const std::string state = rollout.value().value("state", "");
        const std::string line = describe(rollout.value());
        if (!arguments.isJson && line != lastLine)
            std::cout << line << std::endl;
        lastLine = line;
        const bool isRunning = state == RunningState;
        const bool isLast = !arguments.isWaiting || !isRunning;
        if (isLast && arguments.isJson)
            std::cout << rollout.value().dump(2) << "\n";
        if (isLast)
            return isRunning || state == CompletedState ? ExitOk : ExitRefused;
        if (monotonicNow() > deadline)
            return ExitTimedOut;
        std::this_thread::sleep_for(PollInterval);
    }
}

} // namespace

int startRollout(const Arguments& arguments)
{
    constexpr size_t OperandCount = 2;
    if (arguments.operands.size() != OperandCount || arguments.timeLimit <= Duration::zero()) {
        std::cerr << "saltvane: rollout start takes a service, a version and --limit SECONDS\n";
        return ExitUsage;
    }
    const std::string& service = arguments.operands[0];
    const nlohmann::json order {
        {"service", service}, {"to_version", arguments.operands[1]}, {"duration_s", toSeconds(arguments.timeLimit)}};
    const ControlClient client(arguments.servers);
    const auto response = client.post(RolloutsPath, order);
    if (!response)
        return reportError(response.error());
    if (arguments.isWaiting)
        return follow(client, service, arguments);
    if (arguments.isJson)
        std::cout << response.value().dump(2) << "\n";
    else
        std::cout << "rollout ordered; follow it with: saltvane rollout status " << service << " --wait\n";
    return ExitOk;
}

int rolloutStatus(const Arguments& arguments)
{
    if (arguments.operands.size() != 1) {
        std::cerr << "saltvane: rollout status takes one service\n";
        return ExitUsage;
    }
    return follow(ControlClient(arguments.servers), arguments.operands.front(), arguments);
}

} // namespace saltvane::cli
