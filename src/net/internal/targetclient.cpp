/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/targetclient.h"

namespace saltvane::net {

namespace {

constexpr size_t MaxPooledTransfers = 256;

requests::DispatchId dispatchOf(const requests::TargetEvent& event)
{
    return std::visit([](const auto& item) { return item.dispatch; }, event);
}

bool isFinal(const requests::TargetEvent& event)
{
    return std::holds_alternative<requests::TargetResponseDone>(event)
        || std::holds_alternative<requests::TargetFailed>(event);
}

} // namespace

TargetClient::TargetClient(TargetClientOptions options)
    : options_(std::move(options))
    , connections_(options_.counters)
    , curl_(options_.loop, [this](CURL* transfer, CURLcode code) { onTransferDone(transfer, code); })
    , deliverTask_(options_.loop, TaskOrder::AfterIo, [this] { deliver(); })
{
}

TargetClient::~TargetClient()
{
    exchanges_.clear();
    for (CURL* transfer : pooledTransfers_)
        curl_easy_cleanup(transfer);
}

TargetExchange* TargetClient::find(requests::DispatchId dispatch) const
{
    const auto found = exchanges_.find(dispatch);
    return found == exchanges_.end() ? nullptr : found->second.get();
}

CURL* TargetClient::acquireTransfer()
{
    if (pooledTransfers_.empty())
        return curl_easy_init();
    CURL* transfer = pooledTransfers_.back();
    pooledTransfers_.pop_back();
    return transfer;
}

void TargetClient::emit(requests::TargetEvent event)
{
    events_.push_back(std::move(event));
    deliverTask_.schedule();
}

void TargetClient::execute(requests::TargetStart action)
{
    const requests::DispatchId dispatch = action.dispatch;
    auto exchange
        = std::make_unique<TargetExchange>(TargetExchange::Options {.curl = curl_,
                                               .start = std::move(action),
                                               .connectTimeout = options_.connectTimeout,
                                               .receiveBufferBytes = options_.receiveBufferBytes,
                                               .recheck = options_.recheck,
                                               .connections = connections_,
                                               .emit = [this](requests::TargetEvent event) { emit(std::move(event)); }},
            acquireTransfer());
    const bool isStarted = exchange->start();
    exchanges_.insert_or_assign(dispatch, std::move(exchange));
    if (isStarted)
        return;
    emit(requests::TargetFailed {
        .dispatch = dispatch, .mayHaveReachedTarget = false, .message = "request is not valid HTTP"});
}

void TargetClient::execute(requests::TargetRequestBody action)
{
    if (TargetExchange* exchange = find(action.dispatch))
        exchange->addRequestBody(std::move(action.bytes), action.isLast);
}

void TargetClient::execute(const requests::TargetResponseWindow& action)
{
    if (TargetExchange* exchange = find(action.dispatch))
        exchange->widenWindow(action.bytes);
}

void TargetClient::execute(const requests::TargetCancel& action) { removeExchange(action.dispatch); }

void TargetClient::removeExchange(requests::DispatchId dispatch)
{
    const auto found = exchanges_.find(dispatch);
    if (found == exchanges_.end())
        return;
    CURL* transfer = found->second->releaseTransfer();
    exchanges_.erase(found);
    if (pooledTransfers_.size() < MaxPooledTransfers)
        pooledTransfers_.push_back(transfer);
    else
        curl_easy_cleanup(transfer);
}

void TargetClient::onTransferDone(CURL* transfer, CURLcode code)
{
    TargetExchange* exchange = nullptr;
    curl_easy_getinfo(transfer, CURLINFO_PRIVATE, &exchange);
    if (exchange != nullptr)
        exchange->end(code);
}

void TargetClient::deliver()
{
    while (!events_.empty()) {
        const requests::TargetEvent event = std::move(events_.front());
        events_.pop_front();
        const requests::DispatchId dispatch = dispatchOf(event);
        TargetExchange* exchange = find(dispatch);
        if (exchange == nullptr)
            continue; // Cancelled in the meantime.
        if (std::holds_alternative<requests::TargetResponseHead>(event))
            exchange->resumeSending();
        if (isFinal(event))
            removeExchange(dispatch);
        options_.sink(event);
    }
}

} // namespace saltvane::net
