/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/fakes/fakehost.h"

#include <type_traits>
#include <utility>

namespace saltvane::host::fakes {

namespace {

constexpr Duration DiskSyncTime = 2ms;
constexpr int64_t StartUnixMs = 1'750'000'000'000;

} // namespace

FakeHost::FakeHost(
    settings::HostSettings settings, Duration tickPhase, uint64_t seed, const FakeHostEnvironment& environment)
    : settings_(std::move(settings))
    , tickPhase_(tickPhase)
    , seed_(seed)
    , environment_(environment)
    , disk_(settings_.host.value())
{
}

void FakeHost::start()
{
    ++incarnation_.value;
    const uint64_t generation = ++generation_;
    isPaused_ = false;
    stopFinished_.reset();
    HostCoreOptions options {.settings = settings_, .incarnation = incarnation_, .seed = seed_ + incarnation_.value};
    if (settings_.isControl)
        options.recovered = disk_.recover();
    options.wallClockUnixMs = [time = environment_.time] {
        const auto sinceStart = time->now().time_since_epoch();
        return StartUnixMs + std::chrono::duration_cast<std::chrono::milliseconds>(sinceStart).count();
    };
    core_ = makeHostCore(std::move(options));
    environment_.network->onHostUp(settings_.host, incarnation_, settings_.linkAddress);
    environment_.time->after(tickPhase_, [this, generation] { scheduleTick(generation); });
}

void FakeHost::kill(bool isMachineDown)
{
    if (!core_)
        return;
    ++generation_;
    core_.reset();
    pendingEvents_.clear();
    environment_.network->onHostDown(settings_.host, isMachineDown);
    environment_.http->onHostDown(settings_.host);
}

void FakeHost::requestStop() { deliver(StopRequested {}); }

void FakeHost::resume()
{
    isPaused_ = false;
    for (Event& event : std::exchange(pendingEvents_, {}))
        deliver(std::move(event));
}

bool FakeHost::deliver(Event event)
{
    if (!core_)
        return false;
    if (isPaused_) {
        pendingEvents_.push_back(std::move(event));
        return true;
    }
    core_->handle(std::move(event), hostNow());
    carryOutAll();
    return true;
}

bool FakeHost::deliver(Incarnation incarnation, Event event)
{
    return incarnation == incarnation_ && deliver(std::move(event));
}

void FakeHost::scheduleTick(uint64_t generation)
{
    if (generation != generation_)
        return;
    environment_.time->after(TickInterval, [this, generation] { scheduleTick(generation); });
    if (isPaused_)
        return;
    core_->tick(hostNow());
    carryOutAll();
}

void FakeHost::carryOutAll()
{
    // An action may kill the host.
    for (Action& action : core_->drainActions()) {
        if (!core_)
            return;
        execute(std::move(action));
    }
}

void FakeHost::execute(Action action)
{
    const auto executeAction = [this](auto&& typed) {
        using Type = std::decay_t<decltype(typed)>;
        if constexpr (std::is_same_v<Type, requests::Action> || std::is_same_v<Type, control::StorageWrite>) {
            execute(std::move(typed));
        } else if constexpr (std::is_same_v<Type, SoftStateWrite>) {
            return; // This kind of host writes no soft state.
        } else if constexpr (std::is_same_v<Type, DesiredLinks>) {
            environment_.network->setWantedLinks(settings_.host, typed);
        } else if constexpr (std::is_same_v<Type, CallerLimitsChanged>) {
            // Not enforced: the fake callers stay within all limits.
        } else if constexpr (std::is_same_v<Type, LogLine>) {
            logs_.push_back(std::move(typed));
        } else {
            static_assert(std::is_same_v<Type, StopFinished>);
            stopFinished_ = typed;
            environment_.time->after({}, [this, generation = generation_] {
                if (generation == generation_)
                    kill();
            });
        }
    };
    std::visit(executeAction, std::move(action));
}

void FakeHost::execute(requests::Action action)
{
    const auto executeAction = [this](auto&& typed) {
        using Type = std::decay_t<decltype(typed)>;
        constexpr bool IsTargets
            = std::is_same_v<Type,
                  requests::
                      TargetStart> || std::is_same_v<Type, requests::TargetRequestBody> || std::is_same_v<Type, requests::TargetResponseWindow> || std::is_same_v<Type, requests::TargetCancel>;
        if constexpr (IsTargets)
            environment_.toTarget(settings_.host, incarnation_, requests::Action(std::move(typed)));
        else if constexpr (std::is_same_v<Type, model::OutgoingMessage>)
            environment_.network->send(settings_.host, std::move(typed));
        else if constexpr (std::is_same_v<Type, requests::AccessRecord>)
            environment_.onAccess(settings_.host, typed);
        else
            environment_.http->execute(settings_.host, std::move(typed));
    };
    std::visit(executeAction, std::move(action));
}

void FakeHost::execute(control::StorageWrite write)
{
    environment_.time->after(DiskSyncTime, [this, generation = generation_, carried = std::move(write)] {
        if (generation != generation_)
            return;
        if (disk_.write(carried))
            deliver(control::StorageDone {carried.sequence});
        else
            deliver(control::StorageFailed {carried.sequence, "no space left"});
    });
}

} // namespace saltvane::host::fakes
