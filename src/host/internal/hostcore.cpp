/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/hostcore.h"

#include "host/internal/ownrecord.h"

#include <array>
#include <utility>

namespace saltvane::host {

namespace {

constexpr Duration SummaryInterval = 100ms;
/// After a longer pause of the process the systems run before any event, since leases and proofs may have expired.
constexpr Duration MaxTickGap = 10 * TickInterval;
/// Limit on the host's messages to itself that one pass handles; the others wait for the next event or tick.
constexpr int MaxOwnMessagesPerPass = 4096;

} // namespace

HostCore::HostCore(HostCoreOptions options)
    : modules_(std::move(options))
    , outbox_(modules_.self.host, modules_.self.incarnation)
    , targets_(modules_)
    , owners_(modules_)
    , links_(modules_, outbox_)
    , bundles_(modules_, outbox_)
    , startup_(modules_, outbox_)
    , stop_(modules_, outbox_)
    , router_(modules_, issuerForwards_, startup_, outbox_)
    , http_(modules_, targets_, outbox_, [this](Timestamp now) { return status(now); })
    , summaryTimer_(SummaryInterval)
{
}

void HostCore::handle(Event event, Timestamp now)
{
    if (now - lastTick_ > MaxTickGap)
        tick(now);
    std::visit([&](auto&& concrete) { accept(std::forward<decltype(concrete)>(concrete), now); }, std::move(event));
    processPending(now);
}

void HostCore::tick(Timestamp now)
{
    static constexpr std::array<System, 10> Systems {
        &HostCore::tickControl,
        &HostCore::tickBundles,
        &HostCore::tickMembership,
        &HostCore::tickTargets,
        &HostCore::tickCredits,
        &HostCore::tickSteering,
        &HostCore::tickStartup,
        &HostCore::tickRequests,
        &HostCore::tickStop,
        &HostCore::tickLinks,
    };
    lastTick_ = now;
    for (const System system : Systems)
        (this->*system)(now);
    processPending(now);
}

std::vector<Action> HostCore::drainActions() { return outbox_.drainActions(); }

void HostCore::accept(requests::HttpEvent event, Timestamp now) { http_.handle(std::move(event), now); }

model::Reason HostCore::recheckDispatch(requests::DispatchId dispatch, Timestamp now)
{
    return modules_.owner->recheck(dispatch, now);
}

void HostCore::accept(requests::TargetEvent event, Timestamp now) { modules_.owner->handle(std::move(event), now); }

void HostCore::accept(model::Delivery delivery, Timestamp now)
{
    if (recordIncarnation(delivery.from, delivery.fromIncarnation, now))
        router_.route(delivery, now);
}

void HostCore::accept(const LinkUp& up, Timestamp now)
{
    if (recordIncarnation(up.host, up.incarnation, now))
        modules_.hostTable->onLinkUp(up.host, now);
}

void HostCore::accept(const LinkDown& down, Timestamp now)
{
    modules_.hostTable->onLinkDown(down.host, now);
    onHostLost(down.host, now);
}

void HostCore::accept(const control::StorageDone& done, Timestamp now)
{
    if (modules_.replica)
        modules_.replica->handle(done, now);
}

void HostCore::accept(const control::StorageFailed& failed, Timestamp now)
{
    outbox_.log(LogSeverity::Error, "event=storage_failed reason=\"" + failed.message + "\"");
    if (modules_.replica)
        modules_.replica->handle(failed, now);
}

void HostCore::accept(StopRequested, Timestamp now)
{
    targets_.reportUse();
    stop_.request(now);
    targets_.applyChanges(now);
}

void HostCore::tickControl(Timestamp now)
{
    if (!modules_.replica)
        return;
    modules_.replica->tick(now);
    bundles_.updateControlView(now);
}

void HostCore::tickBundles(Timestamp now)
{
    bundles_.updatePeers(now);
    modules_.bundleReplica->tick(now);
    bundles_.installNew(now);
}

void HostCore::tickMembership(Timestamp now)
{
    modules_.ownRecord = makeOwnRecord(modules_, state(), now);
    modules_.hostTable->setOwnRecord(modules_.ownRecord);
    modules_.hostTable->tick(now);
}

void HostCore::tickTargets(Timestamp now)
{
    targets_.reportUse();
    modules_.directory->tick(now);
    targets_.applyChanges(now);
    modules_.pool->tick(now);
    modules_.owner->serveQueues(now);
}

void HostCore::tickCredits(Timestamp now)
{
    owners_.updateCapacities(now);
    owners_.updateOwners(now);
    modules_.creditIssuer->tick(now);
    modules_.creditStore->tick(now);
}

void HostCore::tickSteering(Timestamp now)
{
    if (!modules_.steering)
        return;
    modules_.steering->setFrozen(modules_.bundleReplica->isCutOff(now), now);
    if (summaryTimer_.isTimeToRun(now)) {
        zones_.update(modules_);
        modules_.steering->update(zones_.rooms(), zones_.demands(), now);
        markServedElsewhere(now);
    }
    modules_.steering->tick(now);
}

void HostCore::markServedElsewhere(Timestamp now)
{
    if (!startup_.isServing())
        return;
    for (const ServiceIndex service : zones_.servedElsewhere())
        modules_.steering->markServedElsewhere(service, now);
}

void HostCore::tickStartup(Timestamp now) { startup_.tick(now); }

void HostCore::tickRequests(Timestamp now)
{
    modules_.owner->tick(now);
    if (!modules_.entry)
        return;
    modules_.entry->setControlLeader(knownControlLeader(modules_, now));
    modules_.entry->tick(now);
}

void HostCore::tickStop(Timestamp now) { stop_.tick(now); }

void HostCore::tickLinks(Timestamp) { links_.update(owners_.ownerHosts()); }

void HostCore::processPending(Timestamp now)
{
    targets_.applyChanges(now);
    collectActions();
    for (int handled = 0; handled < MaxOwnMessagesPerPass; ++handled) {
        const std::optional<model::Delivery> delivery = outbox_.popOwnDelivery();
        if (!delivery)
            return;
        router_.route(*delivery, now);
        collectActions();
    }
}

void HostCore::collectActions()
{
    collectEntryActions();
    outbox_.add(modules_.owner->drainActions());
    outbox_.send(modules_.hostTable->drainOutgoing());
    outbox_.send(modules_.directory->drainOutgoing());
    outbox_.send(modules_.creditIssuer->drainOutgoing());
    outbox_.send(modules_.creditStore->drainOutgoing());
    outbox_.send(modules_.bundleReplica->drainOutgoing());
    if (!modules_.replica)
        return;
    http_.answerSubmissions();
    for (control::StorageWrite& write : modules_.replica->drainWrites())
        outbox_.add(Action(std::move(write)));
    outbox_.send(modules_.replica->drainOutgoing());
}

void HostCore::collectEntryActions()
{
    if (!modules_.entry)
        return;
    for (requests::Action& action : modules_.entry->drainActions()) {
        if (const auto* outgoing = std::get_if<model::OutgoingMessage>(&action)) {
            if (const auto* end = std::get_if<model::ForwardEnd>(&outgoing->message))
                issuerForwards_.remove(outgoing->to, end->correlation);
        }
        outbox_.add(std::move(action));
    }
}

bool HostCore::recordIncarnation(const HostId& host, Incarnation incarnation, Timestamp now)
{
    switch (incarnations_.record(host, incarnation)) {
    case IncarnationTracker::Verdict::Known:
        return true;
    case IncarnationTracker::Verdict::Restarted:
        onHostLost(host, now);
        return true;
    case IncarnationTracker::Verdict::Stale:
        break;
    }
    modules_.counters.add(model::Counter::StaleMessages);
    return false;
}

void HostCore::onHostLost(const HostId& host, Timestamp now)
{
    modules_.onHostLost(host, now);
    issuerForwards_.removeAll(host);
}

model::HostState HostCore::state() const
{
    if (stop_.isStopping())
        return model::HostState::Leaving;
    return startup_.isServing() ? model::HostState::Serving : model::HostState::Joining;
}

HostStatus HostCore::status(Timestamp now) const
{
    HostStatus status {
        .host = modules_.self.host,
        .incarnation = modules_.self.incarnation,
        .state = state(),
        .isCutOff = modules_.bundleReplica->isCutOff(now),
        .isControlLeader = isProvenLeader(modules_, now),
        .isControlCurrent = modules_.replica && modules_.replica->isCurrent(now),
        .controlLeader = knownControlLeader(modules_, now),
        .stateAge = modules_.bundleReplica->age(now),
        .requestsInFlight = modules_.entry ? modules_.entry->inFlight() : 0,
        .dispatchesInFlight = modules_.owner->inFlight(),
    };
    status.hosts.push_back(modules_.ownRecord);
    for (const membership::HostView* view : modules_.hostTable->hosts())
        status.hosts.push_back(view->record);
    if (!modules_.deployment)
        return status;
    const model::Deployment& deployment = *modules_.deployment;
    status.inForce = deployment.position();
    status.inForceVersion = deployment.bundle().version;
    status.zones = zones_.statuses(deployment);
    status.rows = modules_.steering->rows();
    for (uint32_t service = 0; service < deployment.serviceCount(); ++service) {
        status.services.push_back(deployment.service({service}).name);
        status.shiftProgress.push_back(modules_.steering->shiftProgress({service}));
    }
    return status;
}

} // namespace saltvane::host
