/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/ownertable.h"

namespace saltvane::requests {

OwnerExchange& OwnerTable::add(ExchangeKey key, const model::ForwardRequest& request, Timestamp now)
{
    const OwnerExchangeId id = ++lastId_;
    byKey_[key] = id;
    byDeadline_.emplace(now + request.deadline, id);
    OwnerExchange exchange {
        .id = id,
        .key = std::move(key),
        .request = request,
        .started = now,
        .deadline = now + request.deadline,
        .upload = OwnerUpload(request.bodyLength),
        .excluded = request.excludedTargets,
    };
    return exchanges_.emplace(id, std::move(exchange)).first->second;
}

void OwnerTable::erase(const OwnerExchange& exchange)
{
    if (exchange.attempt)
        byDispatch_.erase(exchange.attempt->dispatch);
    byKey_.erase(exchange.key);
    byDeadline_.erase({exchange.deadline, exchange.id});
    exchanges_.erase(OwnerExchangeId(exchange.id));
}

OwnerExchange* OwnerTable::find(OwnerExchangeId id)
{
    const auto found = exchanges_.find(id);
    return found == exchanges_.end() ? nullptr : &found->second;
}

OwnerExchange* OwnerTable::find(const ExchangeKey& key)
{
    const auto found = byKey_.find(key);
    return found == byKey_.end() ? nullptr : find(found->second);
}

OwnerExchange* OwnerTable::find(DispatchId dispatch)
{
    const auto found = byDispatch_.find(dispatch);
    return found == byDispatch_.end() ? nullptr : find(found->second);
}

void OwnerTable::startAttempt(OwnerExchange& exchange, OwnerAttempt attempt)
{
    byDispatch_[attempt.dispatch] = exchange.id;
    exchange.attempt = std::move(attempt);
}

void OwnerTable::endAttempt(OwnerExchange& exchange)
{
    byDispatch_.erase(exchange.attempt->dispatch);
    exchange.attempt.reset();
}

std::vector<OwnerExchangeId> OwnerTable::ids() const
{
    std::vector<OwnerExchangeId> ids;
    ids.reserve(exchanges_.size());
    for (const auto& [id, exchange] : exchanges_)
        ids.push_back(id);
    return ids;
}

std::vector<OwnerExchangeId> OwnerTable::idsOfHost(const HostId& host, std::optional<Incarnation> except) const
{
    std::vector<OwnerExchangeId> ids;
    for (const auto& [id, exchange] : exchanges_) {
        if (exchange.key.host == host && exchange.key.incarnation != except)
            ids.push_back(id);
    }
    return ids;
}

OwnerExchange* OwnerTable::findExpired(Timestamp now)
{
    if (byDeadline_.empty() || byDeadline_.begin()->first > now)
        return nullptr;
    return find(byDeadline_.begin()->second);
}

} // namespace saltvane::requests
