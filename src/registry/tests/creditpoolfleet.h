/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "registry/internal/creditpool.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace saltvane::registry::test {

inline const model::ClientAccountName Account("acme");
inline const model::LimitId AccountLimit = model::limitIdOf(Account);

inline HostId registryHost(size_t number) { return HostId("registry-" + std::to_string(number)); }
inline HostId gatewayHost(size_t number) { return HostId("gateway-" + std::to_string(number)); }

/// Credit pools on a simulated network that delays and loses messages and can be partitioned. Gateways use each credit
/// as it arrives.
class CreditPoolFleet {
public:
    struct Options {
        size_t pools = 6;
        model::RateLimit limit {.perSecond = 16, .burst = 16};
        uint64_t seed = 1;
        Duration start = 20s; ///< How long the hosts have been running when the test begins.
    };
    explicit CreditPoolFleet(const Options& options)
        : random_(options.seed)
        , limit_(options.limit)
    {
        pools_.resize(options.pools);
        pausedUntil_.resize(options.pools);
        plans_.resize(options.pools, {.limit = limit_, .position = plan_});
        for (size_t i = 0; i < pools_.size(); ++i)
            restart(i);
        now_ += options.start;
        refreshAll();
    }

    void restart(size_t number)
    {
        std::unique_ptr<CreditPool>& pool = pools_[number];
        pool = std::make_unique<CreditPool>(registryHost(number), now_);
        installPlan(number);
        refresh(number);
    }
    void setLimit(const model::RateLimit& limit)
    {
        limit_ = limit;
        plan_.index.value += 1;
        for (size_t i = 0; i < pools_.size(); ++i)
            receivePlan(i);
    }
    /// Sets the limit by a plan that doesn't reach the registry hosts of `side_`. All gateways receive it.
    void setLimitBeyondCut(const model::RateLimit& limit)
    {
        limit_ = limit;
        plan_.index.value += 1;
        for (size_t i = 0; i < pools_.size(); ++i) {
            if (!side_.contains(i))
                receivePlan(i);
        }
    }
    /// Partitions the network: `side` against all other hosts. A gateway is on the side of its registry host.
    void cut(const std::set<size_t>& side)
    {
        side_ = side;
        refreshAll();
    }
    /// Ends the partition. All hosts receive the latest plan.
    void heal()
    {
        cut({});
        for (size_t i = 0; i < pools_.size(); ++i)
            receivePlan(i);
    }
    void pause(size_t number, Duration duration) { pausedUntil_[number] = now_ + duration; }

    /// A gateway of this pool requests one credit.
    void requestCredit(size_t pool)
    {
        const uint64_t number = ++lastRequest_;
        pendingRequests_[number] = pool;
        send(gatewayHost(pool), registryHost(pool),
            model::LimitCreditRequest {.asks = {{.ask = number, .limit = AccountLimit, .credits = 1}},
                .accountLimits = {{.limit = AccountLimit, .rate = limit_, .plan = plan_}}});
        ++requested;
    }

    void advance(Duration duration)
    {
        const Timestamp end = now_ + duration;
        while (now_ < end) {
            now_ += 10ms;
            if (now_ >= nextRefreshAt_) {
                nextRefreshAt_ = now_ + 200ms;
                refreshAll();
            }
            while (!inFlight_.empty() && inFlight_.begin()->first <= now_) {
                const auto [from, to, message] = std::move(inFlight_.begin()->second);
                inFlight_.erase(inFlight_.begin());
                deliver(from, to, message);
            }
            for (size_t i = 0; i < pools_.size(); ++i) {
                if (pausedUntil_[i] <= now_)
                    pools_[i]->tick(now_);
                flush(i);
            }
        }
    }

    /// The most credits that gateways received within any five seconds that begin at `from` or later.
    [[nodiscard]] double maxGrantedInWindow(Timestamp from = {}) const
    {
        size_t maxCount = 0;
        size_t first = static_cast<size_t>(std::ranges::lower_bound(grantedAt_, from) - grantedAt_.begin());
        for (size_t last = first; last < grantedAt_.size(); ++last) {
            while (grantedAt_[last] - grantedAt_[first] > 5s)
                ++first;
            maxCount = std::max(maxCount, last - first + 1);
        }
        return static_cast<double>(maxCount);
    }

    size_t requested = 0;
    size_t granted = 0;
    size_t refused = 0;
    std::vector<Duration> retryAfters;
    size_t transfers = 0; ///< Messages between registry hosts.
    std::mt19937& random() { return random_; }
    [[nodiscard]] size_t pools() const { return pools_.size(); }
    [[nodiscard]] Timestamp now() const { return now_; }

private:
    struct Sent {
        HostId from;
        HostId to;
        model::Message message;
    };

