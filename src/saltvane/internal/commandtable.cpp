/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvane/internal/commandtable.h"

#include "saltvane/internal/arguments.h"
#include "saltvane/internal/bundlecommands.h"
#include "saltvane/internal/checkcommands.h"
#include "saltvane/internal/exitcodes.h"
#include "saltvane/internal/rolloutcommands.h"
#include "saltvane/internal/statuscommands.h"

#include <array>
#include <iomanip>
#include <iostream>
#include <string_view>

namespace saltvane::cli {

namespace {

struct Command {
    std::string_view name; ///< One or two words, such as "bundle propose".
    std::string_view usage;
    std::string_view help;
    int (*run)(const Arguments& arguments);
};

constexpr std::array Commands {
    Command {"host check", "FILE...", "check host settings", checkHosts},
    Command {"bundle check", "FILE...", "check bundles", checkBundles},
    Command {"bundle propose", "FILE --operator NAME --key FILE", "sign a bundle and propose it", proposeBundle},
    Command {
        "bundle approve", "VERSION --operator NAME --key FILE", "sign what another operator proposed", approveBundle},
    Command {"bundle revert", "--to VERSION --operator NAME --key FILE", "propose an earlier version's content again",
        revertBundle},
    Command {"bundle list", "", "versions, who proposed and approved them, what is in force", listBundles},
    Command {"bundle show", "VERSION", "one version's content", showBundle},
    Command {
        "bundle status", "[VERSION] [--wait]", "each host's version, laggards, progress of the shift", bundleStatus},
    Command {"rollout start", "SERVICE VERSION --limit SECONDS [--wait]",
        "roll a new version of a service's targets out", startRollout},
    Command {"rollout status", "SERVICE [--wait]", "state of a service's latest rollout", rolloutStatus},
    Command {"status", "[--watch]", "zones, room, hosts, refusals", showStatus},
    Command {"key new", "FILE", "make an operator's key pair", newKey},
};

int printHelp(std::ostream& out)
{
    out << "usage: saltvane COMMAND [OPTIONS]\n\n";
    for (const Command& command : Commands) {
        std::string synopsis(command.name);
        synopsis += " ";
        synopsis += command.usage;
        out << "  " << std::left << std::setw(58) << synopsis << command.help << "\n";
    }
    out << "\n  --server IP:PORT   entry address of a host, may be repeated (or SALTVANE_SERVERS, comma separated)\n"
           "  --json             answers in JSON\n"
           "  --help, --version\n\n"
           "exit codes: 0 done, 1 refused by control or rolled back, 2 wrong arguments or findings,\n"
           "            3 no control host with proof of being current, 4 wait timed out\n";
    return ExitOk;
}

} // namespace

int runCommandLine(std::vector<std::string> args, const std::string& version)
{
    if (args.empty()) {
        printHelp(std::cerr);
        return ExitUsage;
    }
    if (args.front() == "--help" || args.front() == "-h")
        return printHelp(std::cout);
    if (args.front() == "--version") {
        std::cout << "saltvane " << version << "\n";
        return ExitOk;
    }
    const std::string leadingWords = args.size() > 1 ? args[0] + " " + args[1] : args[0];
    for (const Command& command : Commands) {
        const bool isExactMatch = command.name == leadingWords;
        if (!isExactMatch && command.name != args.front())
            continue;
        args.erase(args.begin(), args.begin() + (isExactMatch && leadingWords != args.front() ? 2 : 1));
        const Result<Arguments, int> arguments = parseArguments(std::string(command.name), std::move(args));
        return arguments ? command.run(arguments.value()) : arguments.error();
    }
    std::cerr << "saltvane: unknown command: " << leadingWords << " (see saltvane --help)\n";
    return ExitUsage;
}

} // namespace saltvane::cli
