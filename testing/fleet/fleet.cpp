/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "fleet.h"

#include "net/internal/link.h"
#include "wire/framecodec.h"

#include <algorithm>
#include <utility>

namespace saltvane::fleet::test {

namespace {

/// Step of RegistryCluster's virtual time.
constexpr Duration Step = 10ms;
constexpr double PacketBytes = 1448;
/// Time to replace a link between the most distant regions: three round trips, the retry delay, and the time to close
/// the old link.
constexpr Duration LinkReplacementTime = 600ms;
constexpr int StatusOk = 200;
constexpr uint16_t FrontPort = 8000;

const std::map<ZoneName, RegionName> Zones {{ZoneName("north-a"), RegionName("north")},
    {ZoneName("south-a"), RegionName("south")}, {ZoneName("west-a"), RegionName("west")}};

model::Address addressOf(size_t gateway) { return {.ip = "10.1.0." + std::to_string(gateway + 1), .port = 7000}; }

settings::RoutedHostSettings settingsOf(size_t gateway)
{
    settings::RoutedHostSettings settings;
    settings.deployment = "test";
    settings.isGateway = true;
    auto zone = Zones.begin();
    std::advance(zone, static_cast<ptrdiff_t>(gateway % Zones.size()));
    settings.zone = zone->first;
    settings.region = zone->second;
    settings.zones = Zones;
    settings.linkAddress = addressOf(gateway);
    for (size_t seed = 0; seed < 3; ++seed)
        settings.seeds.push_back(*model::parseAddress(registry::test::RegistryCluster::idOf(seed).value()));
    settings.frontAddress = {.ip = settings.linkAddress.ip, .port = FrontPort};
    settings.readinessAddress = {.ip = settings.linkAddress.ip, .port = 8001};
    settings.retries = {.ratio = 0.2, .slack = 100};
    settings.limits.stopTimeLimit = 6s;
    return settings;
}

double sizeOf(const model::Message& message) { return static_cast<double>(wire::encodeFrame(message).size()); }

} // namespace

Fleet::Fleet(const FleetOptions& options)
    : options_(options)
    , registries_(options.registries)
    , gateways_(options.gateways)
{
    registries_.messageDelay = options_.registryDelay;
    registries_.sendingTime = [this](const model::Message& message) {
        return fromSeconds(sizeOf(message) / options_.registryBytesPerSecond);
    };
    registries_.toGateway = [this](size_t from, const model::OutgoingMessage& outgoing) {
        Gateway* gateway = find(outgoing.to);
        if (gateway == nullptr || !gateway->linked.contains(from) || gateway->cutUntil.contains(from))
            return;
        const bool isReport = std::holds_alternative<model::TargetReport>(outgoing.message);
        if (isReport && registries_.now() < gateway->losesReportsUntil)
            return;
        const double bytes = sizeOf(outgoing.message);
        gateway->bytesSent += static_cast<uint64_t>(bytes);
        Sender& sender = gateway->senders[from];
        sender.backlogBytes += bytes;
        sender.frames.push_back({.message = outgoing.message, .unsentBytes = bytes, .undeliveredBytes = bytes});
    };
    registries_.onStep = [this] { step(); };
    registries_.setProcessorShare(options_.registryCpuFraction);
    for (size_t number = 0; number < gateways_.size(); ++number)
        startGateway(number);
}

void Fleet::startGateway(size_t number)
{
    Gateway& gateway = gateways_.at(number);
    gateway.id = HostId(toString(addressOf(number)));
    ++gateway.incarnation.value;
    gateway.suspendedUntil.reset();
    gateway.deferredEvents.clear();
    gateway.processor = registry::test::VirtualProcessor(options_.gatewayCpuFraction);
    gateway.core = gateway::makeGateway({.settings = settingsOf(number), .incarnation = gateway.incarnation});
    gateway.wantedLinks.clear();
    gateway.linked.clear();
}

/// Closes links that the gateway does not want any more, and establishes those that it wants.
void Fleet::updateLinks(Gateway& gateway)
{
    const Timestamp now = registries_.now();
    for (size_t registry = 0; registry < options_.registries; ++registry) {
        const bool isWanted = gateway.wantedLinks.contains(registry::test::RegistryCluster::idOf(registry));
        const auto cut = gateway.cutUntil.find(registry);
        const bool isCutEnding = cut != gateway.cutUntil.end() && now >= cut->second;
        if (gateway.linked.contains(registry) && (!isWanted || isCutEnding))
            linkDown(gateway, registry);
        if (isCutEnding)
            gateway.cutUntil.erase(cut);
        const bool mayConnect = registries_.isRunning(registry) && !gateway.cutUntil.contains(registry);
        if (isWanted && mayConnect && !gateway.linked.contains(registry))
            linkUp(gateway, registry);
    }
}

void Fleet::linkUp(Gateway& gateway, size_t registry)
{
    gateway.linked.insert(registry);
    registries_.linkUpTo(registry, gateway.id, gateway.incarnation);
    handle(gateway,
        host::LinkUp {.host = registry::test::RegistryCluster::idOf(registry),
            .incarnation = registries_.status(registry).incarnation});
}

void Fleet::linkDown(Gateway& gateway, size_t registry)
{
    gateway.linked.erase(registry);
    dropPackets(gateway, registry);
    if (registries_.isRunning(registry))
        registries_.linkDownTo(registry, gateway.id);
    handle(gateway, host::LinkDown {.host = registry::test::RegistryCluster::idOf(registry)});
}

void Fleet::dropPackets(Gateway& gateway, size_t registry)
{
    gateway.senders.erase(registry);
    std::erase_if(gateway.packets, [&](const Packet& packet) { return packet.registry == registry; });
    std::erase_if(gateway.outbound, [&](const PendingMessage& pending) { return pending.registry == registry; });
}

void Fleet::stallGatewayLinks()
{
    for (size_t gateway = 0; gateway < gateways_.size(); ++gateway)
        cutOffGateway(gateway, net::Link::SuspectTimeout + net::Link::KeepAliveTick + LinkReplacementTime);
}

void Fleet::cutOffGateway(size_t number, Duration duration)
{
    for (size_t registry = 0; registry < options_.registries; ++registry)
        cutLink(number, registry, duration);
}

void Fleet::cutLink(size_t number, size_t registry, Duration duration)
{
    Gateway& gateway = gateways_.at(number);
    Timestamp& until = gateway.cutUntil[registry];
    until = std::max(until, registries_.now() + duration);
    dropPackets(gateway, registry);
}

void Fleet::loseReports(size_t gateway, Duration duration)
{
    gateways_.at(gateway).losesReportsUntil = registries_.now() + duration;
}

bool Fleet::isLinkCut(size_t gateway, size_t registry) const
{
    return gateways_.at(gateway).cutUntil.contains(registry);
}

void Fleet::suspendGateway(size_t number, Duration duration)
{
    gateways_.at(number).suspendedUntil = registries_.now() + duration;
}

/// Handles what arrived at the sockets of a suspended gateway before its timers run.
void Fleet::resume(Gateway& gateway)
{
    gateway.suspendedUntil.reset();
    for (host::Event& event : std::exchange(gateway.deferredEvents, {}))
        handle(gateway, std::move(event));
}

void Fleet::handle(size_t number, host::Event event)
{
    Gateway& gateway = gateways_.at(number);
    if (gateway.suspendedUntil || gateway.processor.isBusy(registries_.now())) {
        gateway.deferredEvents.push_back(std::move(event));
        return;
    }
    handle(gateway, std::move(event));
}

model::Reason Fleet::recheck(size_t gateway, requests::DispatchId dispatch)
{
    return gateways_.at(gateway).core->recheckDispatch(dispatch, registries_.now());
}

std::optional<size_t> Fleet::gatewayAt(const model::Address& frontAddress) const
{
    if (frontAddress.port != FrontPort)
        return std::nullopt;
    for (size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
        if (addressOf(gateway).ip == frontAddress.ip)
            return gateway;
    }
    return std::nullopt;
}

void Fleet::handle(Gateway& gateway, host::Event event)
{
    gateway.processor.work(registries_.now(), [&] { gateway.core->handle(std::move(event), registries_.now()); });
    dispatchActions(gateway);
}

void Fleet::killRegistry(size_t registry)
{
    registries_.kill(registry);
    for (Gateway& gateway : gateways_) {
        if (gateway.linked.contains(registry))
            linkDown(gateway, registry);
    }
}

void Fleet::startRegistry(size_t registry) { registries_.start(registry, false); }

void Fleet::restartGateway(size_t number)
{
    Gateway& gateway = gateways_.at(number);
    for (size_t registry = 0; registry < options_.registries; ++registry) {
        if (gateway.linked.contains(registry))
            linkDown(gateway, registry);
    }
    startGateway(number);
}

uint64_t Fleet::planVersionAt(size_t gateway) const
{
    return gateways_.at(gateway).core->status(registries_.now()).inForceVersion.value;
}

Fleet::Gateway* Fleet::find(const HostId& id)
{
    const auto found = std::ranges::find(gateways_, id, &Gateway::id);
    return found == gateways_.end() ? nullptr : &*found;
}

void Fleet::step()
{
    updateLeader();
    enforceMemoryLimit();
    for (Gateway& gateway : gateways_)
        stepGateway(gateway);
    if (onStep)
        onStep();
}

void Fleet::stepGateway(Gateway& gateway)
{
    const Timestamp now = registries_.now();
    const bool isSuspended = gateway.suspendedUntil && now < *gateway.suspendedUntil;
    if (isSuspended || gateway.processor.isBusy(now))
        return;
    if (gateway.suspendedUntil || !gateway.deferredEvents.empty())
        resume(gateway);
    updateLinks(gateway);
    deliverInbound(gateway);
    gateway.processor.work(now, [&] { gateway.core->tick(now); });
    dispatchActions(gateway);
    deliverOutbound(gateway);
}

/// Kills registry hosts that exceed their memory limit and restarts them later. Bytes in flight within a send window do
/// not count: they are queued on the gateway's side.
void Fleet::enforceMemoryLimit()
{
    constexpr Duration RestartDelay = 1s;
    for (size_t registry = 0; registry < options_.registries; ++registry) {
        if (const auto restart = restartsAt_.find(registry); restart != restartsAt_.end()) {
            if (registries_.now() < restart->second)
                continue;
            restartsAt_.erase(restart);
            startRegistry(registry);
        }
        double heldBytes = 0;
        for (const Gateway& gateway : gateways_) {
            if (const auto sender = gateway.senders.find(registry); sender != gateway.senders.end())
                heldBytes += sender->second.backlogBytes - sender->second.inFlightBytes;
        }
        maxRegistryBacklogBytes_ = std::max(maxRegistryBacklogBytes_, static_cast<uint64_t>(heldBytes));
        if (options_.registryMemoryBytes == 0 || heldBytes <= static_cast<double>(options_.registryMemoryBytes))
            continue;
        ++registriesOutOfMemory_;
        killRegistry(registry);
        restartsAt_[registry] = registries_.now() + RestartDelay;
    }
}

Duration Fleet::longestGatewayBusyTime() const
{
    Duration longest {};
    for (const Gateway& gateway : gateways_)
        longest = std::max(longest, gateway.processor.longestBusy());
    return longest;
}

void Fleet::updateLeader()
{
    const std::optional<size_t> leader = registries_.leader();
    if (leader_ && leader != leader_)
        ++leadersLost_;
    leader_ = leader;
}

void Fleet::fillSendWindows(Gateway& gateway)
{
    for (bool isBusy = true; isBusy;) {
        isBusy = false;
        for (auto& [registry, sender] : gateway.senders) {
            const auto next
                = std::ranges::find_if(sender.frames, [](const Frame& frame) { return frame.unsentBytes > 0; });
            if (next == sender.frames.end() || sender.inFlightBytes >= options_.sendWindowBytes)
                continue;
            const double bytes = std::min(PacketBytes, next->unsentBytes);
            next->unsentBytes -= bytes;
            sender.inFlightBytes += bytes;
            gateway.packets.push_back({.registry = registry, .bytes = bytes});
            isBusy = true;
        }
    }
}

void Fleet::deliverInbound(Gateway& gateway)
{
    double backlogBytes = 0;
    for (const auto& [registry, sender] : gateway.senders)
        backlogBytes += sender.backlogBytes;
    gateway.maxBacklogBytes = std::max(gateway.maxBacklogBytes, static_cast<uint64_t>(backlogBytes));
    fillSendWindows(gateway);
    gateway.linkBudgetBytes += options_.gatewayBytesPerSecond * toSeconds(Step);
    while (!gateway.packets.empty() && gateway.packets.front().bytes <= gateway.linkBudgetBytes
        && !gateway.processor.isBusy(registries_.now())) {
        const Packet packet = gateway.packets.front();
        gateway.packets.pop_front();
        gateway.linkBudgetBytes -= packet.bytes;
        deliver(gateway, packet);
        fillSendWindows(gateway);
    }
    if (gateway.packets.empty())
        gateway.linkBudgetBytes = 0;
}

void Fleet::deliver(Gateway& gateway, const Packet& packet)
{
    Sender& sender = gateway.senders.at(packet.registry);
    sender.inFlightBytes -= packet.bytes;
    sender.backlogBytes -= packet.bytes;
    sender.frames.front().undeliveredBytes -= packet.bytes;
    if (sender.frames.front().undeliveredBytes > 0)
        return;
    model::Delivery delivery {.from = registry::test::RegistryCluster::idOf(packet.registry),
        .fromIncarnation = registries_.status(packet.registry).incarnation,
        .message = std::move(sender.frames.front().message)};
    sender.frames.pop_front();
    gateway.processor.work(registries_.now(), [&] { gateway.core->handle(std::move(delivery), registries_.now()); });
}

void Fleet::deliverOutbound(Gateway& gateway)
{
    while (!gateway.outbound.empty() && gateway.outbound.front().at <= registries_.now()) {
        PendingMessage pending = std::move(gateway.outbound.front());
        gateway.outbound.pop_front();
        registries_.deliverFromGateway(pending.registry, gateway.id, gateway.incarnation, std::move(pending.message));
    }
}

void Fleet::dispatchActions(Gateway& gateway)
{
    for (host::Action& action : gateway.core->drainActions()) {
        if (const auto* links = std::get_if<host::DesiredLinks>(&action)) {
            gateway.wantedLinks.clear();
            for (const auto& peer : links->peers)
                gateway.wantedLinks.insert(peer.host);
        }
        auto* const request = std::get_if<requests::Action>(&action);
        if (request == nullptr)
            continue;
        if (onAction && !std::holds_alternative<model::OutgoingMessage>(*request)) {
            onAction(numberOf(gateway), *request);
            continue;
        }
        if (auto* start = std::get_if<requests::TargetStart>(request))
            gateway.lastStart = std::move(*start);
        if (const auto* response = std::get_if<requests::HttpRespond>(request))
            gateway.lastStatus = response->status;
        auto* const outgoing = std::get_if<model::OutgoingMessage>(request);
        if (outgoing == nullptr)
            continue;
        const std::optional<size_t> registry = registries_.numberOf(outgoing->to);
        if (registry && gateway.linked.contains(*registry) && !gateway.cutUntil.contains(*registry))
            gateway.outbound.push_back({.at = registries_.now() + options_.gatewayDelay,
                .registry = *registry,
                .message = std::move(outgoing->message)});
    }
}

bool Fleet::runUntil(const std::function<bool()>& condition, Duration limit)
{
    return registries_.runUntil(condition, limit);
}

bool Fleet::putPlan(uint64_t base, const std::string& plan)
{
    constexpr int MaxAttempts = 5;
    for (int i = 0; i < MaxAttempts; ++i) {
        const auto answer = registries_.order("PUT", "/v1/plan", plan, std::to_string(base));
        if (answer && answer->status == StatusOk)
            return true;
    }
    return false;
}

bool Fleet::isPlanInForceEverywhere(uint64_t version) const
{
    return std::ranges::all_of(gateways_, [&](const Gateway& gateway) {
        return gateway.core->status(registries_.now()).inForceVersion.value >= version;
    });
}

Fleet::Outcome Fleet::sendRequest(size_t number, const std::string& path, const std::string& object)
{
    Gateway& gateway = gateways_.at(number);
    if (gateway.processor.isBusy(registries_.now()))
        return {};
    const requests::HttpHandle handle {++lastHandle_};
    gateway.lastStart.reset();
    gateway.lastStatus = 0;
    gateway.core->handle(requests::HttpEvent(requests::HttpRequestStarted {.handle = handle,
                             .method = "GET",
                             .path = path,
                             .headers = {{.name = "Host", .value = "prices.example"},
                                 {.name = "Saltvane-Request-Id", .value = "try-" + std::to_string(lastHandle_)},
                                 {.name = "Saltvane-Object", .value = object}},
                             .bodyLength = 0}),
        registries_.now());
    dispatchActions(gateway);
    gateway.core->handle(requests::HttpEvent(requests::HttpRequestAborted {.handle = handle}), registries_.now());
    dispatchActions(gateway);
    Outcome outcome {.status = gateway.lastStatus};
    if (gateway.lastStart) {
        outcome.target = gateway.lastStart->target;
        outcome.address = gateway.lastStart->address;
    }
    return outcome;
}

std::optional<TargetId> Fleet::targetFor(size_t gateway, const std::string& object)
{
    return sendRequest(gateway, "/read/1", object).target;
}

uint64_t Fleet::maxBacklogBytes() const
{
    uint64_t largest = 0;
    for (const Gateway& gateway : gateways_)
        largest = std::max(largest, gateway.maxBacklogBytes);
    return largest;
}

} // namespace saltvane::fleet::test