    struct Plan {
        model::RateLimit limit;
        LogPosition position;
    };

    void receivePlan(size_t number)
    {
        plans_[number] = {.limit = limit_, .position = plan_};
        installPlan(number);
    }
    void installPlan(size_t number)
    {
        const Plan& plan = plans_[number];
        pools_[number]->limits().install(
            std::vector {model::makeAccount({.name = Account, .keys = {"k"}, .limit = plan.limit})}, plan.position);
    }
    void refresh(size_t number)
    {
        std::vector<HostId> holders;
        std::vector<CreditPool::Peer> peers;
        for (size_t i = 0; i < pools_.size(); ++i) {
            holders.push_back(registryHost(i));
            if (i != number && side_.contains(i) == side_.contains(number))
                peers.push_back({.host = registryHost(i), .isSameRegion = i / 2 == number / 2});
        }
        pools_[number]->setHolders(std::move(holders), 0s, now_);
        pools_[number]->setPeers(std::move(peers));
    }
    void refreshAll()
    {
        for (size_t i = 0; i < pools_.size(); ++i)
            refresh(i);
    }

    void send(const HostId& from, const HostId& to, model::Message message)
    {
        const bool isLost = random_() % 200 == 0;
        const Duration delay = from.value().starts_with("gateway") || to.value().starts_with("gateway")
            ? Duration(1ms)
            : Duration(1ms) + Duration(1ms) * static_cast<int64_t>(random_() % 40);
        if (!isLost)
            inFlight_.emplace(now_ + delay, Sent {from, to, std::move(message)});
    }

    static size_t numberOf(const HostId& host) { return std::stoul(host.value().substr(host.value().rfind('-') + 1)); }

    void deliver(const HostId& from, const HostId& to, const model::Message& message)
    {
        const size_t number = numberOf(to);
        if (to.value().starts_with("gateway"))
            return receiveReply(std::get<model::LimitCreditReply>(message));
        const bool isCut = side_.contains(number) != side_.contains(numberOf(from));
        if (isCut)
            return;
        if (pausedUntil_[number] > now_) { // The paused host reads it later.
            inFlight_.emplace(pausedUntil_[number], Sent {from, to, message});
            return;
        }
        if (const auto* request = std::get_if<model::LimitCreditRequest>(&message))
            pools_[number]->handle(from, *request, now_);
        else
            pools_[number]->handle(from, std::get<model::LimitCreditReply>(message), now_);
        flush(number);
    }
    void flush(size_t number)
    {
        for (model::OutgoingMessage& outgoing : pools_[number]->drainOutgoing()) {
            transfers += outgoing.to.value().starts_with("registry") ? 1 : 0;
            send(registryHost(number), outgoing.to, std::move(outgoing.message));
        }
    }
    void receiveReply(const model::LimitCreditReply& reply)
    {
        for (const model::LimitCreditAnswer& answer : reply.answers) {
            if (pendingRequests_.erase(answer.ask) == 0)
                continue;
            granted += answer.credits;
            for (uint32_t i = 0; i < answer.credits; ++i)
                grantedAt_.push_back(now_);
            if (answer.credits > 0)
                continue;
            ++refused;
            retryAfters.push_back(answer.retryAfter);
        }
    }

    std::mt19937 random_;
    model::RateLimit limit_;
    LogPosition plan_ {.term = {1}, .index = {1}};
    Timestamp now_ {100s};
    Timestamp nextRefreshAt_ {};
    std::vector<std::unique_ptr<CreditPool>> pools_;
    std::vector<Plan> plans_; ///< The latest that each registry host has received; kept on its disk.
    std::vector<Timestamp> pausedUntil_;
    std::set<size_t> side_;
    std::multimap<Timestamp, Sent> inFlight_;
    std::map<uint64_t, size_t> pendingRequests_;
    uint64_t lastRequest_ = 0;
    std::vector<Timestamp> grantedAt_;
};

/// Requests per second, distributed over pools by these weights.
inline void load(CreditPoolFleet& fleet, double perSecond, const std::vector<double>& weights, Duration duration)
{
    constexpr Duration Step = 20ms;
    std::poisson_distribution<int> arrivals(perSecond * toSeconds(Step));
    std::discrete_distribution<size_t> pool(weights.begin(), weights.end());
    for (Duration done {}; done < duration; done += Step) {
        for (int count = arrivals(fleet.random()); count > 0; --count)
            fleet.requestCredit(pool(fleet.random()));
        fleet.advance(Step);
    }
}

inline double bound(const model::RateLimit& limit)
{
    constexpr double Window = 5;
    constexpr double AllowedFactor = 1.1;
    constexpr double Slack = 20;
    return (limit.perSecond * Window + limit.burst) * AllowedFactor + Slack;
}

} // namespace saltvane::registry::test
