/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/inetadapters.h"
#include "net/internal/disconnectmonitor.h"
#include "net/internal/httpconnection.h"
#include "net/internal/httpexchange.h"
#include "net/internal/iowatcher.h"
#include "net/internal/looptask.h"
#include "net/internal/timerwatcher.h"
#include "net/internal/uniquefd.h"

#include <memory>
#include <microhttpd.h>
#include <optional>
#include <unordered_map>

namespace saltvane::net {

/// HTTP server: libmicrohttpd without threads, driven by the event loop. A connection is suspended while its request
/// waits for the core: for a larger body window, for the response, or for the next part of the response.
class HttpServer final : public IHttpServer {
public:
    explicit HttpServer(HttpServerOptions options);
    ~HttpServer() override;
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Binds and listens.
    [[nodiscard]] Result<Success, IoError> start();

    void execute(requests::HttpRespond action) override;
    void execute(requests::HttpResponseBody action) override;
    void execute(const requests::HttpAbort& action) override;
    void execute(const requests::HttpRequestWindow& action) override;
    void setCallerLimits(const model::CallerLimits& limits) override;
    [[nodiscard]] bool isCallerConnected(requests::HttpHandle handle) const override;
    void stopAccepting() override;
    void startShutdown() override;
    void endShutdown() override;
    [[nodiscard]] bool isShutDown() const override { return isShuttingDown_ && connections_.empty(); }
    [[nodiscard]] size_t openConnections() const override { return connections_.size(); }
    [[nodiscard]] model::Address boundAddress() const override { return boundAddress_; }

private:
    /// Does not restart a timer that has the right period already: plans may change more often than that.
    void startLimitTimer();

    // Callbacks of libmicrohttpd.
    static void* onUri(void* server, const char* uri, MHD_Connection* connection);
    static MHD_Result onAccess(void* server, MHD_Connection* connection, const char* url, const char* method,
        const char* version, const char* data, size_t* size, void** context);
    static void onCompleted(void* server, MHD_Connection* connection, void** context, MHD_RequestTerminationCode code);
    static void onConnection(
        void* server, MHD_Connection* connection, void** context, MHD_ConnectionNotificationCode code);

    // Steps of reading a request, in order.
    [[nodiscard]] MHD_Result handleAccess(HttpExchange& exchange, const char* data, size_t* size);
    [[nodiscard]] MHD_Result handleHead(HttpExchange& exchange);
    [[nodiscard]] MHD_Result handleBody(HttpExchange& exchange, const char* data, size_t* size);
    /// Passes on as much of a body as the window allows. Returns the number of bytes.
    [[nodiscard]] size_t passBody(HttpExchange& exchange, std::string_view bytes);
    [[nodiscard]] MHD_Result discardBody(HttpExchange& exchange, size_t* size);
    [[nodiscard]] MHD_Result refuseOversizedBody(HttpExchange& exchange, size_t* size);
    [[nodiscard]] MHD_Result handleEnd(HttpExchange& exchange);
    void readHead(HttpExchange& exchange, const char* method, const char* version) const;
    [[nodiscard]] Result<RequestFraming, EdgeRefusal> readHeadFraming(HttpExchange& exchange) const;
    [[nodiscard]] MHD_Result refuse(HttpExchange& exchange, const EdgeRefusal& refusal);
    void emitStarted(HttpExchange& exchange);
    [[nodiscard]] bool respondAtEdge(HttpExchange& exchange) const;

    // Termination.
    void reportAborted(HttpExchange& exchange);
    void abort(HttpExchange& exchange);
    void complete(HttpExchange& exchange, bool isCompleted);
    void onClientDisconnected(HttpConnection& connection);
    void connectionStarted(MHD_Connection* connection, void** context);
    void connectionClosed(HttpConnection& connection);

    [[nodiscard]] HttpExchange* find(requests::HttpHandle handle) const;
    void resume(HttpExchange& exchange);

    // Turns of the event loop (httpserverturns.cpp).
    void run();
    void emitProgress();
    void startTurn();
    void recordCost(HttpConnection& connection, uint64_t bytes);
    void pauseIfShareIsUsed(HttpExchange& exchange);
    void resumePaused();
    [[nodiscard]] bool isTurnUsed() const;

