/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/limitcredits.h"

#include <algorithm>

namespace saltvane::gateway {

namespace {

/// A registry host answers within a round trip to the others and their answers, or is not there.
constexpr Duration UnansweredAfter = 200ms;
/// A credit that its request did not use serves another one within it: what is kept counts against the limit.
constexpr Duration SpareLifetime = 300ms;
/// An answer that comes later than that is not waited for any more; its credits are lost.
constexpr Duration LateAnswerMemory = 1s;
/// While nobody answers requests are refused at once, but for one in this time.
constexpr Duration ProbePeriod = 100ms;
/// For callers of whose limit no registry host can tell: about the time in which one comes back.
constexpr Duration RetryAfterUnknown = 400ms;

} // namespace

bool LimitCredits::trySpend(const model::LimitId& limit, Timestamp now)
{
    expire(now);
    const auto found = spare_.find(limit);
    if (found == spare_.end())
        return false;
    found->second.pop_back();
    if (found->second.empty())
        spare_.erase(found);
    return true;
}

void LimitCredits::giveBack(const model::LimitId& limit, Timestamp now)
{
    spare_[limit].push_back(now + SpareLifetime);
    spareByAge_.emplace_back(now + SpareLifetime, limit);
}

void LimitCredits::expire(Timestamp now)
{
    while (!spareByAge_.empty() && spareByAge_.front().first <= now) {
        const auto found = spare_.find(spareByAge_.front().second);
        spareByAge_.pop_front();
        if (found == spare_.end() || found->second.front() > now)
            continue;
        found->second.pop_front();
        if (found->second.empty())
            spare_.erase(found);
    }
}

void LimitCredits::ask(requests::HttpHandle handle, const model::LimitId& limit, size_t mostSources, Timestamp now)
{
    if (!isSilent_ || isProbe(now))
        return send({.handle = handle, .limit = limit, .mostSources = mostSources}, now);
    verdicts_.push_back({.handle = handle, .reason = model::Reason::LimitUnknown, .retryAfter = RetryAfterUnknown});
}

bool LimitCredits::isProbe(Timestamp now)
{
    if (now < nextProbeAt_)
        return false;
    nextProbeAt_ = now + ProbePeriod;
    return true;
}

void LimitCredits::noteUnanswered(const Ask& ask) { isSilent_ = isSilent_ || answeredAt_ < ask.sentAt; }

void LimitCredits::send(Ask ask, Timestamp now)
{
    const auto source = std::ranges::find_if(
        sources_, [&](const HostId& host) { return std::ranges::find(ask.asked, host) == ask.asked.end(); });
    if (source == sources_.end() || ask.asked.size() >= ask.mostSources) {
        verdicts_.push_back(
            {.handle = ask.handle, .reason = model::Reason::LimitUnknown, .retryAfter = RetryAfterUnknown});
        return;
    }
    ask.source = *source;
    ask.asked.push_back(*source);
    ask.sentAt = now;
    ask.checkAt = now + UnansweredAfter;
    const uint64_t number = ++lastNumber_;
    checks_.emplace(ask.checkAt, number);
    waiting_[ask.handle] = number;
    outgoing_[ask.source].asks.push_back({.ask = number, .limit = ask.limit, .credits = 1});
    asks_.emplace(number, std::move(ask));
}

void LimitCredits::abandon(uint64_t number, Timestamp now)
{
    Ask& ask = asks_.at(number);
    checks_.erase({ask.checkAt, number});
    waiting_.erase(ask.handle);
    ask.handle = {};
    ask.checkAt = now + LateAnswerMemory;
    checks_.emplace(ask.checkAt, number);
}

void LimitCredits::askNext(uint64_t number, Timestamp now)
{
    Ask again = asks_.at(number);
    abandon(number, now);
    send(std::move(again), now);
}

void LimitCredits::forget(requests::HttpHandle handle)
{
    const auto found = waiting_.find(handle);
    if (found == waiting_.end())
        return;
    // Its check stays: until then the answer is known for what it is.
    asks_.at(found->second).handle = {};
    waiting_.erase(found);
}

void LimitCredits::handle(const model::LimitCreditReply& reply, Timestamp now)
{
    answeredAt_ = now;
    isSilent_ = false;
    for (const model::LimitCreditAnswer& answer : reply.answers) {
        const auto found = asks_.find(answer.ask);
        if (found == asks_.end())
            continue;
        const Ask& ask = found->second;
        const bool isAwaited = ask.handle != requests::HttpHandle {};
        if (isAwaited && answer.credits == 0 && answer.retryAfter == Duration::zero()) {
            askNext(answer.ask, now); // It doesn't know the limit, or its own share.
            continue;
        }
        if (isAwaited) {
            verdicts_.push_back({.handle = ask.handle,
                .reason = answer.credits > 0 ? model::Reason::None : model::Reason::RateLimited,
                .retryAfter = answer.retryAfter});
            waiting_.erase(ask.handle);
        } else if (answer.credits > 0) {
            giveBack(ask.limit, now);
        }
        checks_.erase({ask.checkAt, answer.ask});
        asks_.erase(found);
    }
}

void LimitCredits::noteLinkDown(const HostId& host, Timestamp now)
{
    std::erase(sources_, host);
    std::vector<uint64_t> lost;
    for (const auto& [handle, number] : waiting_) {
        if (asks_.at(number).source == host)
            lost.push_back(number);
    }
    for (const uint64_t number : lost)
        askNext(number, now);
}

void LimitCredits::tick(Timestamp now)
{
    while (!checks_.empty() && checks_.begin()->first <= now) {
        const uint64_t number = checks_.begin()->second;
        if (asks_.at(number).handle != requests::HttpHandle {}) {
            noteUnanswered(asks_.at(number));
            askNext(number, now);
            continue;
        }
        checks_.erase(checks_.begin());
        asks_.erase(number);
    }
    expire(now);
}

std::vector<model::Outgoing> LimitCredits::takeOutgoing()
{
    std::vector<model::Outgoing> outgoing;
    for (auto& [host, request] : outgoing_)
        outgoing.push_back({.to = host, .message = std::move(request)});
    outgoing_.clear();
    return outgoing;
}

} // namespace saltvane::gateway
