/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/fakes/fakedeployment.h"

#include <algorithm>
#include <sstream>

/// Description of a deployment for messages of failed tests.
namespace saltvane::host::fakes {

namespace {

constexpr size_t MaxLogLines = 4;

void describeHost(std::ostringstream& text, FakeHost& host)
{
    text << "\n" << host.settings().host.value();
    if (!host.isUp()) {
        text << " down";
        return;
    }
    const HostStatus status = host.status();
    text << " state=" << static_cast<int>(status.state) << " bundle=" << status.inForceVersion.value
         << " cut_off=" << status.isCutOff << " leader=" << status.controlLeader.value()
         << " proven=" << status.isControlLeader << " current=" << status.isControlCurrent
         << " known=" << status.hosts.size() << " owned=" << status.hosts.front().ownedTargets.size()
         << " in_flight=" << status.requestsInFlight << "+" << status.dispatchesInFlight;
    const std::vector<LogLine>& logs = host.logs();
    for (size_t i = logs.size() - std::min(MaxLogLines, logs.size()); i < logs.size(); ++i)
        text << "\n    " << logs[i].text;
    const model::Counters& counters = host.core().counters();
    for (size_t i = 0; i < counters.refusals.size(); ++i) {
        if (counters.refusals[i] > 0)
            text << " refused:" << model::toString(static_cast<model::Reason>(i)) << "=" << counters.refusals[i];
        if (counters.unknowns[i] > 0)
            text << " unknown:" << model::toString(static_cast<model::Reason>(i)) << "=" << counters.unknowns[i];
    }
}

} // namespace

std::string FakeDeployment::describe()
{
    std::ostringstream text;
    for (const auto& [id, host] : hosts_)
        describeHost(text, *host);
    if (lastOperatorReply_.status != 200)
        text << "\nlast operator request: " << lastOperatorReply_.status << " " << lastOperatorReply_.body;
    return text.str();
}

} // namespace saltvane::host::fakes
