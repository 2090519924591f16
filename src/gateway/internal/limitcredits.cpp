/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/limitcredits.h"

#include <algorithm>

namespace saltvane::gateway {

namespace {

/// A registry host answers within a round trip to the other registry hosts, or is not reachable.
constexpr Duration AnswerTimeout = 200ms;
/// Time for which another request may use a returned credit. Unused credits count against the limit.
constexpr Duration SpareCreditLifetime = 300ms;
/// Answers that arrive later than this are ignored; their credits are lost.
constexpr Duration LateAnswerTimeout = 1s;
/// While no registry host answers, requests are refused immediately, except for one probe per interval.
constexpr Duration ProbeInterval = 100ms;
/// Retry delay for callers whose limit is unknown: about the time in which a registry host comes back.
constexpr Duration UnknownLimitRetryAfter = 400ms;

} // namespace

bool LimitCredits::trySpend(const model::LimitId& limit, Timestamp now)
{
    expire(now);
    const auto found = spareCredits_.find(limit);
    if (found == spareCredits_.end())
        return false;
    found->second.pop_back();
    if (found->second.empty())
        spareCredits_.erase(found);
    return true;
}

void LimitCredits::returnCredit(const model::LimitId& limit, Timestamp now)
{
    spareCredits_[limit].push_back(now + SpareCreditLifetime);
    spareExpiries_.emplace_back(now + SpareCreditLifetime, limit);
}

void LimitCredits::expire(Timestamp now)
{
    while (!spareExpiries_.empty() && spareExpiries_.front().first <= now) {
        const auto found = spareCredits_.find(spareExpiries_.front().second);
        spareExpiries_.pop_front();
        if (found == spareCredits_.end() || found->second.front() > now)
            continue;
        found->second.pop_front();
        if (found->second.empty())
            spareCredits_.erase(found);
    }
}

void LimitCredits::request(CreditRequest request, Timestamp now)
{
    if (!isRegistryUnresponsive_ || tryStartProbe(now))
        return send({.credit = std::move(request)}, now);
    results_.push_back(
        {.handle = request.handle, .reason = model::Reason::LimitUnknown, .retryAfter = UnknownLimitRetryAfter});
}

bool LimitCredits::tryStartProbe(Timestamp now)
{
    if (now < nextProbeAt_)
        return false;
    nextProbeAt_ = now + ProbeInterval;
    return true;
}

void LimitCredits::onTimeout(const PendingRequest& request)
{
    isRegistryUnresponsive_ = isRegistryUnresponsive_ || answeredAt_ < request.sentAt;
}

void LimitCredits::send(PendingRequest request, Timestamp now)
{
    const auto source = std::ranges::find_if(sources_,
        [&](const HostId& host) { return std::ranges::find(request.askedHosts, host) == request.askedHosts.end(); });
    if (source == sources_.end() || request.askedHosts.size() >= request.credit.maxSources) {
        results_.push_back({.handle = request.credit.handle,
            .reason = model::Reason::LimitUnknown,
            .retryAfter = UnknownLimitRetryAfter});
        return;
    }
    request.source = *source;
    request.askedHosts.push_back(*source);
    request.sentAt = now;
    request.timeoutAt = now + AnswerTimeout;
    const uint64_t requestNumber = ++lastRequestNumber_;
    timeouts_.emplace(request.timeoutAt, requestNumber);
    byHandle_[request.credit.handle] = requestNumber;
    model::LimitCreditRequest& message = outgoing_[request.source];
    message.asks.push_back({.ask = requestNumber, .limit = request.credit.limit, .credits = 1});
    addLimit(message, request.credit);
    pendingRequests_.emplace(requestNumber, std::move(request));
}

void LimitCredits::addLimit(model::LimitCreditRequest& message, const CreditRequest& request)
{
    const std::optional<model::AccountLimitNotice>& accountLimit = request.accountLimit;
    if (accountLimit && (message.accountLimits.empty() || message.accountLimits.back() != *accountLimit))
        message.accountLimits.push_back(*accountLimit);
    const std::optional<model::BackpressureNotice>& targetLimit = request.targetLimit;
    if (targetLimit && (message.targetLimits.empty() || message.targetLimits.back() != *targetLimit))
        message.targetLimits.push_back(*targetLimit);
}

void LimitCredits::abandon(uint64_t requestNumber, Timestamp now)
{
    PendingRequest& request = pendingRequests_.at(requestNumber);
    timeouts_.erase({request.timeoutAt, requestNumber});
    byHandle_.erase(request.credit.handle);
    request.credit.handle = {};
    request.timeoutAt = now + LateAnswerTimeout;
    timeouts_.emplace(request.timeoutAt, requestNumber);
}

void LimitCredits::requestFromNext(uint64_t requestNumber, Timestamp now)
{
    PendingRequest retry = pendingRequests_.at(requestNumber);
    if (retry.credit.targetLimit)
        retry.credit.targetLimit->age += now - retry.sentAt;
    abandon(requestNumber, now);
    send(std::move(retry), now);
}

void LimitCredits::cancel(requests::HttpHandle handle)
{
    const auto found = byHandle_.find(handle);
    if (found == byHandle_.end())
        return;
    // Its timeout stays scheduled: until then a late answer can still be matched to its limit.
    pendingRequests_.at(found->second).credit.handle = {};
    byHandle_.erase(found);
}

void LimitCredits::handle(const model::LimitCreditReply& reply, Timestamp now)
{
    answeredAt_ = now;
    isRegistryUnresponsive_ = false;
    for (const model::LimitCreditAnswer& answer : reply.answers) {
        const auto found = pendingRequests_.find(answer.ask);
        if (found == pendingRequests_.end())
            continue;
        const CreditRequest& request = found->second.credit;
        const bool isPending = request.handle != requests::HttpHandle {};
        if (isPending && answer.credits == 0 && answer.retryAfter == Duration::zero()) {
            requestFromNext(answer.ask, now); // It does not know the limit, or its own share.
            continue;
        }
        if (isPending) {
            results_.push_back({.handle = request.handle,
                .reason = answer.credits > 0 ? model::Reason::None : model::Reason::RateLimited,
                .retryAfter = answer.retryAfter});
            byHandle_.erase(request.handle);
        } else if (answer.credits > 0) {
            returnCredit(request.limit, now);
        }
        timeouts_.erase({found->second.timeoutAt, answer.ask});
        pendingRequests_.erase(found);
    }
}

void LimitCredits::onLinkDown(const HostId& host, Timestamp now)
{
    std::erase(sources_, host);
    std::vector<uint64_t> affected;
    for (const auto& [handle, requestNumber] : byHandle_) {
        if (pendingRequests_.at(requestNumber).source == host)
            affected.push_back(requestNumber);
    }
    for (const uint64_t requestNumber : affected)
        requestFromNext(requestNumber, now);
}

void LimitCredits::tick(Timestamp now)
{
    while (!timeouts_.empty() && timeouts_.begin()->first <= now) {
        const uint64_t requestNumber = timeouts_.begin()->second;
        if (pendingRequests_.at(requestNumber).credit.handle != requests::HttpHandle {}) {
            onTimeout(pendingRequests_.at(requestNumber));
            requestFromNext(requestNumber, now);
            continue;
        }
        timeouts_.erase(timeouts_.begin());
        pendingRequests_.erase(requestNumber);
    }
    expire(now);
}

std::vector<model::OutgoingMessage> LimitCredits::drainOutgoing()
{
    std::vector<model::OutgoingMessage> outgoing;
    for (auto& [host, request] : outgoing_)
        outgoing.push_back({.to = host, .message = std::move(request)});
    outgoing_.clear();
    return outgoing;
}

} // namespace saltvane::gateway
