/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/log.h"
#include "settings/hostsettings.h"
#include "standin/announcer.h"
#include "standin/standintarget.h"
#include "standin/targetlist.h"

#include <chrono>
#include <csignal>
#include <iostream>
#include <sodium.h>
#include <tclap/CmdLine.h>

namespace {

using namespace saltvane;

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

void stopLoop(struct ev_loop* loop, ev_signal* /*watcher*/, int /*events*/) { ev_break(loop, EVBREAK_ALL); }

int reportFindings(const Findings& findings)
{
    for (const Finding& finding : findings.items())
        std::cerr << toString(finding) << "\n";
    return ExitUsage;
}

uint64_t makeIncarnation()
{
    return static_cast<uint64_t>(std::chrono::system_clock::now().time_since_epoch() / std::chrono::microseconds(1));
}

int serve(
    const std::vector<standin::TargetSpec>& specs, std::vector<settings::HostSettings> hosts, uint32_t coldResponses)
{
    struct ev_loop* loop = ev_default_loop(EVFLAG_AUTO);
    standin::ExecutedKeys executedKeys;
    std::vector<std::unique_ptr<standin::StandInTarget>> targets;
    std::vector<standin::StandInTarget*> pointers;
    for (const standin::TargetSpec& spec : specs) {
        auto target = standin::StandInTarget::start({.loop = loop,
            .spec = spec,
            .executedKeys = &executedKeys,
            .coldResponses = coldResponses,
            .seed = targets.size() + 1});
        if (!target) {
            std::cerr << target.error().location << ": " << target.error().message << "\n";
            return ExitFailure;
        }
        pointers.push_back(target.value().get());
        targets.push_back(std::move(target.value()));
    }
    auto announcer = standin::Announcer::start(
        {.loop = loop, .targets = pointers, .hosts = std::move(hosts), .incarnation = makeIncarnation()});
    if (!announcer) {
        std::cerr << announcer.error().location << ": " << announcer.error().message << "\n";
        return ExitFailure;
    }
    ev_signal terminate {};
    ev_signal interrupt {};
    ev_signal_init(&terminate, stopLoop, SIGTERM);
    ev_signal_init(&interrupt, stopLoop, SIGINT);
    ev_signal_start(loop, &terminate);
    ev_signal_start(loop, &interrupt);
    std::signal(SIGPIPE, SIG_IGN);
    LOG_TAGGED(INFO, "standin") << "event=started targets=" << targets.size();
    ev_run(loop, 0);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine commandLine("saltvane_standin: stand-in targets for tests and measurements of saltvane", ' ', "");
    TCLAP::ValueArg<unsigned> coldResponses(
        "", "cold-answers", "Number of initial responses of each target that are slow", false, 0, "count", commandLine);
    TCLAP::UnlabeledValueArg<std::string> list("targets", "List of targets", true, "", "TARGETS.yaml", commandLine);
    TCLAP::UnlabeledMultiArg<std::string> hostPaths("hosts", "Settings of the hosts", true, "HOST.yaml", commandLine);
    commandLine.parse(argc, argv);
    if (sodium_init() < 0)
        return ExitFailure;
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);

    const auto specs = standin::loadTargetList(list.getValue());
    if (!specs)
        return reportFindings(specs.error());
    std::vector<settings::HostSettings> hosts;
    for (const std::string& path : hostPaths.getValue()) {
        auto settings = settings::loadHostSettings(path);
        if (!settings)
            return reportFindings(settings.error());
        hosts.push_back(std::move(settings.value()));
    }
    return serve(specs.value(), std::move(hosts), coldResponses.getValue());
}
