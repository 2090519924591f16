/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registrycluster.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace saltvane::registry::test {

namespace {

constexpr Duration Step = 10ms;
constexpr size_t Seeds = 3;

const std::map<ZoneName, RegionName> Zones {{ZoneName("north-a"), RegionName("north")},
    {ZoneName("south-a"), RegionName("south")}, {ZoneName("west-a"), RegionName("west")}};

model::Address addressOf(size_t number) { return {.ip = "10.0.0." + std::to_string(number + 1), .port = 7000}; }

settings::RoutedHostSettings settingsOf(size_t number, bool isFirstStart)
{
    settings::RoutedHostSettings settings;
    settings.deployment = "test";
    settings.isRegistry = true;
    auto zone = Zones.begin();
    std::advance(zone, static_cast<ptrdiff_t>(number % Zones.size()));
    settings.zone = zone->first;
    settings.region = zone->second;
    settings.zones = Zones;
    settings.linkAddress = addressOf(number);
    for (size_t seed = 0; seed < Seeds; ++seed)
        settings.seeds.push_back(addressOf(seed));
    settings.controlAddress = {.ip = settings.linkAddress.ip, .port = 8000};
    settings.directoryAddress = {.ip = settings.linkAddress.ip, .port = 8001};
    settings.isFirstStart = isFirstStart;
    return settings;
}

} // namespace

std::string planText(uint64_t version, const std::string& service)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"r","host":"h","path_prefix":"/p/","kind":"repeatable","timeout_ms":1000,"attempts":2,"service":")"
        + service
        + R"("}],"services":[{"name":"quotes","probe_path":"/health","slow_start_s":3,"slow_start_per_s":5}]})";
}

std::string heartbeatText(uint64_t sequence, const std::string& state, int slowMs)
{
    return nlohmann::json {{"service", "quotes"}, {"address", "10.9.0.1:9000"}, {"zone", "north-a"}, {"version", "v1"},
        {"slots", 3}, {"state", state}, {"slow_start_left_ms", slowMs}, {"sequence", sequence}}
        .dump();
}

std::string heartbeatOfStart(uint64_t startedMs, uint64_t sequence, const std::string& state)
{
    nlohmann::json report = nlohmann::json::parse(heartbeatText(sequence, state));
    report["started_ms"] = startedMs;
    return report.dump();
}

RegistryCluster::RegistryCluster(size_t hosts)
    : hosts_(hosts)
{
    for (size_t number = 0; number < hosts; ++number)
        start(number, true);
}

HostId RegistryCluster::idOf(size_t number) { return HostId(toString(addressOf(number))); }

std::optional<size_t> RegistryCluster::numberOf(const HostId& host) const
{
    for (size_t number = 0; number < hosts_.size(); ++number) {
        if (idOf(number) == host)
            return number;
    }
    return std::nullopt;
}

void RegistryCluster::start(size_t number, bool isFirstStart)
{
    Host& host = hosts_.at(number);
    if (host.disk.isNewDisk && host.disk.replica.isEmpty())
        host.disk.replica = model::ReplicaId("replica-" + std::to_string(++lastReplica_));
    host.incarnation = {++lastIncarnation_};
    host.core = makeRegistry({.settings = settingsOf(number, isFirstStart),
        .incarnation = host.incarnation,
        .recovered = host.disk,
        .softState = host.softState,
        .seed = lastIncarnation_});
    host.wantedLinks.clear();
    host.suspendedSince.reset();
    host.clockLag = Duration::zero();
    host.deferredEvents.clear();
}

void RegistryCluster::resume(size_t number)
{
    Host& host = hosts_.at(number);
    if (!host.suspendedSince)
        return;
    if (doClocksStopWhileSuspended)
        host.clockLag += now_ - *host.suspendedSince;
    host.suspendedSince.reset();
    runDeferred(number);
}

void RegistryCluster::deferOrRun(size_t number, std::function<void()> event)
{
    Host& host = hosts_.at(number);
    if (isUnavailable(host) || !host.deferredEvents.empty())
        host.deferredEvents.push_back(std::move(event));
    else
        event();
}

void RegistryCluster::runDeferred(size_t number)
{
    Host& host = hosts_.at(number);
    while (!host.deferredEvents.empty() && !isUnavailable(host)) {
        const std::function<void()> event = std::move(host.deferredEvents.front());
        host.deferredEvents.pop_front();
        event();
    }
}

void RegistryCluster::setProcessorShare(double share)
{
    for (Host& host : hosts_)
        host.processor = VirtualProcessor(share);
}

