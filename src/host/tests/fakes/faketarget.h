/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/tests/fakes/fakehttp.h"
#include "host/tests/fakes/virtualtime.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace saltvane::host::fakes {

/// How a target behaves towards dispatches.
enum class TargetBehaviour {
    Normal,
    Refusing, ///< Refuses connections.
    Shedding, ///< Responds 503 with the header that marks the request as not run.
    Failing, ///< Responds 500 without running the request.
    Stalled, ///< Runs the request and never responds.
    Truncating ///< Runs the request and closes the connection in the middle of the response.
};

struct TargetResponse {
    int status = 200;
    std::string body;
};

struct FakeTargetOptions {
    TargetId target;
    Incarnation incarnation {1};
    ServiceName service;
    ZoneName zone;
    model::Address address;
    uint32_t slots = 3;
    uint32_t connections = 300;
    Duration serviceTime = 10ms;
    double coldServiceTimeFactor = 1; ///< Factor on the service time of the first request.
    uint32_t warmUpRequests = 0; ///< Requests until the service time is normal.
    Duration connectTime = 1ms;
    std::string announceKey;
    /// Entry hosts to announce to while no response has assigned one, or when the assigned one does not respond.
    std::vector<HostId> initialHosts;
};

/// What a target observed; the checks of invariants read it.
struct TargetRecord {
    uint32_t maxInFlight = 0;
    uint64_t runs = 0;
    uint64_t cancelled = 0;
    Timestamp lastNewWork;
    std::map<std::string, uint32_t> runsByKey; ///< By Idempotency-Key.
    std::map<std::string, uint32_t> runsByCall; ///< By X-Call, the caller's name for its request.
};

/// What a target is connected to; all in virtual time.
struct FakeTargetEnvironment {
    VirtualTime* time = nullptr;
    FakeHttp* http = nullptr;
    std::function<Duration(const HostId&, const ZoneName&)> delay; ///< One-way.
    std::function<void(const HostId&, Incarnation, requests::TargetEvent)> deliver;
    std::function<bool(const ZoneName&, const HostId&)> isCut;
};

/// A target as docs/TARGETS.md describes it: announces itself over HTTP and runs requests in its slots.
class FakeTarget {
public:
    FakeTarget(FakeTargetOptions options, const FakeTargetEnvironment& environment);

    /// Starts to announce itself.
    void start();
    /// Kills the process: running requests break and new connections are refused.
    void kill();
    /// Starts a new incarnation, which is cold again.
    void restart();
    void leave() { isLeaving_ = true; }
    /// Blocks its announcements while it continues to run requests.
    void setAnnouncementsBlocked(bool areBlocked) { areAnnouncementsBlocked_ = areBlocked; }
    void setBehaviour(TargetBehaviour behaviour) { behaviour_ = behaviour; }
    void setServiceTime(Duration serviceTime) { options_.serviceTime = serviceTime; }
    /// Overrides the number of busy slots that it reports; no value restores the true number.
    void setReportedBusy(std::optional<uint32_t> busy) { reportedBusy_ = busy; }
    /// Sets the function that creates responses; the default returns the target, method, path and body.
    void setResponder(std::function<TargetResponse(const requests::TargetStart&, const std::string& body)> responder);

    // Actions of hosts.
    void handle(const HostId& host, Incarnation incarnation, requests::TargetStart start);
    void handle(const HostId& host, Incarnation incarnation, const requests::TargetRequestBody& body);
    void handle(const HostId& host, Incarnation incarnation, const requests::TargetResponseWindow& window);
    void handle(const HostId& host, Incarnation incarnation, const requests::TargetCancel& cancel);

    [[nodiscard]] const FakeTargetOptions& options() const { return options_; }
    [[nodiscard]] const TargetRecord& record() const { return record_; }
    [[nodiscard]] uint32_t inFlight() const { return running_; }
    [[nodiscard]] const HostId& leaseOwner() const { return lease_.owner; }
    [[nodiscard]] bool isLeaving() const { return isLeaving_; }
    [[nodiscard]] bool isUp() const { return isUp_; }

private:
    struct Lease {
        HostId owner;
        Incarnation incarnation;
        uint64_t sequence = 0;
        Timestamp receivedAt;
    };
    struct RunKey {
        HostId host;
        Incarnation incarnation;
        requests::DispatchId dispatch;
        auto operator<=>(const RunKey&) const = default;
    };
    struct Run {
        requests::TargetStart start;
        std::string body;
        bool isRunning = false; ///< Holds a slot.
        std::string response; ///< The part not sent yet.
        uint64_t window = requests::InitialBodyWindow;
    };

    void announce();
    void handleAnnounceReply(uint64_t sequence, const HttpReply& reply);
    void scheduleAnnouncement(Duration delay);
    [[nodiscard]] std::string announcementBody(uint64_t sequence) const;
    [[nodiscard]] HostId announcementHost();

    void arrive(const RunKey& key, requests::TargetStart start);
    void startRun(const RunKey& key);
    void finishRun(const RunKey& key);
    void sendResponse(const RunKey& key);
    void respondWithoutRunning(const RunKey& key, int status, std::vector<model::Header> headers);
    void removeRun(const RunKey& key);
    void sendFailure(const RunKey& key, bool mayHaveReached);
    void send(const RunKey& key, requests::TargetEvent event);
    [[nodiscard]] Duration nextServiceTime();
    [[nodiscard]] Run* find(const RunKey& key);

    FakeTargetOptions options_;
    FakeTargetEnvironment environment_;
    TargetRecord record_;
    TargetBehaviour behaviour_ = TargetBehaviour::Normal;
    std::function<TargetResponse(const requests::TargetStart&, const std::string&)> responder_;
    std::optional<uint32_t> reportedBusy_;
    bool isUp_ = false;
    bool isLeaving_ = false;
    bool areAnnouncementsBlocked_ = false;
    uint64_t generation_ = 0; ///< Incremented by kill, which voids the steps scheduled before.
    uint64_t sequence_ = 0;
    HostId announceTo_;
    size_t nextInitialHost_ = 0;
    Lease lease_;
    uint32_t running_ = 0;
    uint64_t completedSinceStart_ = 0;
    std::map<RunKey, Run> runs_;
};

} // namespace saltvane::host::fakes
