/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/log.h"
#include "gateway/igateway.h"
#include "registry/iregistry.h"
#include "saltvaned/internal/clocks.h"
#include "saltvaned/internal/connectionshares.h"
#include "saltvaned/internal/daemon.h"
#include "saltvaned/internal/metricstext.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sodium.h>
#include <unistd.h>
#include <utility>

/// The part of Daemon that opens the adapters of its core: data folder, links, HTTP servers and target client.
namespace saltvane::saltvaned {

namespace {

constexpr Duration DefaultConnectTimeout = 1s;
/// As long as three round trips between distant regions. If a target takes longer to accept the connection, the request
/// is attempted at another target.
constexpr Duration GatewayConnectTimeout = 600ms;

/// Size of a connection's socket buffer in bytes. On slow links it is limited to what the link sends in
/// MaxQueueDelaySeconds, so that a large response doesn't delay the small ones behind it for longer. 0 on fast links
/// and where the speed is unknown: the system's default.
int socketBufferBytes(double linkMegabitsPerSecond)
{
    constexpr double MaxQueueDelaySeconds = 0.033;
    constexpr double FastLinkMegabitsPerSecond = 100;
    constexpr double BytesPerMegabit = 125'000;
    constexpr double MinBufferBytes = 16 * 1024;
    if (linkMegabitsPerSecond <= 0 || linkMegabitsPerSecond >= FastLinkMegabitsPerSecond)
        return 0;
    return static_cast<int>(std::max(MinBufferBytes, linkMegabitsPerSecond * BytesPerMegabit * MaxQueueDelaySeconds));
}

/// Incarnation of this start of the process. It comes from the wall clock because hosts without a disk have nothing
/// else to order their starts by.
Incarnation makeIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return {static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count())};
}

/// Resident memory of this process; 0 if the system doesn't report it.
uint64_t residentBytes()
{
    std::ifstream statistics("/proc/self/statm");
    uint64_t totalPages = 0;
    uint64_t residentPages = 0;
    if (!(statistics >> totalPages >> residentPages))
        return 0;
    return residentPages * static_cast<uint64_t>(::sysconf(_SC_PAGESIZE));
}

/// The buffers of all links together may use the host's memory limit divided by this.
constexpr uint64_t LinkMemoryDivisor = 4;

/// Largest body at the addresses that read none.
constexpr uint64_t SmallBodyBytes = 1024 * 1024;

// Shares of the connections. Targets report on the control address, often on kept connections; look-ups are short.
constexpr uint32_t FrontWeight = 1;
constexpr uint32_t ControlWeight = 2;
constexpr uint32_t DirectoryWeight = 1;

uint64_t randomSeed()
{
    uint64_t seed = 0;
    randombytes_buf(&seed, sizeof seed);
    return seed;
}

} // namespace

Result<Success, IoError> Daemon::openAdapters(const settings::HostSettings& settings)
{
    const Incarnation incarnation = makeIncarnation();
    std::optional<control::RecoveredState> recovered;
    if (settings.isControl) {
        if (auto opened = openDataFolder(settings.dataFolder); !opened)
            return opened;
        recovered = dataFolder_->recovered();
    }
    core_ = host::makeHostCore({.settings = settings,
        .incarnation = incarnation,
        .recovered = std::move(recovered),
        .seed = randomSeed(),
        .wallClockUnixMs = wallClockUnixMs});
    const auto linked = openLinks({.host = settings.host,
        .incarnation = incarnation,
        .deployment = settings.deployment,
        .linkKey = settings.linkKey,
        .address = settings.linkAddress,
        .memoryBytes = settings.limits.memoryBytes});
    if (!linked)
        return linked;
    if (auto opened = openTargetClient(DefaultConnectTimeout, 0); !opened)
        return opened;
    settings::Limits limits = settings.limits;
    limits.connections = callerConnections({.descriptors = descriptorLimit(),
                                               .memoryBytes = limits.memoryBytes,
                                               .headerBytes = limits.requestHeaderBytes,
                                               .limit = limits.connections,
                                               .callerWeights = FrontWeight},
        FrontWeight);
    return openHttpServer({.address = settings.entryAddress, .limits = limits, .isMetricsServed = true});
}

Result<Success, IoError> Daemon::openAdapters(const settings::RoutedHostSettings& settings)
{
    const Incarnation incarnation = makeIncarnation();
    if (settings.isRegistry) {
        if (auto opened = openDataFolder(settings.dataFolder); !opened)
            return opened;
    }
    core_ = makeRoutedCore(settings, incarnation);
    if (!core_)
        return IoError {.location = settings.dataFolder, .message = "contains no state of this version"};
    const auto linked = openLinks({.host = settings.host(),
        .incarnation = incarnation,
        .deployment = settings.deployment,
        .linkKey = settings.linkKey,
        .address = settings.linkListenAddress,
        .memoryBytes = settings.limits.memoryBytes});
    if (!linked)
        return linked;
    const int bufferBytes = socketBufferBytes(settings.linkMegabitsPerSecond);
    if (auto opened = openTargetClient(GatewayConnectTimeout, bufferBytes); settings.isGateway && !opened)
        return opened;
    return openHttpServers(settings);
}

Daemon::HttpAddress Daemon::withoutLargeBodies(HttpAddress http)
{
    http.limits.requestBodyBytes = std::min(http.limits.requestBodyBytes, SmallBodyBytes);
    http.paceLimits.discardedBytes = SmallBodyBytes;
    return http;
}