std::string RegistryCluster::rolloutPhaseAt(size_t number, const ServiceName& service) const
{
    if (!isRunning(number))
        return {};
    const host::HostStatus hostStatus = status(number);
    const auto found = hostStatus.rollouts.find(service);
    return found == hostStatus.rollouts.end() ? std::string() : std::string(model::toString(found->second));
}

Duration RegistryCluster::longestBusy() const
{
    Duration longest {};
    for (const Host& host : hosts_)
        longest = std::max(longest, host.processor.longestBusy());
    return longest;
}

void RegistryCluster::handle(size_t number, host::Event event)
{
    Host& host = hosts_.at(number);
    host.processor.work(now_, [&] { host.core->handle(std::move(event), clockOf(number)); });
    processActions(number);
}

size_t RegistryCluster::addHost()
{
    hosts_.emplace_back();
    start(hosts_.size() - 1, false);
    return hosts_.size() - 1;
}

void RegistryCluster::kill(size_t number)
{
    hosts_.at(number).core.reset();
    hosts_.at(number).deferredEvents.clear();
    std::erase_if(links_, [&](const auto& link) {
        const bool isAffected = link.first == number || link.second == number;
        const size_t other = link.first == number ? link.second : link.first;
        if (isAffected && hosts_[other].core)
            hosts_[other].core->handle(host::LinkDown {.host = idOf(number)}, clockOf(other));
        return isAffected;
    });
    std::erase_if(inFlight_, [&](const InFlight& packet) { return packet.from == number || packet.to == number; });
}

void RegistryCluster::wipeDisk(size_t number)
{
    hosts_.at(number).disk = {};
    hosts_.at(number).softState = {};
}

void RegistryCluster::connect()
{
    for (size_t from = 0; from < hosts_.size(); ++from) {
        for (size_t to = 0; to < hosts_.size(); ++to) {
            const bool isCut = isolated_.contains(from) != isolated_.contains(to) || hosts_[from].suspendedSince
                || hosts_[to].suspendedSince;
            const std::pair link = std::minmax(from, to);
            if (isCut || from == to || !hosts_[from].core || !hosts_[to].core || links_.contains(link)
                || !hosts_[from].wantedLinks.contains(idOf(to)))
                continue;
            links_.insert(link);
            hosts_[from].core->handle(
                host::LinkUp {.host = idOf(to), .incarnation = hosts_[to].incarnation}, clockOf(from));
            hosts_[to].core->handle(
                host::LinkUp {.host = idOf(from), .incarnation = hosts_[from].incarnation}, clockOf(to));
        }
    }
}

host::Event RegistryCluster::write(Host& host, const control::StorageWrite& write)
{
    if (host.isDiskFull)
        return control::StorageFailed {.sequence = write.sequence, .message = "no space left"};
    control::RecoveredState& disk = host.disk;
    disk.isNewDisk = false;
    if (write.hardState)
        disk.hardState = *write.hardState;
    if (write.truncateFrom)
        std::erase_if(disk.entries, [&](const model::LogEntry& entry) { return entry.index >= *write.truncateFrom; });
    if (write.snapshot) {
        disk.snapshot = *write.snapshot;
        disk.snapshotIndex = write.snapshotIndex;
        disk.snapshotTerm = write.snapshotTerm;
        std::erase_if(disk.entries, [&](const model::LogEntry& entry) { return entry.index <= write.snapshotIndex; });
    }
    disk.entries.insert(disk.entries.end(), write.append.begin(), write.append.end());
    return control::StorageDone {.sequence = write.sequence};
}

void RegistryCluster::sendMessage(size_t from, const model::OutgoingMessage& outgoing)
{
    const std::optional<size_t> to = numberOf(outgoing.to);
    if (!to) {
        if (toGateway)
            return toGateway(from, outgoing);
        sentToGateways_[outgoing.to].push_back(outgoing.message);
        return;
    }
    if (!links_.contains(std::minmax(from, *to)))
        return;
    const Duration sending = sendingTime ? sendingTime(outgoing.message) : Duration::zero();
    sendingTimeTo_[*to] += sending;
    Timestamp& busyUntil = busyUntil_[{from, *to}];
    busyUntil = std::max(busyUntil, now_) + sending;
    inFlight_.push_back({.at = busyUntil + messageDelay,
        .from = from,
        .to = *to,
        .fromIncarnation = hosts_[from].incarnation,
        .message = outgoing.message});
}

