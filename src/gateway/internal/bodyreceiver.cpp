/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/bodyreceiver.h"

#include <algorithm>
#include <iterator>

namespace saltvane::gateway {

namespace {

constexpr uint64_t MinBlockBytes = 4 * 1024;
/// A block and the allocator's header fit whole pages.
constexpr uint64_t MaxBlockBytes = 256 * 1024 - 64;
constexpr uint64_t MinWindowBytes = requests::InitialBodyWindow / 2;
/// A body has stood still after this time without progress: longer than the round trip to distant callers.
constexpr Duration StandstillTime = 250ms;
/// A body that arrives more slowly on average, over the plan's idle timeout or MinRateInterval, is refused.
constexpr uint64_t MinBytesPerSecond = 256;
constexpr Duration MinRateInterval = 10s;

} // namespace

BodyReceiver::BodyReceiver(BodyBudget& budget)
    : budget_(budget)
{
}

uint64_t BodyReceiver::maxBodyBytes() const { return std::min(limits_.bodyBytes, budget_.maxBodyBytes()); }

Duration BodyReceiver::rateInterval() const { return std::max(limits_.idleTimeout, MinRateInterval); }

bool BodyReceiver::isSmall(const ReceivedBody& body, uint64_t added)
{
    const uint64_t size = std::max(body.length.value_or(0), body.allocated + added);
    return size <= BodyBudget::MaxSmallBodyBytes;
}

uint64_t BodyReceiver::remaining(const ReceivedBody& body) const
{
    // One byte more than allowed shows that a body of unknown length is too large.
    const uint64_t length = body.length.value_or(maxBodyBytes() + 1);
    return length - std::min(length, body.bytes.size());
}

uint64_t BodyReceiver::nextBlockBytes(const ReceivedBody& body, uint64_t needed) const
{
    const uint64_t spare = body.bytes.spare();
    const uint64_t growth = std::clamp(body.bytes.size(), MinBlockBytes, MaxBlockBytes);
    const uint64_t rest = remaining(body);
    return std::max(needed, std::min(growth, rest - std::min(rest, spare)));
}

void BodyReceiver::start(ReceivedBody& body, Timestamp now)
{
    body.isArriving = true;
    scheduleRateCheck(body, now);
}

void BodyReceiver::scheduleRateCheck(ReceivedBody& body, Timestamp now)
{
    body.rateHook.unlink();
    body.rateCheckAt = now + rateInterval();
    body.sizeAtRateCheck = body.bytes.size();
    body.hasWaited = body.isWaiting;
    rateChecks_.push_back(body);
}

model::Reason BodyReceiver::receive(ReceivedBody& body, std::string_view bytes, Timestamp now)
{
    serveWaiting(now); // Before this request takes memory that was released.
    if (!body.isArriving)
        return model::Reason::NoMemory;
    body.received += bytes.size();
    body.window -= std::min<uint64_t>(body.window, bytes.size());
    if (body.bytes.size() + bytes.size() > maxBodyBytes())
        return model::Reason::BodyTooLarge;
    const uint64_t spare = body.bytes.spare();
    if (bytes.size() > spare && !tryAllocate(body, nextBlockBytes(body, bytes.size() - spare), now))
        return model::Reason::NoMemory;
    body.bytes.append(bytes);
    if (body.isWaiting)
        body.progressAt = now;
    else
        recordProgress(body, now);
    widenWindow(body, now);
    return model::Reason::None;
}

void BodyReceiver::recordProgress(ReceivedBody& body, Timestamp now)
{
    body.progressAt = now;
    body.progressHook.unlink();
    receiving_.push_back(body);
}

bool BodyReceiver::tryAllocate(ReceivedBody& body, uint64_t bytes, Timestamp now)
{
    const bool isSmallBody = isSmall(body, bytes);
    while (!budget_.hasRoom(bytes, isSmallBody)) {
        if (!refuseStalled(body, now))
            return false;
    }
    allocate(body, bytes);
    return true;
}

void BodyReceiver::allocate(ReceivedBody& body, uint64_t bytes)
{
    budget_.addBlock(body.bytes, bytes);
    body.allocated += bytes;
    arriving_ += bytes;
}

void BodyReceiver::widenWindow(ReceivedBody& body, Timestamp now)
{
    if (body.isWaiting || tryWiden(body, now))
        return;
    body.isWaiting = true;
    body.hasWaited = true;
    body.progressAt = now;
    body.progressHook.unlink();
    waiting_.push_back(body);
}

bool BodyReceiver::tryWiden(ReceivedBody& body, Timestamp now)
{
    const uint64_t rest = remaining(body);
    if (body.window >= std::min(rest, MinWindowBytes))
        return true;
    const uint64_t wanted = std::min(rest, body.window + MinWindowBytes);
    const bool isAllocated = body.bytes.spare() >= wanted || tryAllocate(body, nextBlockBytes(body, 1), now);
    const uint64_t spare = std::min<uint64_t>(rest, body.bytes.spare());
    if (spare <= body.window)
        return isAllocated;
    const uint64_t added = spare - body.window;
    body.window += added;
    windows_.push_back({.handle = body.handle, .bytes = added});
    return true;
}

bool BodyReceiver::refuseStalled(const ReceivedBody& claimant, Timestamp now)
{
    const auto hasStalled = [&](const ReceivedBody& body) { return now - body.progressAt >= StandstillTime; };
    // The claimant is passed over. It is the first one only if it waits, or had no progress before these bytes.
    const auto firstOther = [&](ProgressList& list) {
        auto first = list.begin();
        if (first != list.end() && &*first == &claimant)
            ++first;
        return first;
    };
    if (const auto first = firstOther(receiving_); first != receiving_.end() && hasStalled(*first)) {
        refuse(*first, model::Reason::NoMemory);
        return true;
    }
    // Bodies that wait will continue if memory of complete bodies is released.
    if (arriving_ < budget_.held() || waiting_.empty())
        return false;
    ReceivedBody& longest = waiting_.front();
    if (&longest == &claimant || !(hasStalled(longest) || areWaitingDeadlocked()))
        return false;
    refuse(longest, model::Reason::NoMemory);
    return true;
}

bool BodyReceiver::areWaitingDeadlocked() const { return receiving_.empty() && arriving_ >= budget_.held(); }

void BodyReceiver::serveWaiting(Timestamp now)
{
    while (!waiting_.empty()) {
        ReceivedBody& body = waiting_.front();
        if (tryWiden(body, now)) {
            body.isWaiting = false;
            recordProgress(body, now);
            continue;
        }
        const bool isAlone = std::next(waiting_.begin()) == waiting_.end();
        if (isAlone || !areWaitingDeadlocked())
            return;
        refuse(body, model::Reason::NoMemory);
    }
}

void BodyReceiver::refuse(ReceivedBody& body, model::Reason reason)
{
    refused_.push_back({.handle = body.handle, .reason = reason});
    end(body);
    body.bytes = {};
}

void BodyReceiver::end(ReceivedBody& body)
{
    if (!std::exchange(body.isArriving, false))
        return;
    arriving_ -= std::exchange(body.allocated, 0);
    body.isWaiting = false;
    body.progressHook.unlink();
    body.rateHook.unlink();
}

void BodyReceiver::tick(Timestamp now)
{
    checkRates(now);
    serveWaiting(now);
}

void BodyReceiver::checkRates(Timestamp now)
{
    const double leastBytes = MinBytesPerSecond * toSeconds(rateInterval());
    while (!rateChecks_.empty() && rateChecks_.front().rateCheckAt <= now) {
        ReceivedBody& body = rateChecks_.front();
        const bool isTooSlow = static_cast<double>(body.bytes.size() - body.sizeAtRateCheck) < leastBytes;
        if (isTooSlow && !body.hasWaited)
            refuse(body, model::Reason::BodyTimeout);
        else
            scheduleRateCheck(body, now);
    }
}

} // namespace saltvane::gateway
