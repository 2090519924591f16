/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/result.h"
#include "host/ihostcore.h"
#include "net/inetadapters.h"
#include "saltvaned/internal/logwriter.h"
#include "saltvaned/internal/stallmonitor.h"
#include "settings/routedhostsettings.h"

#include <deque>
#include <ev.h>
#include <memory>
#include <vector>

namespace saltvane::saltvaned {

/// Connects the core of one host to its network and disk adapters, on one thread with one event loop. All events pass
/// through one queue, so that the core is never called recursively. The actions that an event causes are executed
/// before the next event is handled. docs/ARCHITECTURE.md
class Daemon {
public:
    [[nodiscard]] static Result<std::unique_ptr<Daemon>, IoError> start(const settings::HostSettings& settings);
    /// Also reloads the settings file when it changes and on SIGHUP.
    [[nodiscard]] static Result<std::unique_ptr<Daemon>, IoError> start(
        const settings::RoutedHostSettings& settings, const std::string& settingsPath);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Runs the event loop until the planned stop is complete. Returns the exit code.
    int run();

private:
    Daemon();

    /// What the link hub needs to identify this host to others and to accept their links.
    struct LinkIdentity {
        HostId host;
        Incarnation incarnation;
        std::string deployment;
        std::string linkKey;
        model::Address address;
        uint64_t memoryBytes = 0; ///< Memory limit of the host.
    };

    /// One of the addresses that HTTP is served on.
    struct HttpAddress {
        model::Address address;
        settings::Limits limits;
        net::CallerPaceLimits paceLimits {};
        bool isBodyTakenWhole = false;
        bool isMetricsServed = false;
        int sendBufferBytes = 0;
    };

    Result<Success, IoError> openAdapters(const settings::HostSettings& settings);
    Result<Success, IoError> openAdapters(const settings::RoutedHostSettings& settings);
    [[nodiscard]] static HttpAddress withoutLargeBodies(HttpAddress http);
    Result<Success, IoError> openHttpServers(const settings::RoutedHostSettings& settings);
    Result<Success, IoError> openDataFolder(const std::string& path);
    Result<Success, IoError> openLinks(const LinkIdentity& identity);
    Result<Success, IoError> openTargetClient(Duration connectTimeout, int receiveBufferBytes);
    /// Adds a server to httpServers_; its index there is its listener number.
    Result<Success, IoError> openHttpServer(const HttpAddress& http);
    [[nodiscard]] std::unique_ptr<host::IHostCore> makeRoutedCore(
        const settings::RoutedHostSettings& settings, Incarnation incarnation) const;
    /// Returns why a request must not be sent to its target any more, or None.
    [[nodiscard]] model::Reason recheck(const requests::TargetStart& start);
    [[nodiscard]] net::IHttpServer& serverFor(requests::HttpHandle handle) const;
    void startWatchers();
    void deliver(host::Event event);
    void drainEvents();
    void reloadSettings();
    void watchSettings(const std::string& path);
    void executeActions();
    /// Ends the HTTP service, then the event loop.
    void continueShutdown(Timestamp now);

    void execute(requests::Action action);
    void execute(const control::StorageWrite& write);
    void execute(const host::SoftStateWrite& write);
    void execute(const host::DesiredLinks& links);
    void execute(const host::CallerLimitsChanged& changed);
    void execute(const host::LogLine& line);
    void execute(const host::StopFinished& finished);

    static void onTick(struct ev_loop* loop, ev_timer* watcher, int events);
    static void onSignal(struct ev_loop* loop, ev_signal* watcher, int events);
    static void onHangUp(struct ev_loop* loop, ev_signal* watcher, int events);
    static void onSettingsTimer(struct ev_loop* loop, ev_timer* watcher, int events);

    struct ev_loop* loop_ = nullptr;
    ev_timer tickTimer_ {};
    ev_signal terminateSignal_ {};
    ev_signal interruptSignal_ {};
    ev_signal hangUpSignal_ {};
    ev_timer settingsTimer_ {};
    std::string settingsPath_; ///< Empty: the settings are never reloaded.
    int64_t settingsModifiedAtNs_ = 0; ///< Modification time of the file when it was last read.
    std::vector<model::Address> seeds_;
    std::unique_ptr<host::IHostCore> core_;
    std::unique_ptr<net::IDataFolder> dataFolder_;
    std::vector<std::unique_ptr<net::IHttpServer>> httpServers_; ///< Indexed by listener number.
    std::unique_ptr<net::ITargetClient> targetClient_;
    std::unique_ptr<net::ILinkHub> linkHub_;
    model::Counters adapterCounters_;
    LogWriter logWriter_;
    StallMonitor stallMonitor_;
    std::deque<host::Event> events_;
    bool isDraining_ = false;
    bool isFinished_ = false;
    Timestamp finishedAt_;
    int shutdownTicks_ = 0; ///< Since finishedAt_.
    int shutdownFlushTicks_ = 0; ///< Since the time for the shutdown is over.
    int exitCode_ = 0;
};

} // namespace saltvane::saltvaned