void RegistryCluster::processActions(size_t number)
{
    Host& host = hosts_[number];
    for (bool hasActions = true; hasActions && host.core;) {
        hasActions = false;
        for (host::Action& action : host.core->drainActions()) {
            hasActions = true;
            if (const auto* writing = std::get_if<control::StorageWrite>(&action)) {
                const host::Event result = write(host, *writing);
                host.processor.work(now_, [&] { host.core->handle(result, clockOf(number)); });
            } else if (auto* softState = std::get_if<host::SoftStateWrite>(&action)) {
                host.softState = std::move(softState->state);
            } else if (const auto* links = std::get_if<host::DesiredLinks>(&action)) {
                host.wantedLinks.clear();
                for (const auto& peer : links->peers)
                    host.wantedLinks.insert(peer.host);
            } else if (auto* request = std::get_if<requests::Action>(&action)) {
                if (const auto* outgoing = std::get_if<model::OutgoingMessage>(request))
                    sendMessage(number, *outgoing);
                else if (auto* response = std::get_if<requests::HttpRespond>(request))
                    responses_.insert_or_assign(response->handle, std::move(*response));
            }
        }
    }
}

void RegistryCluster::deliver()
{
    std::vector<InFlight> dueMessages;
    std::erase_if(inFlight_, [&](InFlight& packet) {
        if (packet.at > now_ || isUnavailable(hosts_[packet.to]))
            return false;
        dueMessages.push_back(std::move(packet));
        return true;
    });
    for (InFlight& packet : dueMessages) {
        const bool isCut = isolated_.contains(packet.from) != isolated_.contains(packet.to);
        if (isCut || !hosts_[packet.to].core)
            continue;
        handle(packet.to,
            model::Delivery {.from = idOf(packet.from),
                .fromIncarnation = packet.fromIncarnation,
                .message = std::move(packet.message)});
    }
}

void RegistryCluster::run(Duration duration)
{
    const Timestamp end = now_ + duration;
    while (now_ < end) {
        now_ += Step;
        connect();
        deliver();
        for (size_t number = 0; number < hosts_.size(); ++number) {
            Host& host = hosts_[number];
            if (!host.core)
                continue;
            runDeferred(number);
            if (isUnavailable(host))
                continue;
            host.processor.work(now_, [&] { host.core->tick(clockOf(number)); });
            processActions(number);
        }
        if (onStep)
            onStep();
    }
}

bool RegistryCluster::runUntil(const std::function<bool()>& condition, Duration limit)
{
    const Timestamp end = now_ + limit;
    while (!condition()) {
        if (now_ >= end)
            return false;
        run(Step);
    }
    return true;
}

requests::HttpHandle RegistryCluster::startCall(size_t number, const std::string& method, const std::string& path,
    const std::string& body, const std::string& planBase)
{
    const requests::HttpHandle handle {++lastHandle_};
    deferOrRun(number, [this, number, handle, method, path, body, planBase] {
        this->handle(number,
            requests::HttpEvent(requests::HttpRequestStarted {.handle = handle,
                .method = method,
                .path = path,
                .headers = {{.name = "Saltvane-Plan-Base", .value = planBase}},
                .bodyLength = body.size()}));
        if (!body.empty())
            this->handle(number,
                requests::HttpEvent(requests::HttpRequestBody {.handle = handle, .bytes = body, .isLast = true}));
    });
    return handle;
}

bool RegistryCluster::beginCall(
    size_t number, const std::string& method, const std::string& path, const std::string& part, uint64_t bodyLength)
{
    const requests::HttpHandle handle {++lastHandle_};
    this->handle(number,
        requests::HttpEvent(
            requests::HttpRequestStarted {.handle = handle, .method = method, .path = path, .bodyLength = bodyLength}));
    this->handle(number, requests::HttpEvent(requests::HttpRequestBody {.handle = handle, .bytes = part}));
    const auto found = responses_.find(handle);
    return found == responses_.end() || std::ranges::none_of(found->second.headers, [](const model::Header& header) {
        return header.name == "Retry-After";
    });
}

void RegistryCluster::cutCall(size_t number, const std::string& method, const std::string& path,
    const std::string& part, uint64_t bodyLength, const std::string& planBase)
{
    const requests::HttpHandle handle {++lastHandle_};
    this->handle(number,
        requests::HttpEvent(requests::HttpRequestStarted {.handle = handle,
            .method = method,
            .path = path,
            .headers = {{.name = "Saltvane-Plan-Base", .value = planBase}},
            .bodyLength = bodyLength}));
    this->handle(number, requests::HttpEvent(requests::HttpRequestBody {.handle = handle, .bytes = part}));
    this->handle(number, requests::HttpEvent(requests::HttpRequestAborted {.handle = handle}));
}