Result<Success, IoError> Daemon::openHttpServers(const settings::RoutedHostSettings& settings)
{
    const bool hasMetrics = settings.metricsAddress.port != 0;
    const uint32_t operatorAddresses = (settings.isGateway ? 1 : 0) + (hasMetrics ? 1 : 0);
    const ConnectionResources resources {.descriptors = descriptorLimit(),
        .memoryBytes = settings.limits.memoryBytes,
        .headerBytes = settings.limits.requestHeaderBytes,
        .limit = settings.limits.connections,
        .callerWeights = settings.isGateway ? FrontWeight : ControlWeight + DirectoryWeight,
        .operatorAddresses = operatorAddresses};
    const int bufferBytes = socketBufferBytes(settings.linkMegabitsPerSecond);
    const auto describe = [&](const model::Address& address, uint32_t connections) {
        HttpAddress http {
            .address = address, .limits = settings.limits, .isBodyTakenWhole = true, .sendBufferBytes = bufferBytes};
        http.limits.connections = connections;
        return http;
    };
    // In the order of gateway::Listener and registry::Listener.
    const std::array<HttpAddress, 2> addresses = settings.isGateway
        ? std::array {describe(settings.frontAddress, callerConnections(resources, FrontWeight)),
            withoutLargeBodies(describe(settings.readinessAddress, operatorConnections(resources)))}
        : std::array {describe(settings.controlAddress, callerConnections(resources, ControlWeight)),
            withoutLargeBodies(describe(settings.directoryAddress, callerConnections(resources, DirectoryWeight)))};
    for (const HttpAddress& address : addresses) {
        if (auto opened = openHttpServer(address); !opened)
            return opened;
    }
    if (!hasMetrics)
        return Success {};
    HttpAddress metrics = withoutLargeBodies(describe(settings.metricsAddress, operatorConnections(resources)));
    metrics.isMetricsServed = true;
    metrics.sendBufferBytes = 0;
    return openHttpServer(metrics);
}

std::unique_ptr<host::IHostCore> Daemon::makeRoutedCore(
    const settings::RoutedHostSettings& settings, Incarnation incarnation) const
{
    if (settings.isGateway)
        return gateway::makeGateway({.settings = settings, .incarnation = incarnation, .seed = randomSeed()});
    return registry::makeRegistry({.settings = settings,
        .incarnation = incarnation,
        .recovered = dataFolder_->recovered(),
        .softState = dataFolder_->softState(),
        .seed = randomSeed()});
}

Result<Success, IoError> Daemon::openDataFolder(const std::string& path)
{
    Result<std::unique_ptr<net::IDataFolder>, IoError> folder = net::openDataFolder(path);
    if (!folder)
        return folder.error();
    dataFolder_ = std::move(folder.value());
    for (const std::string& warning : dataFolder_->warnings())
        LOG_TAGGED(WARNING, "net") << "event=data_folder_warning " << warning;
    return Success {};
}

Result<Success, IoError> Daemon::openLinks(const LinkIdentity& identity)
{
    Result<std::unique_ptr<net::ILinkHub>, IoError> linkHub = net::makeLinkHub({.loop = loop_,
        .self = identity.host,
        .incarnation = identity.incarnation,
        .deployment = identity.deployment,
        .linkKey = identity.linkKey,
        .listenAddress = identity.address,
        .sink = [this](host::Event event) { deliver(std::move(event)); },
        .counters = &adapterCounters_,
        .maxBacklogBytes = identity.memoryBytes / LinkMemoryDivisor});
    if (!linkHub)
        return linkHub.error();
    linkHub_ = std::move(linkHub.value());
    return Success {};
}

Result<Success, IoError> Daemon::openTargetClient(Duration connectTimeout, int receiveBufferBytes)
{
    Result<std::unique_ptr<net::ITargetClient>, IoError> targetClient = net::makeTargetClient({.loop = loop_,
        .sink = [this](host::Event event) { deliver(std::move(event)); },
        .connectTimeout = connectTimeout,
        .receiveBufferBytes = receiveBufferBytes,
        .recheck = [this](const requests::TargetStart& start) { return recheck(start); },
        .counters = &adapterCounters_});
    if (!targetClient)
        return targetClient.error();
    targetClient_ = std::move(targetClient.value());
    return Success {};
}

Result<Success, IoError> Daemon::openHttpServer(const HttpAddress& http)
{
    Result<std::unique_ptr<net::IHttpServer>, IoError> httpServer = net::makeHttpServer({.loop = loop_,
        .address = http.address,
        .limits = http.limits,
        .paceLimits = http.paceLimits,
        .isBodyTakenWhole = http.isBodyTakenWhole,
        .sink = [this](host::Event event) { deliver(std::move(event)); },
        .counters = &adapterCounters_,
        .listener = static_cast<uint8_t>(httpServers_.size()),
        .sendBufferBytes = http.sendBufferBytes,
        .isMetricsServed = http.isMetricsServed,
        .metricsText =
            [this] {
                const net::LinkBacklog backlog = linkHub_ ? linkHub_->backlog() : net::LinkBacklog {};
                return metricsText({.core = core_->counters(),
                    .adapters = adapterCounters_,
                    .status = core_->status(monotonicNow()),
                    .latencies = core_->latencies(),
                    .linkBacklogBytes = backlog.bytes,
                    .linkMemoryBytes = backlog.memory,
                    .residentBytes = residentBytes(),
                    .stallTime = stallMonitor_.total()});
            }});
    if (!httpServer)
        return httpServer.error();
    httpServers_.push_back(std::move(httpServer.value()));
    return Success {};
}

} // namespace saltvane::saltvaned
