/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/tests/fakecluster.h"

#include <algorithm>
#include <utility>

namespace saltvane::control::test {

namespace {
constexpr Duration TickInterval = 10ms;
} // namespace

FakeCluster::FakeCluster(const FakeClusterOptions& clusterOptions)
    : options(clusterOptions)
    , random_(clusterOptions.seed)
{
    for (size_t number = 0; number < options.hosts; ++number) {
        auto host = std::make_unique<FakeHost>();
        host->id = HostId("control" + std::to_string(number + 1));
        hosts_.push_back(std::move(host));
        replaceDisk(number);
        start(number);
    }
}

uint64_t FakeCluster::random(uint64_t below) { return below == 0 ? 0 : random_() % below; }

Duration FakeCluster::delay()
{
    const Duration range = options.maxDelay - options.minDelay;
    return options.minDelay + Duration(random(static_cast<uint64_t>(range.count()) + 1));
}

Timestamp FakeCluster::localNow(const FakeHost& host) const
{
    return Timestamp(
        Duration(static_cast<int64_t>(static_cast<double>(now_.time_since_epoch().count()) * host.clockRate)));
}

FakeHost* FakeCluster::leader()
{
    for (const auto& host : hosts_) {
        if (host->replica && !host->isSuspended && host->replica->isLeader()
            && host->replica->isCurrent(localNow(*host)))
            return host.get();
    }
    return nullptr;
}

size_t FakeCluster::numberOf(const FakeHost& host) const
{
    return static_cast<size_t>(std::ranges::find(hosts_, &host, &std::unique_ptr<FakeHost>::get) - hosts_.begin());
}

size_t FakeCluster::voters()
{
    const FakeHost* current = leader();
    if (current == nullptr || !std::ranges::all_of(current->replica->replicas(), &ReplicaInfo::isVoter))
        return 0;
    return current->replica->replicas().size();
}

bool FakeCluster::hasAllVoters()
{
    if (voters() != size())
        return false;
    return std::ranges::all_of(leader()->replica->replicas(), [this](const ReplicaInfo& info) {
        return std::ranges::any_of(hosts_,
            [&info](const auto& host) { return host->id == info.host && host->disk->replica() == info.replica; });
    });
}

bool FakeCluster::isMember(size_t number)
{
    const FakeHost* current = leader();
    if (current == nullptr)
        return false;
    const std::vector<ReplicaInfo>& replicas = current->replica->replicas();
    return std::ranges::find(replicas, host(number).id, &ReplicaInfo::host) != replicas.end();
}

void FakeCluster::schedule(Timestamp time, Event event) { events_.emplace(time, std::move(event)); }

void FakeCluster::start(size_t number)
{
    FakeHost& host = *hosts_[number];
    host.incarnation.value += 1;
    host.answers.clear();
    ControlReplicaOptions replicaOptions {.self = host.id,
        .incarnation = host.incarnation,
        .recovered = host.disk->recover(),
        .bootstrapHosts = {},
        .bootstrapOperators = {TestOperator("ana").info(), TestOperator("ben").info()},
        .parseBundle = &parseTestBundle,
        .isMembershipOpen = options.isMembershipOpen,
        .wallClockUnixMs = [this] { return (now_.time_since_epoch() + wallClockOffset) / 1ms; },
        .entriesPerSnapshot = options.entriesPerSnapshot,
        .snapshotChunkBytes = options.snapshotChunkBytes,
        .seed = random_(),
        .counters = &host.counters};
    for (const auto& other : hosts_)
        replicaOptions.bootstrapHosts.push_back(other->id);
    for (size_t missing = hosts_.size(); missing < options.hosts; ++missing)
        replicaOptions.bootstrapHosts.push_back(HostId("control" + std::to_string(missing + 1)));
    host.replica = makeControlReplica(replicaOptions);
    tick(number);
}

void FakeCluster::crash(size_t number, std::optional<size_t> steps)
{
    FakeHost& host = *hosts_[number];
    host.replica.reset();
    host.isSuspended = false;
    if (host.writing && !host.disk->acknowledgesWithoutSync)
        host.disk->write(*host.writing, steps ? *steps : random(host.writing->append.size() + 4));
    host.writing.reset();
}

void FakeCluster::replaceDisk(size_t number)
{
    FakeHost& host = *hosts_[number];
    const bool reusesIdentity = host.disk && host.disk->reusesIdentity;
    const model::ReplicaId newId("replica" + std::to_string(++lastReplica_));
    host.disk = std::make_unique<FakeDisk>(reusesIdentity ? host.disk->replica() : newId);
    host.disk->reusesIdentity = reusesIdentity;
}

void FakeCluster::cut(size_t left, size_t right)
{
    cuts_.emplace(left, right);
    cuts_.emplace(right, left);
}

void FakeCluster::isolate(size_t number)
{
    for (size_t other = 0; other < hosts_.size(); ++other) {
        if (other != number)
            cut(number, other);
    }
}

void FakeCluster::resume(size_t number)
{
    hosts_[number]->isSuspended = false;
    for (Event& event : std::exchange(suspendedEvents_, {}))
        schedule(now_, std::move(event));
}

void FakeCluster::healLinks() { cuts_.clear(); }

void FakeCluster::tick(size_t number)
{
    FakeHost& host = *hosts_[number];
    host.replica->tick(localNow(host));
    pump(number);
    schedule(now_ + TickInterval,
        {.host = number, .incarnation = host.incarnation, .handler = [this, number](FakeHost&) { tick(number); }});
}

void FakeCluster::pump(size_t number)
{
    FakeHost& host = *hosts_[number];
    for (StorageWrite& write : host.replica->drainWrites())
        startWrite(number, std::move(write));
    for (model::OutgoingMessage& outgoing : host.replica->drainOutgoing())
        post(number, std::move(outgoing));
    for (SubmissionAnswer& answer : host.replica->drainAnswers())
        host.answers.emplace(answer.submission, std::move(answer.result));
}

void FakeCluster::startWrite(size_t number, StorageWrite write)
{
    FakeHost& host = *hosts_[number];
    const uint64_t sequence = write.sequence;
    host.writing = std::move(write);
    const Duration sync {random(static_cast<uint64_t>(options.maxSyncDelay.count()))};
    schedule(now_ + sync,
        {.host = number, .incarnation = host.incarnation, .handler = [this, number, sequence](FakeHost& writer) {
             const StorageWrite done = *std::exchange(writer.writing, std::nullopt);
             if (writer.disk->isFull) {
                 writer.replica->handle(StorageFailed {.sequence = sequence, .message = "full"}, localNow(writer));
             } else {
                 if (!writer.disk->acknowledgesWithoutSync)
                     writer.disk->write(done);
                 writer.replica->handle(StorageDone {.sequence = sequence}, localNow(writer));
             }
             pump(number);
         }});
}

void FakeCluster::post(size_t from, model::OutgoingMessage outgoing)
{
    FakeHost& sender = *hosts_[from];
    const auto receiver = std::ranges::find(hosts_, outgoing.to, [](const auto& host) { return host->id; });
    if (receiver == hosts_.end()) {
        sender.toHosts.push_back(std::move(outgoing));
        return;
    }
    const size_t to = static_cast<size_t>(receiver - hosts_.begin());
    if (cuts_.contains({from, to}) || !(*receiver)->replica)
        return;
    if (onSend)
        onSend(outgoing.message);
    const size_t copies = static_cast<double>(random(1000)) < options.duplication * 1000 ? 2 : 1;
    for (size_t copy = 0; copy < copies; ++copy) {
        if (static_cast<double>(random(1000)) < options.loss * 1000)
            continue;
        const model::Delivery delivery {
            .from = sender.id, .fromIncarnation = sender.incarnation, .message = outgoing.message};
        schedule(now_ + delay(),
            {.host = to, .incarnation = (*receiver)->incarnation, .handler = [this, to, delivery](FakeHost& host) {
                 host.replica->handle(delivery, localNow(host));
                 pump(to);
             }});
    }
}

bool FakeCluster::step(Timestamp end)
{
    if (events_.empty() || events_.begin()->first > end)
        return false;
    auto next = events_.extract(events_.begin());
    now_ = next.key();
    FakeHost& host = *hosts_[next.mapped().host];
    if (host.isSuspended) {
        suspendedEvents_.push_back(std::move(next.mapped()));
        return true;
    }
    if (host.replica && host.incarnation == next.mapped().incarnation) {
        next.mapped().handler(host);
        if (onEvent)
            onEvent();
    }
    return true;
}

void FakeCluster::run(Duration duration)
{
    const Timestamp end = now_ + duration;
    while (step(end)) { }
    now_ = end;
}

bool FakeCluster::runUntil(const std::function<bool()>& condition, Duration limit)
{
    const Timestamp end = now_ + limit;
    while (!condition()) {
        if (!step(end)) {
            now_ = end;
            return condition();
        }
    }
    return true;
}

SubmissionId FakeCluster::submit(size_t number, Command command)
{
    FakeHost& host = *hosts_[number];
    const SubmissionId submission = host.replica->submit(std::move(command), localNow(host));
    pump(number);
    return submission;
}

void FakeCluster::deliver(size_t number, const model::Delivery& delivery)
{
    FakeHost& host = *hosts_[number];
    host.replica->handle(delivery, localNow(host));
    pump(number);
}

std::optional<Result<BundleRecord, ControlError>> FakeCluster::submitAndWait(Command command)
{
    if (!runUntil([this] { return leader() != nullptr; }))
        return std::nullopt;
    FakeHost& host = *leader();
    const SubmissionId submission = submit(numberOf(host), std::move(command));
    if (!runUntil([&] { return host.answers.contains(submission); }))
        return std::nullopt;
    return host.answers.at(submission);
}

} // namespace saltvane::control::test
