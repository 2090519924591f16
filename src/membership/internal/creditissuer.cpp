/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/internal/creditissuer.h"

#include "membership/internal/fairshares.h"

#include <algorithm>
#include <utility>

namespace saltvane::membership {

CreditIssuer::CreditIssuer(const CreditOptions& options)
    : options_(options)
{
}

void CreditIssuer::setCapacity(const ServiceName& service, uint32_t capacity, Timestamp)
{
    services_[service].capacity = capacity;
}

void CreditIssuer::handle(const HostId& from, const model::CreditRequest& request, Timestamp now)
{
    Service& service = services_[request.service];
    Requester& requester = service.requesters[from];
    const bool isInactive = reservedCredit(requester, now) == 0 && now >= requester.current.endsAt;
    if (request.sequence < requester.sequence && !isInactive) {
        count(model::Counter::StaleMessages);
        return;
    }
    // A repeated request gets the same answer: the validity at the credit store runs from its first transmission.
    const bool isRepeated = request.sequence == requester.sequence && !isInactive;
    if (!isRepeated)
        accept(service, from, request, now);
    sendGrant(from, request, requester);
}

void CreditIssuer::accept(Service& service, const HostId& from, const model::CreditRequest& request, Timestamp now)
{
    Requester& requester = service.requesters.at(from);
    requester.sequence = request.sequence;
    requester.wanted = request.wanted;
    requester.inUse = request.inUse;
    requester.previous = requester.current;
    requester.current = {0, now + reservationTime()};
    const uint32_t others = outstanding(service, now) - reservedCredit(requester, now);
    const uint32_t available = service.capacity > others ? service.capacity - others : 0;
    requester.current.size = std::min(fairWindow(service, from, now), available);
    count(model::Counter::CreditsGranted);
}

uint32_t CreditIssuer::fairWindow(const Service& service, const HostId& host, Timestamp now) const
{
    std::vector<uint32_t> demands;
    std::vector<uint32_t> idleDemands;
    size_t index = 0;
    for (const auto& [id, requester] : service.requesters) {
        const bool isRequesting = now < requester.current.endsAt && requester.sequence > 0;
        const bool isIdle = requester.inUse == 0 && requester.wanted <= options_.idleWindow;
        if (id == host)
            index = demands.size();
        demands.push_back(isRequesting && !isIdle ? requester.wanted : 0);
        idleDemands.push_back(isRequesting && isIdle ? requester.wanted : 0);
    }
    // If there are too few units for all hosts, the first in line rotates, so that no host starves.
    const size_t first = static_cast<size_t>(now.time_since_epoch() / options_.windowLifetime) % demands.size();
    const std::vector<uint32_t> shares = fairShares(demands, service.capacity, first);
    uint32_t remaining = service.capacity;
    for (const uint32_t share : shares)
        remaining -= share;
    return shares[index] + fairShares(idleDemands, remaining, first)[index];
}

void CreditIssuer::sendGrant(const HostId& to, const model::CreditRequest& request, const Requester& requester)
{
    outgoing_.push_back({to,
        model::CreditGrant {.service = request.service,
            .window = requester.current.size,
            .validFor = options_.windowLifetime,
            .sequence = request.sequence}});
}

void CreditIssuer::onHostLost(const HostId& host, Timestamp now)
{
    for (auto& [name, service] : services_) {
        const auto found = service.requesters.find(host);
        if (found == service.requesters.end())
            continue;
        // The host may still use its windows until they expire. A restarted host numbers its requests from the
        // beginning.
        Requester& requester = found->second;
        const Timestamp endsAt
            = std::max({requester.current.endsAt, requester.previous.endsAt, requester.carried.endsAt});
        const Window carried {reservedCredit(requester, now), endsAt};
        requester = {};
        requester.carried = carried;
    }
}

void CreditIssuer::tick(Timestamp now)
{
    for (auto& [name, service] : services_) {
        std::erase_if(service.requesters, [now](const auto& item) {
            const Requester& requester = item.second;
            return reservedCredit(requester, now) == 0 && now >= requester.current.endsAt;
        });
    }
}

std::vector<model::OutgoingMessage> CreditIssuer::drainOutgoing() { return std::exchange(outgoing_, {}); }

uint32_t CreditIssuer::reservedCredit(const Requester& requester, Timestamp now)
{
    // Credits in use stay in use, whatever the size of the window is now.
    uint32_t size = now < requester.current.endsAt ? requester.inUse : 0;
    for (const Window& window : {requester.current, requester.previous, requester.carried}) {
        if (now < window.endsAt)
            size = std::max(size, window.size);
    }
    return size;
}

uint32_t CreditIssuer::outstanding(const Service& service, Timestamp now)
{
    uint32_t sum = 0;
    for (const auto& [host, requester] : service.requesters)
        sum += reservedCredit(requester, now);
    return sum;
}

uint32_t CreditIssuer::outstanding(const ServiceName& service, Timestamp now) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : outstanding(found->second, now);
}

void CreditIssuer::count(model::Counter counter) const
{
    if (options_.counters)
        options_.counters->add(counter);
}

} // namespace saltvane::membership
