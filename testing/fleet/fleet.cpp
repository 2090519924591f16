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

/// Of RegistryCluster's virtual time.
constexpr Duration Step = 10ms;
constexpr double PacketBytes = 1448;
/// Of a new link between the furthest regions: three round trips, what a try waits for, and the time for the old one.
constexpr Duration Handshake = 600ms;
constexpr int StatusOk = 200;

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
    settings.frontAddress = {.ip = settings.linkAddress.ip, .port = 8000};
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
    registries_.toGateway = [this](size_t from, const model::Outgoing& outgoing) {
        Gateway* gateway = find(outgoing.to);
        if (gateway == nullptr || gateway->silentUntil)
            return;
        const double bytes = sizeOf(outgoing.message);
        gateway->bytesSent += static_cast<uint64_t>(bytes);
        Sender& sender = gateway->senders[from];
        sender.waiting += bytes;
        sender.frames.push_back({.message = outgoing.message, .unsent = bytes, .undelivered = bytes});
    };
    registries_.onStep = [this] { step(); };
    registries_.setProcessorShare(options_.registryProcessorShare);
    for (size_t number = 0; number < gateways_.size(); ++number)
        startGateway(number);
}

void Fleet::startGateway(size_t number)
{
    Gateway& gateway = gateways_.at(number);
    gateway.id = HostId(toString(addressOf(number)));
    ++gateway.incarnation.value;
    gateway.sleepsUntil.reset();
    gateway.heldBack.clear();
    gateway.processor = registry::test::VirtualProcessor(options_.gatewayProcessorShare);
    gateway.core = gateway::makeGateway({.settings = settingsOf(number), .incarnation = gateway.incarnation});
    for (size_t registry = 0; registry < options_.registries; ++registry)
        connect(gateway, registry);
}

void Fleet::connect(Gateway& gateway, size_t registry)
{
    if (!registries_.isRunning(registry))
        return;
    registries_.linkUpTo(registry, gateway.id, gateway.incarnation);
    handle(gateway,
        host::LinkUp {.host = registry::test::RegistryCluster::idOf(registry),
            .incarnation = registries_.status(registry).incarnation});
}

void Fleet::silenceGateways()
{
    for (size_t gateway = 0; gateway < gateways_.size(); ++gateway)
        cutOffGateway(gateway, net::Link::SuspectAfter + net::Link::KeepAliveTick + Handshake);
}

void Fleet::cutOffGateway(size_t number, Duration duration)
{
    Gateway& gateway = gateways_.at(number);
    gateway.silentUntil = registries_.now() + duration;
    gateway.senders.clear();
    gateway.network.clear();
    gateway.outbound.clear();
}

void Fleet::suspendGateway(size_t number, Duration duration)
{
    gateways_.at(number).sleepsUntil = registries_.now() + duration;
}

/// What waits at its sockets comes before its timers do.
void Fleet::wake(Gateway& gateway)
{
    gateway.sleepsUntil.reset();
    for (host::Event& event : std::exchange(gateway.heldBack, {}))
        handle(gateway, std::move(event));
}

void Fleet::handle(size_t number, host::Event event)
{
    Gateway& gateway = gateways_.at(number);
    if (gateway.sleepsUntil || gateway.processor.isBusy(registries_.now())) {
        gateway.heldBack.push_back(std::move(event));
        return;
    }
    handle(gateway, std::move(event));
}

void Fleet::handle(Gateway& gateway, host::Event event)
{
    gateway.processor.work(registries_.now(), [&] { gateway.core->handle(std::move(event), registries_.now()); });
    gather(gateway);
}

void Fleet::replaceLinks(Gateway& gateway)
{
    gateway.silentUntil.reset();
    for (size_t registry = 0; registry < options_.registries; ++registry) {
        if (registries_.isRunning(registry))
            registries_.linkDownTo(registry, gateway.id);
        handle(gateway, host::LinkDown {.host = registry::test::RegistryCluster::idOf(registry)});
        connect(gateway, registry);
    }
}

