/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/fakes/deploymentmonitor.h"

#include <algorithm>
#include <cmath>

namespace saltvane::host::fakes {

namespace {

std::map<ZoneName, double> sharesOf(
    const std::vector<model::RouteRow>& rows, const ServiceName& service, const RegionName& region)
{
    std::map<ZoneName, double> shares;
    for (const model::RouteRow& row : rows) {
        if (row.service != service || row.region != region)
            continue;
        for (size_t i = 0; i < row.zones.size(); ++i)
            shares[row.zones[i]] += row.shares[i];
    }
    return shares;
}

/// Share of the traffic that goes to other zones now: half the sum of the differences.
double moved(const std::map<ZoneName, double>& before, const std::map<ZoneName, double>& after)
{
    double sum = 0;
    for (const auto& [zone, share] : before)
        sum += std::abs(share - (after.contains(zone) ? after.at(zone) : 0));
    for (const auto& [zone, share] : after)
        sum += before.contains(zone) ? 0 : share;
    return sum / 2;
}

model::ShiftCap maxCap(const model::Service& service)
{
    if (service.failoverCap && service.failoverCap->share > service.shiftCap.share)
        return *service.failoverCap;
    return service.shiftCap;
}

} // namespace

DeploymentMonitor::DeploymentMonitor(DeploymentMonitorOptions options)
    : options_(options)
    , deployment_(*options_.deployment)
{
}

void DeploymentMonitor::start()
{
    deployment_.time().after(options_.checkInterval, [this] {
        if (isFinished_)
            return;
        check();
        start();
    });
}

void DeploymentMonitor::finish()
{
    check();
    isFinished_ = true;
    if (deployment_.overfilledTargets() > 0)
        addViolation(
            std::to_string(deployment_.overfilledTargets()) + " targets ran more requests than they have slots");
    if (deployment_.duplicateRuns() > 0)
        addViolation(std::to_string(deployment_.duplicateRuns()) + " idempotency keys ran more than once");
}

std::string DeploymentMonitor::text() const
{
    std::string lines;
    for (const std::string& violation : violations_)
        lines += violation + "\n";
    return lines;
}

void DeploymentMonitor::check()
{
    for (FakeHost* host : deployment_.hosts()) {
        if (!host->isUp())
            continue;
        const HostStatus status = host->status();
        checkBundle(*host, status);
        checkRows(*host, status);
    }
    checkTargets();
}

void DeploymentMonitor::checkBundle(FakeHost& host, const HostStatus& status)
{
    const HostId& id = host.settings().host;
    ObservedHost& observed = observedHosts_[id];
    if (observed.incarnation != status.incarnation) {
        observed.incarnation = status.incarnation;
        observed.newestAtStart = observed.isKnown ? newestInForce() : LogPosition {};
        observed.wasCutOffAtStart = deployment_.isCutOff(id);
    }
    observed.isKnown = true;
    if (status.state == model::HostState::Joining)
        return;
    // A host that starts while it is cut off adopts the state of its zone, which may be older.
    if (status.inForce < observed.newestAtStart && !observed.wasCutOffAtStart)
        addViolation(id.value() + " serves an older bundle than was in force when it started");
    if (status.inForce < observed.position && !observed.wasCutOffAtStart)
        addViolation(id.value() + " returned to an older bundle");
    observed.position = std::max(observed.position, status.inForce);
}

void DeploymentMonitor::checkRows(const FakeHost& host, const HostStatus& status)
{
    const HostId& id = host.settings().host;
    for (const model::Service& service : deployment_.plan().first->bundle().services) {
        // Rows that have routed no request yet are not bound to the cap.
        if (deployment_.hasServed(id, service.name))
            checkRows(id, service, status.rows);
    }
}

void DeploymentMonitor::checkRows(
    const HostId& host, const model::Service& service, const std::vector<model::RouteRow>& rows)
{
    const Timestamp now = deployment_.time().now();
    std::deque<RowsSample>& history = rows_[{host, service.name}];
    if (!history.empty() && now - history.back().when < options_.rowsCheckInterval)
        return;
    const model::ShiftCap cap = maxCap(service);
    while (!history.empty() && now - history.front().when > cap.window)
        history.pop_front();
    double largest = 0;
    for (const RowsSample& earlier : history)
        largest = std::max(largest, movement(earlier.rows, rows, service.name));
    history.push_back({now, rows});
    maxMovement_ = std::max(maxMovement_, largest);
    if (largest > cap.share + options_.shiftTolerance)
        addViolation(host.value() + " moved a larger share of " + service.name.value()
            + " than its cap: " + std::to_string(largest));
}

void DeploymentMonitor::checkTargets()
{
    const Timestamp now = deployment_.time().now();
    for (FakeTarget* target : deployment_.targets()) {
        const TargetId& id = target->options().target;
        if (!target->isLeaving()) {
            leavingSince_.erase(id);
            continue;
        }
        const Timestamp since = leavingSince_.try_emplace(id, now).first->second;
        if (target->record().lastNewWork > since + options_.leavingGracePeriod)
            addViolation(id.value() + " received new work while it was leaving");
    }
}

void DeploymentMonitor::addViolation(const std::string& text)
{
    const std::string kind = text.substr(0, text.find(':'));
    if (reportedKinds_.insert(kind).second)
        violations_.push_back(text);
}

double DeploymentMonitor::movement(const std::vector<model::RouteRow>& before,
    const std::vector<model::RouteRow>& after, const ServiceName& service) const
{
    const std::vector<model::Region>& regions = deployment_.plan().first->bundle().regions;
    double sum = 0;
    for (const model::Region& region : regions)
        sum += moved(sharesOf(before, service, region.name), sharesOf(after, service, region.name));
    return sum / static_cast<double>(regions.size());
}

LogPosition DeploymentMonitor::newestInForce() const
{
    LogPosition newest;
    for (const auto& [id, observed] : observedHosts_)
        newest = std::max(newest, observed.position);
    return newest;
}

} // namespace saltvane::host::fakes
