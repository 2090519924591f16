/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/targetclient.h"

namespace saltvane::net {

namespace {

constexpr size_t LargestBlankPool = 256;

requests::DispatchId dispatchOf(const requests::TargetEvent& event)
{
    return std::visit([](const auto& item) { return item.dispatch; }, event);
}

bool endsExchange(const requests::TargetEvent& event)
{
    return std::holds_alternative<requests::TargetResponseDone>(event)
        || std::holds_alternative<requests::TargetFailed>(event);
}

} // namespace

TargetClient::TargetClient(TargetClientOptions options)
    : options_(std::move(options))
    , curl_(options_.loop, [this](CURL* transfer, CURLcode code) { transferEnded(transfer, code); })
    , deliverTask_(options_.loop, TaskOrder::AfterIo, [this] { deliver(); })
{
}

TargetClient::~TargetClient()
{
    exchanges_.clear();
    for (CURL* transfer : blankTransfers_)
        curl_easy_cleanup(transfer);
}

TargetExchange* TargetClient::find(requests::DispatchId dispatch) const
{
    const auto found = exchanges_.find(dispatch);
    return found == exchanges_.end() ? nullptr : found->second.get();
}

CURL* TargetClient::blankTransfer()
{
    if (blankTransfers_.empty())
        return curl_easy_init();
    CURL* transfer = blankTransfers_.back();
    blankTransfers_.pop_back();
    return transfer;
}

void TargetClient::emit(requests::TargetEvent event)
{
    events_.push_back(std::move(event));
    deliverTask_.schedule();
}

void TargetClient::carryOut(requests::TargetStart action)
{
    const requests::DispatchId dispatch = action.dispatch;
    auto exchange
        = std::make_unique<TargetExchange>(TargetExchange::Options {.curl = curl_,
                                               .start = std::move(action),
                                               .connectTimeout = options_.connectTimeout,
                                               .receiveBuffer = options_.receiveBuffer,
                                               .emit = [this](requests::TargetEvent event) { emit(std::move(event)); }},
            blankTransfer());
    const bool isStarted = exchange->start();
    exchanges_.insert_or_assign(dispatch, std::move(exchange));
    if (isStarted)
        return;
    emit(requests::TargetFailed {
        .dispatch = dispatch, .mayHaveReachedTarget = false, .message = "request can't be sent as it is"});
}

void TargetClient::carryOut(requests::TargetRequestBody action)
{
    if (TargetExchange* exchange = find(action.dispatch))
        exchange->addRequestBody(action.bytes, action.isLast);
}

void TargetClient::carryOut(const requests::TargetResponseWindow& action)
{
    if (TargetExchange* exchange = find(action.dispatch))
        exchange->widenWindow(action.bytes);
}

void TargetClient::carryOut(const requests::TargetCancel& action) { drop(action.dispatch); }

void TargetClient::drop(requests::DispatchId dispatch)
{
    const auto found = exchanges_.find(dispatch);
    if (found == exchanges_.end())
        return;
    CURL* transfer = found->second->takeTransfer();
    exchanges_.erase(found);
    if (blankTransfers_.size() < LargestBlankPool)
        blankTransfers_.push_back(transfer);
    else
        curl_easy_cleanup(transfer);
}

void TargetClient::transferEnded(CURL* transfer, CURLcode code)
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
            continue; // Cancelled since.
        if (std::holds_alternative<requests::TargetResponseHead>(event))
            exchange->releaseSender();
        if (endsExchange(event))
            drop(dispatch);
        options_.sink(event);
    }
}

} // namespace saltvane::net
