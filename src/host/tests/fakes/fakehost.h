/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/ihostcore.h"
#include "host/tests/fakes/fakedisk.h"
#include "host/tests/fakes/fakehttp.h"
#include "host/tests/fakes/fakenetwork.h"
#include "host/tests/fakes/virtualtime.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace saltvane::host::fakes {

/// What a host's actions act on.
struct FakeHostEnvironment {
    VirtualTime* time = nullptr;
    FakeNetwork* network = nullptr;
    FakeHttp* http = nullptr;
    /// Actions on targets.
    std::function<void(const HostId&, Incarnation, requests::Action)> toTarget;
    std::function<void(const HostId&, const requests::AccessRecord&)> onAccess;
};

/// Drives one host core in virtual time with events, ticks and a disk.
class FakeHost {
public:
    FakeHost(
        settings::HostSettings settings, Duration tickPhase, uint64_t seed, const FakeHostEnvironment& environment);

    void start();
    /// Kills the process; with its machine, peers notice only after the link timeout.
    void kill(bool isMachineDown = false);
    /// Delivers SIGTERM.
    void requestStop();
    /// Stalls the process until it is resumed; events are queued meanwhile.
    void pause() { isPaused_ = true; }
    void resume();
    /// False when the host is down.
    bool deliver(Event event);
    bool deliver(Incarnation incarnation, Event event);

    [[nodiscard]] const settings::HostSettings& settings() const { return settings_; }
    [[nodiscard]] bool isUp() const { return core_ != nullptr; }
    [[nodiscard]] IHostCore& core() { return *core_; }
    [[nodiscard]] HostStatus status() const { return core_->status(environment_.time->now()); }
    [[nodiscard]] FakeDisk& disk() { return disk_; }
    [[nodiscard]] Incarnation incarnation() const { return incarnation_; }
    /// The result of the last planned stop; no value before it finishes.
    [[nodiscard]] const std::optional<StopFinished>& stopFinished() const { return stopFinished_; }
    [[nodiscard]] const std::vector<LogLine>& logs() const { return logs_; }
    /// Sets how far this host's monotonic clock is ahead of virtual time.
    void setClockOffset(Duration offset) { clockOffset_ = offset; }

private:
    void scheduleTick(uint64_t generation);
    void carryOutAll();
    void execute(Action action);
    void execute(requests::Action action);
    void execute(control::StorageWrite write);
    [[nodiscard]] Timestamp hostNow() const { return environment_.time->now() + clockOffset_; }

    settings::HostSettings settings_;
    Duration tickPhase_;
    uint64_t seed_;
    FakeHostEnvironment environment_;
    FakeDisk disk_;
    Incarnation incarnation_;
    uint64_t generation_ = 0;
    bool isPaused_ = false;
    Duration clockOffset_ {};
    std::vector<Event> pendingEvents_; ///< Received while paused.
    std::unique_ptr<IHostCore> core_;
    std::optional<StopFinished> stopFinished_;
    std::vector<LogLine> logs_;
};

} // namespace saltvane::host::fakes
