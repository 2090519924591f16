/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvaned/internal/commandline.h"
#include "saltvaned/internal/daemon.h"
#include "settings/routedhostsettings.h"

#include <csignal>
#include <glog/logging.h>
#include <iostream>
#include <malloc.h>
#include <sodium.h>

namespace {

using namespace saltvane;

int reportFindings(const Findings& findings)
{
    for (const Finding& finding : findings.items())
        std::cerr << toString(finding) << "\n";
    std::cerr << findings.items().size() << " finding(s)\n";
    return saltvaned::ExitUsage;
}

Result<std::unique_ptr<saltvaned::Daemon>, IoError> startDaemon(
    const settings::AnyHostSettings& settings, const std::string& path)
{
    if (const auto* routed = std::get_if<settings::RoutedHostSettings>(&settings))
        return saltvaned::Daemon::start(*routed, path);
    return saltvaned::Daemon::start(std::get<settings::HostSettings>(settings));
}

int runDaemon(const settings::AnyHostSettings& settings, const std::string& path)
{
    Result<std::unique_ptr<saltvaned::Daemon>, IoError> daemon = startDaemon(settings, path);
    if (!daemon) {
        std::cerr << daemon.error().location << ": " << daemon.error().message << "\n";
        return saltvaned::ExitFailure;
    }
    return daemon.value()->run();
}

/// Makes malloc return large blocks to the system as soon as they are freed. Parsing a plan needs much memory for a
/// short time; a host needs little otherwise.
void returnFreedMemoryEarly()
{
    constexpr int MmapThresholdBytes = 64 * 1024;
    constexpr int TrimThresholdBytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, MmapThresholdBytes);
    mallopt(M_TRIM_THRESHOLD, TrimThresholdBytes);
}

} // namespace

int main(int argc, char** argv)
{
    // SIGHUP requests a reload of the settings. It must not end the process if it arrives before the event loop handles
    // it. None is missed: a daemon that follows its settings file reloads it once after its start.
    std::signal(SIGHUP, SIG_IGN);
    const Result<saltvaned::CommandLine, int> commandLine = saltvaned::parseCommandLine(argc, argv, SALTVANE_VERSION);
    if (!commandLine)
        return commandLine.error();
    if (sodium_init() < 0) {
        std::cerr << "saltvaned: libsodium could not be initialised\n";
        return saltvaned::ExitFailure;
    }
    const Result<settings::AnyHostSettings, Findings> settings
        = settings::loadAnyHostSettings(commandLine.value().settingsPath);
    if (!settings)
        return reportFindings(settings.error());
    if (commandLine.value().isCheckOnly) {
        std::cout << commandLine.value().settingsPath << ": ok\n";
        return saltvaned::ExitOk;
    }
    returnFreedMemoryEarly();
    // glog writes no files of its own: the daemon's LogWriter writes all lines to standard output.
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    FLAGS_log_utc_time = true;
    google::InitGoogleLogging(argv[0]);
    for (int severity = google::GLOG_INFO; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    return runDaemon(settings.value(), commandLine.value().settingsPath);
}