void Fleet::killRegistry(size_t registry)
{
    registries_.kill(registry);
    for (Gateway& gateway : gateways_) {
        gateway.senders.erase(registry);
        std::erase_if(gateway.network, [&](const Packet& packet) { return packet.registry == registry; });
        handle(gateway, host::LinkDown {.host = registry::test::RegistryCluster::idOf(registry)});
    }
}

void Fleet::startRegistry(size_t registry)
{
    registries_.start(registry, false);
    for (Gateway& gateway : gateways_)
        connect(gateway, registry);
}

void Fleet::restartGateway(size_t number)
{
    Gateway& gateway = gateways_.at(number);
    gateway.senders.clear();
    gateway.network.clear();
    gateway.outbound.clear();
    startGateway(number);
}

uint64_t Fleet::planAt(size_t gateway) const
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
    noteLeader();
    holdToMemory();
    for (Gateway& gateway : gateways_)
        stepGateway(gateway);
    if (onStep)
        onStep();
}

void Fleet::stepGateway(Gateway& gateway)
{
    const Timestamp now = registries_.now();
    const bool isAsleep = gateway.sleepsUntil && now < *gateway.sleepsUntil;
    if (isAsleep || gateway.processor.isBusy(now))
        return;
    if (gateway.sleepsUntil || !gateway.heldBack.empty())
        wake(gateway);
    if (gateway.silentUntil && now >= *gateway.silentUntil)
        replaceLinks(gateway);
    carryInbound(gateway);
    gateway.processor.work(now, [&] { gateway.core->tick(now); });
    gather(gateway);
    carryOutbound(gateway);
}

/// What has reached a gateway's machine and is not read yet waits there, within its window; the rest at the senders.
void Fleet::holdToMemory()
{
    constexpr Duration RestartDelay = 1s;
    for (size_t registry = 0; registry < options_.registries; ++registry) {
        if (const auto due = startsAgainAt_.find(registry); due != startsAgainAt_.end()) {
            if (registries_.now() < due->second)
                continue;
            startsAgainAt_.erase(due);
            startRegistry(registry);
        }
        double held = 0;
        for (const Gateway& gateway : gateways_) {
            if (const auto sender = gateway.senders.find(registry); sender != gateway.senders.end())
                held += sender->second.waiting - sender->second.inNetwork;
        }
        mostHeldByRegistry_ = std::max(mostHeldByRegistry_, static_cast<uint64_t>(held));
        if (options_.registryMemory == 0 || held <= static_cast<double>(options_.registryMemory))
            continue;
        ++registriesEnded_;
        killRegistry(registry);
        startsAgainAt_[registry] = registries_.now() + RestartDelay;
    }
}

Duration Fleet::longestBusyGateway() const
{
    Duration longest {};
    for (const Gateway& gateway : gateways_)
        longest = std::max(longest, gateway.processor.longestBusy());
    return longest;
}

void Fleet::noteLeader()
{
    const std::optional<size_t> now = registries_.leader();
    if (leader_ && now != leader_)
        ++leadersLost_;
    leader_ = now;
}

void Fleet::fillNetwork(Gateway& gateway)
{
    for (bool isBusy = true; isBusy;) {
        isBusy = false;
        for (auto& [registry, sender] : gateway.senders) {
            const auto next = std::ranges::find_if(sender.frames, [](const Frame& frame) { return frame.unsent > 0; });
            if (next == sender.frames.end() || sender.inNetwork >= options_.windowBytes)
                continue;
            const double bytes = std::min(PacketBytes, next->unsent);
            next->unsent -= bytes;
            sender.inNetwork += bytes;
            gateway.network.push_back({.registry = registry, .bytes = bytes});
            isBusy = true;
        }
    }
}

