/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/inetadapters.h"
#include "net/internal/curlloop.h"
#include "net/internal/looptask.h"
#include "net/internal/targetexchange.h"

#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

namespace saltvane::net {

/// HTTP client for targets: one libcurl transfer per dispatch. Events are delivered later in the loop iteration, never
/// from within an action or a libcurl callback.
class TargetClient final : public ITargetClient {
public:
    explicit TargetClient(TargetClientOptions options);
    ~TargetClient() override;
    TargetClient(const TargetClient&) = delete;
    TargetClient& operator=(const TargetClient&) = delete;

    void execute(requests::TargetStart action) override;
    void execute(requests::TargetRequestBody action) override;
    void execute(const requests::TargetResponseWindow& action) override;
    void execute(const requests::TargetCancel& action) override;

private:
    [[nodiscard]] TargetExchange* find(requests::DispatchId dispatch) const;
    [[nodiscard]] CURL* acquireTransfer();
    void emit(requests::TargetEvent event);
    void onTransferDone(CURL* transfer, CURLcode code);
    void removeExchange(requests::DispatchId dispatch);
    void deliver();

    TargetClientOptions options_;
    TargetConnections connections_;
    CurlLoop curl_; ///< Closes its connections through connections_.
    std::unordered_map<requests::DispatchId, std::unique_ptr<TargetExchange>> exchanges_;
    std::vector<CURL*> pooledTransfers_;
    std::deque<requests::TargetEvent> events_;
    LoopTask deliverTask_;
};

} // namespace saltvane::net
