/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvaned/internal/commandline.h"

#include <cstdlib>
#include <iostream>
#include <tclap/CmdLine.h>

namespace saltvane::saltvaned {

Result<CommandLine, int> parseCommandLine(int argc, char** argv, const std::string& version)
{
    TCLAP::CmdLine commandLine("saltvaned: one host of saltvane, with the roles set in its settings", ' ', version);
    commandLine.setExceptionHandling(false);
    TCLAP::SwitchArg check(
        "", "check", "Check the settings, print every finding with its location, and exit", commandLine);
    TCLAP::UnlabeledValueArg<std::string> settings("settings",
        "Settings file (docs/SETTINGS.md); default: the value of SALTVANE_CONFIG", false, "", "SETTINGS.yaml",
        commandLine);
    try {
        commandLine.parse(argc, argv);
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "saltvaned: " << error.error() << " " << error.argId() << "\n";
        return ExitUsage;
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    }
    std::string path = settings.getValue();
    const char* const defaultPath = std::getenv(SettingsVariable);
    if (path.empty() && defaultPath != nullptr)
        path = defaultPath;
    if (path.empty()) {
        std::cerr << "saltvaned: no settings file: pass one as an argument, or set " << SettingsVariable << "\n";
        return ExitUsage;
    }
    return CommandLine {.settingsPath = std::move(path), .isCheckOnly = check.getValue()};
}

} // namespace saltvane::saltvaned
