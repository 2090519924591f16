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
#include "saltvaned/internal/standstillwatch.h"
#include "settings/routedhostsettings.h"

#include <deque>
#include <ev.h>
#include <memory>
#include <vector>

namespace saltvane::saltvaned {

/// Binds one host's core to its adapters: one thread, one loop. Events go through one queue, so that the core is
/// never entered twice; actions are carried out right after the event that caused them. docs/ARCHITECTURE.md
class Daemon {
public:
    [[nodiscard]] static Result<std::unique_ptr<Daemon>, IoError> start(const settings::HostSettings& settings);
    /// Reads the file again when it changes, and on SIGHUP.
    [[nodiscard]] static Result<std::unique_ptr<Daemon>, IoError> start(
        const settings::RoutedHostSettings& settings, const std::string& settingsPath);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Runs until the planned stop is over; gives the exit code.
    int run();

private:
    Daemon();

    /// How other hosts know this one.
    struct LinkIdentity {
        HostId host;
        Incarnation incarnation;
        std::string deployment;
        std::string linkKey;
        model::Address address;
        uint64_t memoryBytes = 0; ///< That the host may use.
    };

    Result<Done, IoError> openAdapters(const settings::HostSettings& settings);
    Result<Done, IoError> openAdapters(const settings::RoutedHostSettings& settings);
    Result<Done, IoError> openDataFolder(const std::string& path);
    Result<Done, IoError> openLinks(const LinkIdentity& identity);
    Result<Done, IoError> openTargetClient(Duration connectTimeout, int receiveBuffer);
    /// Each call opens the next listener.
    Result<Done, IoError> openHttpServer(
        const model::Address& address, const settings::Limits& limits, bool isMetricsServed, int sendBuffer);
    [[nodiscard]] std::unique_ptr<host::IHostCore> makeRoutedCore(
        const settings::RoutedHostSettings& settings, Incarnation incarnation) const;
    [[nodiscard]] net::IHttpServer& serverOf(requests::HttpHandle handle) const;
    void startWatchers();
    void deliver(host::Event event);
    void drainEvents();
    void reloadSettings();
    void watchSettings(const std::string& path);
    void carryOutActions();

    void carryOut(requests::Action action);
    void carryOut(const control::StorageWrite& write);
    void carryOut(const host::SoftStateWrite& write);
    void carryOut(const host::LinksWanted& links);
    void carryOut(const host::CallerLimitsChanged& changed);
    void carryOut(const host::LogLine& line);
    void carryOut(const host::StopFinished& finished);

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
    std::string settingsPath_; ///< Empty: its changes are not followed.
    int64_t settingsChangedAt_ = 0; ///< Of the file, nanoseconds.
    std::vector<model::Address> seeds_;
    std::unique_ptr<host::IHostCore> core_;
    std::unique_ptr<net::IDataFolder> dataFolder_;
    std::vector<std::unique_ptr<net::IHttpServer>> httpServers_; ///< By listener.
    std::unique_ptr<net::ITargetClient> targetClient_;
    std::unique_ptr<net::ILinkHub> linkHub_;
    model::Counters adapterCounters_;
    LogWriter logWriter_;
    StandstillWatch standstills_;
    std::deque<host::Event> events_;
    bool isDraining_ = false;
    bool isFinished_ = false;
    int exitCode_ = 0;
};

} // namespace saltvane::saltvaned
