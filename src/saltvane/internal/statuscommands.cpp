/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvane/internal/statuscommands.h"
#include "base/monotonicclock.h"

#include "saltvane/internal/controlclient.h"
#include "saltvane/internal/exitcodes.h"
#include "saltvane/internal/report.h"
#include "saltvane/internal/texttable.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <thread>

namespace saltvane::cli {

namespace {

constexpr std::chrono::seconds WatchInterval {1};
constexpr std::chrono::milliseconds WaitPollInterval {200};
constexpr const char* ClearScreen = "\x1b[H\x1b[2J";

const nlohmann::json EmptyList = nlohmann::json::array();

std::string formatNumber(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", value);
    return text;
}

std::string formatPercent(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.0f%%", value * 100);
    return text;
}

void printHosts(const nlohmann::json& status)
{
    TextTable table({"HOST", "ZONE", "STATE", "VERSION", "ADDRESS"});
    for (const nlohmann::json& host : status.value("hosts", EmptyList)) {
        table.add({host.value("host", ""), host.value("zone", ""), host.value("state", ""),
            std::to_string(host.value("bundle_version", uint64_t {0})), host.value("address", "")});
    }
    table.print(std::cout);
}

void printZones(const nlohmann::json& status)
{
    TextTable table({"SERVICE", "ZONE", "OPEN", "ROOM", "IN FLIGHT", "QUEUED"});
    for (const nlohmann::json& zone : status.value("zones", EmptyList)) {
        table.add({zone.value("service", ""), zone.value("zone", ""), formatPercent(zone.value("open_share", 0.0)),
            std::to_string(zone.value("room", 0)), std::to_string(zone.value("in_flight", 0)),
            std::to_string(zone.value("queued", 0))});
    }
    table.print(std::cout);
}

void printRows(const nlohmann::json& status)
{
    TextTable table({"SERVICE", "CLIENT REGION", "SHARES"});
    for (const nlohmann::json& row : status.value("rows", EmptyList)) {
        std::string shares;
        for (const nlohmann::json& zone : row.value("zones", EmptyList)) {
            if (zone.value("share", 0.0) > 0)
                shares += zone.value("zone", "") + "=" + formatNumber(zone.value("share", 0.0)) + " ";
        }
        table.add({row.value("service", ""), row.value("region", ""), shares});
    }
    table.print(std::cout);
}

void printCounts(const nlohmann::json& status, const char* field, const char* title)
{
    const nlohmann::json counts = status.value(field, nlohmann::json::object());
    std::string line;
    for (const auto& [reason, count] : counts.items()) {
        if (count.get<double>() > 0)
            line += " " + reason + "=" + count.dump();
    }
    std::cout << title << (line.empty() ? " none" : line) << "\n";
}

void printStatus(const nlohmann::json& status)
{
    std::cout << "host " << status.value("host", "") << ", " << status.value("state", "") << ", version "
              << status.value("bundle_version", uint64_t {0}) << ", state age "
              << formatNumber(status.value("state_age_ms", 0.0) / 1000.0) << " s"
              << (status.value("is_cut_off", false) ? ", CUT OFF from control" : "") << "\n\n";
    printHosts(status);
    std::cout << "\n";
    printZones(status);
    std::cout << "\n";
    printRows(status);
    std::cout << "\n";
    const nlohmann::json shifts = status.value("shift_progress", nlohmann::json::object());
    for (const auto& [service, progress] : shifts.items())
        std::cout << "shift of " << service << ": " << formatPercent(progress.get<double>()) << "\n";
    printCounts(status, "refusals", "refusals:");
    printCounts(status, "retries", "retries:");
}

/// On how many hosts a bundle version is in force, and how far the shifts to it are.
struct Progress {
    size_t hosts = 0;
    size_t currentHosts = 0; ///< With this version or a later one in force.
    double minShiftProgress = 1.0; ///< Of the service that is furthest behind, 0 to 1.
    std::string laggards; ///< Names of the other hosts, each after a space.

    [[nodiscard]] bool isDone() const { return hosts > 0 && currentHosts == hosts; }
};

Progress progressOf(const nlohmann::json& status, uint64_t version)
{
    Progress progress;
    for (const nlohmann::json& host : status.value("hosts", EmptyList)) {
        ++progress.hosts;
        const bool isCurrent = host.value("bundle_version", uint64_t {0}) >= version;
        progress.currentHosts += isCurrent ? 1 : 0;
        if (!isCurrent)
            progress.laggards += " " + host.value("host", "");
    }
    const nlohmann::json shifts = status.value("shift_progress", nlohmann::json::object());
    for (const auto& [service, share] : shifts.items())
        progress.minShiftProgress = std::min(progress.minShiftProgress, share.get<double>());
    return progress;
}

std::string progressLine(const Progress& progress, uint64_t version)
{
    std::string line = "version " + std::to_string(version) + " in force on " + std::to_string(progress.currentHosts)
        + "/" + std::to_string(progress.hosts) + " hosts, shift " + formatPercent(progress.minShiftProgress);
    if (!progress.laggards.empty())
        line += ", behind:" + progress.laggards;
    return line;
}

/// Returns the version in the arguments or, without one, the version in force according to the replicated log.
Result<uint64_t, ClientError> requestedVersion(const ControlClient& client, const Arguments& arguments)
{
    if (!arguments.operands.empty()) {
        const uint64_t version = std::strtoull(arguments.operands.front().c_str(), nullptr, 10);
        if (version > 0)
            return version;
        return ClientError {ExitUsage, "bundle status takes a version number"};
    }
    const auto list = client.get("/v1/control/bundles");
    if (!list)
        return list.error();
    for (const nlohmann::json& record : list.value().value("bundles", EmptyList)) {
        if (record.value("state", "") == "in-force")
            return record.value("version", uint64_t {0});
    }
    return ClientError {ExitRefused, "no version is in force"};
}

} // namespace

int showStatus(const Arguments& arguments)
{
    const ControlClient client(arguments.servers);
    for (;;) {
        const auto status = client.get("/v1/status");
        if (!status)
            return reportError(status.error());
        if (arguments.isWatching)
            std::cout << ClearScreen;
        if (arguments.isJson)
            std::cout << status.value().dump(2) << "\n";
        else
            printStatus(status.value());
        std::cout << std::flush;
        if (!arguments.isWatching)
            return ExitOk;
        std::this_thread::sleep_for(WatchInterval);
    }
}

int bundleStatus(const Arguments& arguments)
{
    const ControlClient client(arguments.servers);
    const auto version = requestedVersion(client, arguments);
    if (!version)
        return reportError(version.error());
    const auto deadline = monotonicNow() + arguments.timeout;
    std::string lastLine;
    for (;;) {
        const auto status = client.get("/v1/status");
        if (!status)
            return reportError(status.error());
        const Progress progress = progressOf(status.value(), version.value());
        const std::string line = progressLine(progress, version.value());
        if (!arguments.isJson && line != lastLine)
            std::cout << line << std::endl;
        lastLine = line;
        const bool isFinished = !arguments.isWaiting || progress.isDone();
        if (isFinished && arguments.isJson)
            std::cout << status.value().dump(2) << "\n";
        if (isFinished && !arguments.isJson)
            printHosts(status.value());
        if (isFinished)
            return ExitOk;
        if (monotonicNow() > deadline)
            return ExitTimedOut;
        std::this_thread::sleep_for(WaitPollInterval);
    }
}

} // namespace saltvane::cli
