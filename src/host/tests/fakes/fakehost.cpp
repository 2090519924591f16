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

constexpr Duration SyncTime = 2ms;
constexpr int64_t StartUnixMs = 1'750'000'000'000;

} // namespace

FakeHost::FakeHost(settings::HostSettings settings, Duration tickPhase, uint64_t seed, const FakeHostWorld& world)
    : settings_(std::move(settings))
    , tickPhase_(tickPhase)
    , seed_(seed)
    , world_(world)
    , disk_(settings_.host.value())
{
}

void FakeHost::start()
{
    ++incarnation_.value;
    const uint64_t life = ++life_;
    isPaused_ = false;
    stopFinished_.reset();
    HostCoreOptions options {.settings = settings_, .incarnation = incarnation_, .seed = seed_ + incarnation_.value};
    if (settings_.isControl)
        options.recovered = disk_.recover();
    options.wallClockUnixMs = [time = world_.time] {
        const auto sinceStart = time->now().time_since_epoch();
        return StartUnixMs + std::chrono::duration_cast<std::chrono::milliseconds>(sinceStart).count();
    };
    core_ = makeHostCore(std::move(options));
    world_.network->hostUp(settings_.host, incarnation_, settings_.linkAddress);
    world_.time->after(tickPhase_, [this, life] { scheduleTick(life); });
}

void FakeHost::kill(bool isSilent)
{
    if (!core_)
        return;
    ++life_;
    core_.reset();
    waiting_.clear();
    world_.network->hostDown(settings_.host, isSilent);
    world_.http->hostDown(settings_.host);
}

void FakeHost::requestStop() { deliver(StopRequested {}); }

void FakeHost::resume()
{
    isPaused_ = false;
    for (Event& event : std::exchange(waiting_, {}))
        deliver(std::move(event));
}

bool FakeHost::deliver(Event event)
{
    if (!core_)
        return false;
    if (isPaused_) {
        waiting_.push_back(std::move(event));
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

void FakeHost::scheduleTick(uint64_t life)
{
    if (life != life_)
        return;
    world_.time->after(TickPeriod, [this, life] { scheduleTick(life); });
    if (isPaused_)
        return;
    core_->tick(hostNow());
    carryOutAll();
}

void FakeHost::carryOutAll()
{
    // An action may end the host.
    for (Action& action : core_->takeActions()) {
        if (!core_)
            return;
        carryOut(std::move(action));
    }
}

void FakeHost::carryOut(Action action)
{
    const auto one = [this](auto&& typed) {
        using Type = std::decay_t<decltype(typed)>;
        if constexpr (std::is_same_v<Type, requests::Action> || std::is_same_v<Type, control::StorageWrite>) {
            carryOut(std::move(typed));
        } else if constexpr (std::is_same_v<Type, SoftStateWrite>) {
            return; // Hosts of this kind write none.
        } else if constexpr (std::is_same_v<Type, LinksWanted>) {
            world_.network->setWanted(settings_.host, typed);
        } else if constexpr (std::is_same_v<Type, CallerLimitsChanged>) {
            // Its callers keep within any limits.
        } else if constexpr (std::is_same_v<Type, LogLine>) {
            logs_.push_back(std::move(typed));
        } else {
            static_assert(std::is_same_v<Type, StopFinished>);
            stopFinished_ = typed;
            world_.time->after({}, [this, life = life_] {
                if (life == life_)
                    kill();
            });
        }
    };
    std::visit(one, std::move(action));
}

void FakeHost::carryOut(requests::Action action)
{
    const auto one = [this](auto&& typed) {
        using Type = std::decay_t<decltype(typed)>;
        constexpr bool IsTargets
            = std::is_same_v<Type,
                  requests::
                      TargetStart> || std::is_same_v<Type, requests::TargetRequestBody> || std::is_same_v<Type, requests::TargetResponseWindow> || std::is_same_v<Type, requests::TargetCancel>;
        if constexpr (IsTargets)
            world_.toTarget(settings_.host, incarnation_, requests::Action(std::move(typed)));
        else if constexpr (std::is_same_v<Type, model::Outgoing>)
            world_.network->send(settings_.host, std::move(typed));
        else if constexpr (std::is_same_v<Type, requests::AccessRecord>)
            world_.onAccess(settings_.host, typed);
        else
            world_.http->carryOut(settings_.host, std::move(typed));
    };
    std::visit(one, std::move(action));
}

void FakeHost::carryOut(control::StorageWrite write)
{
    world_.time->after(SyncTime, [this, life = life_, carried = std::move(write)] {
        if (life != life_)
            return;
        if (disk_.write(carried))
            deliver(control::StorageDone {carried.sequence});
        else
            deliver(control::StorageFailed {carried.sequence, "no space left"});
    });
}

} // namespace saltvane::host::fakes