void RegistryCluster::post(size_t number, const std::string& path, const std::string& body)
{
    if (hosts_.at(number).suspendedSince)
        return; // Targets report to another host.
    ignoredCalls_.push_back(startCall(number, "POST", path, body, {}));
    std::erase_if(ignoredCalls_, [this](requests::HttpHandle handle) { return responses_.erase(handle) > 0; });
}

std::optional<RegistryCluster::Answer> RegistryCluster::call(size_t number, const std::string& method,
    const std::string& path, const std::string& body, const std::string& planBase, Duration limit)
{
    const requests::HttpHandle handle = startCall(number, method, path, body, planBase);
    if (!runUntil([&] { return responses_.contains(handle); }, limit))
        return std::nullopt;
    return takeAnswer(handle);
}

std::optional<RegistryCluster::Answer> RegistryCluster::takeAnswer(requests::HttpHandle handle)
{
    const auto response = responses_.extract(handle);
    if (response.empty())
        return std::nullopt;
    return Answer {
        .status = response.mapped().status, .body = response.mapped().bytes, .headers = response.mapped().headers};
}

std::optional<size_t> RegistryCluster::numberOfUrl(const std::string& url) const
{
    for (size_t number = 0; number < hosts_.size(); ++number) {
        if (url.starts_with("http://" + toString(settingsOf(number, false).controlAddress) + "/"))
            return number;
    }
    return std::nullopt;
}

std::optional<RegistryCluster::Answer> RegistryCluster::order(
    const std::string& method, const std::string& path, const std::string& body, const std::string& planBase)
{
    if (!runUntil([this] { return leader().has_value(); }))
        return std::nullopt;
    return call(*leader(), method, path, body, planBase);
}

void RegistryCluster::gatewayHeartbeat(size_t number, const std::string& host, const std::string& zone,
    const std::string& region, model::HostState state, bool isIsolated)
{
    const model::Address address = *model::parseAddress(host);
    model::HostRecord record {.host = HostId(host),
        .incarnation = {1},
        .sequence = ++gatewaySequence_,
        .zone = ZoneName(zone),
        .region = RegionName(region),
        .linkAddress = address,
        .entryAddress = {.ip = address.ip, .port = 80},
        .state = state,
        .isIsolated = isIsolated};
    hosts_.at(number).core->handle(
        model::Delivery {
            .from = HostId(host), .fromIncarnation = {1}, .message = model::Heartbeat {.record = std::move(record)}},
        now_);
    processActions(number);
}

void RegistryCluster::linkUpTo(size_t number, const HostId& gateway, Incarnation incarnation)
{
    deferOrRun(number, [this, number, gateway, incarnation] {
        handle(number, host::LinkUp {.host = gateway, .incarnation = incarnation});
    });
}

void RegistryCluster::linkDownTo(size_t number, const HostId& gateway)
{
    deferOrRun(number, [this, number, gateway] { handle(number, host::LinkDown {.host = gateway}); });
}

void RegistryCluster::deliverFromGateway(
    size_t number, const HostId& gateway, Incarnation incarnation, model::Message message)
{
    if (!hosts_.at(number).core)
        return;
    deferOrRun(number, [this, number, gateway, incarnation, message = std::move(message)] {
        handle(number, model::Delivery {.from = gateway, .fromIncarnation = incarnation, .message = message});
    });
}

std::vector<model::Message> RegistryCluster::drainSentTo(const std::string& host)
{
    return std::exchange(sentToGateways_[HostId(host)], {});
}

std::optional<size_t> RegistryCluster::leader() const
{
    for (size_t number = 0; number < hosts_.size(); ++number) {
        if (!hosts_[number].core || isolated_.contains(number) || hosts_[number].suspendedSince)
            continue;
        const host::HostStatus hostStatus = status(number);
        if (hostStatus.isControlLeader && hostStatus.isControlCurrent)
            return number;
    }
    return std::nullopt;
}

size_t RegistryCluster::votersAt(size_t number)
{
    const auto answer = call(number, "GET", "/v1/status");
    size_t voters = 0;
    const nlohmann::json status = nlohmann::json::parse(answer->body);
    for (const auto& replica : status["replicas"])
        voters += replica["voter"].get<bool>() ? 1 : 0;
    return voters;
}

} // namespace saltvane::registry::test
