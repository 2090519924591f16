/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/inetadapters.h"
#include "settings/hostsettings.h"
#include "standin/standintarget.h"

#include <ev.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace saltvane::standin {

/// Announces all targets of the process, each on its own schedule, to the host that the last response named.
class Announcer {
public:
    struct Options {
        struct ev_loop* loop = nullptr;
        std::vector<StandInTarget*> targets;
        std::vector<settings::HostSettings> hosts; ///< Addresses and announcement keys.
        uint64_t incarnation = 1;
    };
    static Result<std::unique_ptr<Announcer>, IoError> start(Options options);
    ~Announcer();
    Announcer(const Announcer&) = delete;
    Announcer& operator=(const Announcer&) = delete;

private:
    struct Lease {
        std::string owner;
        uint64_t ownerIncarnation = 0;
        uint64_t sequence = 0; ///< Of the announcement whose response granted the lease.
        double receivedAt = 0; ///< Event loop time of that response, in seconds.
    };
    struct Entry {
        StandInTarget* target = nullptr;
        std::vector<model::Address> knownHosts; ///< Hosts of the target's own zone first.
        size_t nextKnownHost = 0;
        model::Address announceTo;
        std::string secret;
        uint64_t sequence = 0;
        double nextAnnounceAt = 0;
        double sentAt = 0;
        bool isAwaitingResponse = false;
        Lease lease;
        int status = 0;
        std::string response;
    };

    explicit Announcer(Options options);
    void addTarget(StandInTarget* target);
    void tick();
    void announce(size_t index);
    void handle(const host::Event& event);
    void finish(size_t index, bool isSuccessful);
    void applyResponse(Entry& entry);
    static void onTimer(struct ev_loop* loop, ev_timer* timer, int events);

    Options options_;
    std::unique_ptr<net::ITargetClient> client_;
    ev_timer timer_ {};
    std::vector<Entry> entries_;
    std::map<requests::DispatchId, size_t> exchanges_;
    uint64_t nextDispatch_ = 1;
};

} // namespace saltvane::standin