    // Shutdown (httpservershutdown.cpp).
    void acceptWaiting();
    /// Closes the connections of which the server awaits a request or the rest of one.
    void closeAwaiting();
    [[nodiscard]] bool isAwaitingCaller(const HttpConnection& connection) const;

    // Limits of time and of connections (httpserverlimits.cpp).
    void enforceLimits();
    [[nodiscard]] bool isOverdue(const HttpConnection& connection) const;
    void closeUnlessUnread(HttpConnection& connection);
    void recordOverdueUnread(const HttpConnection& connection, int bytes) const;
    void enforceExchangeLimits(HttpExchange& exchange);
    [[nodiscard]] bool isBodyTooSlow(HttpExchange& exchange) const;
    [[nodiscard]] bool isReaderStalled(HttpConnection& connection) const;
    void endBody(HttpExchange& exchange);
    void linger(HttpExchange& exchange);
    /// Closes a connection whose caller may still send a request or wait for a response. Responds first, then reads and
    /// discards what still arrives for a limited time: unread bytes would reset the connection, and the caller could
    /// lose the response.
    void close(HttpConnection& connection, model::CloseReason reason);
    /// Sends the response that is known, or that the request was not run. False: none can be sent.
    [[nodiscard]] bool respondBeforeClose(HttpConnection& connection, model::CloseReason reason);
    /// Ends the connection in both directions at once, without a response.
    void shutDown(HttpConnection& connection);
    void markClosing(HttpConnection& connection);
    void enforceLingerTime(HttpConnection& connection);
    /// Keeps a place for the next connection: libmicrohttpd accepts none while it has acceptedConnections_.
    void endLingeringIfFull();
    /// Discards a request that arrived after its connection was closed.
    [[nodiscard]] MHD_Result discardLateRequest(HttpExchange& exchange);
    /// Logs closes by which a caller may have lost a request or its response.
    void recordClose(const HttpConnection& connection, model::CloseReason reason) const;
    void recordBodyProgress(HttpExchange& exchange, size_t bytes);
    void recordProgress(HttpConnection& connection);
    /// Connections that count for Limits::connections.
    [[nodiscard]] size_t countedConnections() const;
    /// The next connection to be closed for a new one; null if none may be. Moves connections with unread bytes back.
    [[nodiscard]] HttpConnection* nextClosable();
    /// Closes nextClosable() if it has stood still for long enough.
    [[nodiscard]] bool makeRoom();
    /// Whether a request on a connection over the limit is served: room was made for it, or will be once nextClosable()
    /// has stood still for long enough. Half of the connections over the limit are left for refusals.
    [[nodiscard]] bool admitOverLimit(HttpConnection& connection);

    HttpServerOptions options_;
    uint64_t maxHeaderBytes_;
    unsigned int acceptedConnections_; ///< Maximum number, with those that are accepted to be refused.
    std::unordered_map<requests::HttpHandle, std::unique_ptr<HttpExchange>> exchanges_;
    HttpExchanges progressing_; ///< Exchanges with progress that is not reported yet.
    HttpConnections connections_;
    ClosableConnections closable_; ///< Connections on which the server waits for the caller.
    LingeringConnections lingering_; ///< Closed ones whose callers may still send, in the order of their closes.
    size_t closingCount_ = 0; ///< Of connections_.
    uint32_t servedOverLimit_ = 0; ///< Connections over the limit whose request was not refused.
    PausedExchanges paused_; ///< In the order in which they used up their share of a turn.
    uint64_t turn_ = 0; ///< Iteration of the event loop to which turnCost_ belongs.
    uint64_t turnCost_ = 0;
    uint64_t lastHandle_;
    MHD_Daemon* daemon_ = nullptr;
    bool isShuttingDown_ = false;
    bool isStopping_ = false; ///< The object is being destroyed.
    model::Address boundAddress_;
    DisconnectMonitor disconnectMonitor_;
    LoopTask runTask_;
    IoWatcher pollWatcher_;
    TimerWatcher daemonTimer_;
    TimerWatcher limitTimer_;
    Duration limitCheckInterval_ = Duration::zero(); ///< Period of limitTimer_.
};

} // namespace saltvane::net
