/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/exchangetable.h"

namespace saltvane::requests {

Exchange& ExchangeTable::add(Exchange exchange)
{
    exchange.id = ExchangeId {++lastId_};
    auto owned = std::make_unique<Exchange>(std::move(exchange));
    Exchange& added = *owned;
    exchanges_.emplace(added.id, std::move(owned));
    deadlines_.emplace(added.deadline, added.id);
    if (const auto* http = std::get_if<HttpOrigin>(&added.origin))
        byHandle_[http->handle] = &added;
    if (const auto* forwarded = std::get_if<ForwardedOrigin>(&added.origin))
        byForward_[{forwarded->host, forwarded->correlation}] = &added;
    return added;
}

Exchange* ExchangeTable::find(ExchangeId id)
{
    const auto found = exchanges_.find(id);
    return found == exchanges_.end() ? nullptr : found->second.get();
}

Exchange* ExchangeTable::find(HttpHandle handle)
{
    const auto found = byHandle_.find(handle);
    return found == byHandle_.end() ? nullptr : found->second;
}

Exchange* ExchangeTable::find(const HostId& host, CorrelationId correlation)
{
    const auto found = byForward_.find({host, correlation});
    return found == byForward_.end() ? nullptr : found->second;
}

Exchange* ExchangeTable::findByAttempt(CorrelationId correlation)
{
    const auto found = byAttempt_.find(correlation);
    return found == byAttempt_.end() ? nullptr : found->second;
}

std::vector<ExchangeId> ExchangeTable::ids() const
{
    std::vector<ExchangeId> ids;
    ids.reserve(exchanges_.size());
    for (const auto& [id, exchange] : exchanges_)
        ids.push_back(id);
    return ids;
}

void ExchangeTable::bindAttempt(const Exchange& exchange)
{
    byAttempt_[exchange.attempt->correlation] = find(exchange.id);
}

void ExchangeTable::unbindAttempt(const Exchange& exchange) { byAttempt_.erase(exchange.attempt->correlation); }

void ExchangeTable::detachCaller(Exchange& exchange)
{
    if (const auto* http = std::get_if<HttpOrigin>(&exchange.origin))
        byHandle_.erase(http->handle);
    if (const auto* forwarded = std::get_if<ForwardedOrigin>(&exchange.origin))
        byForward_.erase({forwarded->host, forwarded->correlation});
    exchange.origin = DisconnectedOrigin {};
}

void ExchangeTable::clearDeadline(const Exchange& exchange) { deadlines_.erase({exchange.deadline, exchange.id}); }

void ExchangeTable::remove(Exchange& exchange)
{
    detachCaller(exchange);
    clearDeadline(exchange);
    waiting_.erase(exchange.id);
    const auto found = exchanges_.find(exchange.id);
    removed_.push_back(std::move(found->second));
    exchanges_.erase(found);
}

std::vector<ExchangeId> ExchangeTable::expired(Timestamp now) const
{
    std::vector<ExchangeId> ids;
    for (auto position = deadlines_.begin(); position != deadlines_.end() && position->first <= now; ++position)
        ids.push_back(position->second);
    return ids;
}

} // namespace saltvane::requests
