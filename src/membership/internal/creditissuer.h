/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/icredits.h"

#include <map>

namespace saltvane::membership {

/// Divides the capacity of each service into windows. A credit store sends a request only after the answer to the one
/// before, so a new request proves that the last grant has replaced all older ones; docs/design/0005-membership.md.
class CreditIssuer final : public ICreditIssuer {
public:
    explicit CreditIssuer(const CreditOptions& options);

    void setCapacity(const ServiceName& service, uint32_t capacity, Timestamp now) override;
    void handle(const HostId& from, const model::CreditRequest& request, Timestamp now) override;
    void onHostLost(const HostId& host, Timestamp now) override;
    void tick(Timestamp now) override;
    [[nodiscard]] std::vector<model::OutgoingMessage> drainOutgoing() override;
    [[nodiscard]] uint32_t outstanding(const ServiceName& service, Timestamp now) const override;

private:
    struct Window {
        uint32_t size = 0;
        Timestamp endsAt {};
    };
    /// Credits and demand of one requesting host.
    struct Requester {
        uint64_t sequence = 0; ///< Sequence of its newest request; 0 after the host was lost.
        uint32_t wanted = 0;
        uint32_t inUse = 0;
        Window current; ///< Granted for the newest request.
        Window previous; ///< May be in use at the host until its next request.
        Window carried; ///< Granted before the host was lost.
    };
    struct Service {
        uint32_t capacity = 0;
        std::map<HostId, Requester> requesters;
    };

    [[nodiscard]] Duration reservationTime() const { return options_.windowLifetime + options_.clockMargin; }
    [[nodiscard]] static uint32_t reservedCredit(const Requester& requester, Timestamp now);
    [[nodiscard]] static uint32_t outstanding(const Service& service, Timestamp now);
    [[nodiscard]] uint32_t fairWindow(const Service& service, const HostId& host, Timestamp now) const;
    void accept(Service& service, const HostId& from, const model::CreditRequest& request, Timestamp now);
    void sendGrant(const HostId& to, const model::CreditRequest& request, const Requester& requester);
    void count(model::Counter counter) const;

    CreditOptions options_;
    std::map<ServiceName, Service> services_;
    std::vector<model::OutgoingMessage> outgoing_;
};

} // namespace saltvane::membership