void Fleet::carryInbound(Gateway& gateway)
{
    double waiting = 0;
    for (const auto& [registry, sender] : gateway.senders)
        waiting += sender.waiting;
    gateway.largestBacklog = std::max(gateway.largestBacklog, static_cast<uint64_t>(waiting));
    fillNetwork(gateway);
    gateway.linkCredit += options_.gatewayBytesPerSecond * toSeconds(Step);
    while (!gateway.network.empty() && gateway.network.front().bytes <= gateway.linkCredit
        && !gateway.processor.isBusy(registries_.now())) {
        const Packet packet = gateway.network.front();
        gateway.network.pop_front();
        gateway.linkCredit -= packet.bytes;
        deliver(gateway, packet);
        fillNetwork(gateway);
    }
    if (gateway.network.empty())
        gateway.linkCredit = 0;
}

void Fleet::deliver(Gateway& gateway, const Packet& packet)
{
    Sender& sender = gateway.senders.at(packet.registry);
    sender.inNetwork -= packet.bytes;
    sender.waiting -= packet.bytes;
    sender.frames.front().undelivered -= packet.bytes;
    if (sender.frames.front().undelivered > 0)
        return;
    model::Delivery delivery {.from = registry::test::RegistryCluster::idOf(packet.registry),
        .fromIncarnation = registries_.status(packet.registry).incarnation,
        .message = std::move(sender.frames.front().message)};
    sender.frames.pop_front();
    gateway.processor.work(registries_.now(), [&] { gateway.core->handle(std::move(delivery), registries_.now()); });
}

void Fleet::carryOutbound(Gateway& gateway)
{
    while (!gateway.outbound.empty() && gateway.outbound.front().at <= registries_.now()) {
        Late late = std::move(gateway.outbound.front());
        gateway.outbound.pop_front();
        registries_.deliverFromGateway(late.registry, gateway.id, gateway.incarnation, std::move(late.message));
    }
}

void Fleet::gather(Gateway& gateway)
{
    for (host::Action& action : gateway.core->takeActions()) {
        auto* const request = std::get_if<requests::Action>(&action);
        if (request == nullptr)
            continue;
        if (onAction && !std::holds_alternative<model::Outgoing>(*request)) {
            onAction(numberOf(gateway), *request);
            continue;
        }
        if (auto* start = std::get_if<requests::TargetStart>(request))
            gateway.lastStart = std::move(*start);
        if (const auto* response = std::get_if<requests::HttpRespond>(request))
            gateway.lastStatus = response->status;
        auto* const outgoing = std::get_if<model::Outgoing>(request);
        if (outgoing == nullptr || gateway.silentUntil)
            continue;
        if (const std::optional<size_t> registry = registries_.numberOf(outgoing->to))
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
    constexpr int MostTries = 5;
    for (int i = 0; i < MostTries; ++i) {
        const auto answer = registries_.order("PUT", "/v1/plan", plan, std::to_string(base));
        if (answer && answer->status == StatusOk)
            return true;
    }
    return false;
}

bool Fleet::isPlanEverywhere(uint64_t version) const
{
    return std::ranges::all_of(gateways_, [&](const Gateway& gateway) {
        return gateway.core->status(registries_.now()).inForceVersion.value >= version;
    });
}

Fleet::Outcome Fleet::ask(size_t number, const std::string& path, const std::string& object)
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
    gather(gateway);
    gateway.core->handle(requests::HttpEvent(requests::HttpRequestAborted {.handle = handle}), registries_.now());
    gather(gateway);
    Outcome outcome {.status = gateway.lastStatus};
    if (gateway.lastStart)
        outcome.target = gateway.lastStart->target;
    return outcome;
}

std::optional<TargetId> Fleet::targetFor(size_t gateway, const std::string& object)
{
    return ask(gateway, "/read/1", object).target;
}

uint64_t Fleet::largestBacklog() const
{
    uint64_t largest = 0;
    for (const Gateway& gateway : gateways_)
        largest = std::max(largest, gateway.largestBacklog);
    return largest;
}

} // namespace saltvane::fleet::test
