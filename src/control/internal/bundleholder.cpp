/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/bundleholder.h"

#include <algorithm>
#include <utility>

namespace saltvane::control {

namespace {

constexpr size_t MaximumPulls = 64;
/// A source that did not answer, or whose state is old itself, is not asked for so many pulls.
constexpr int AvoidedPulls = 10;

} // namespace

BundleHolder::BundleHolder(const BundleHolderOptions& options)
    : options_(options)
{
}

void BundleHolder::count(model::Counter counter) const
{
    if (options_.counters)
        options_.counters->add(counter);
}

void BundleHolder::begin(Timestamp now)
{
    if (!startedAt_)
        startedAt_ = now;
}

void BundleHolder::handle(const model::Delivery& delivery, Timestamp now)
{
    begin(now);
    if (const auto* push = std::get_if<model::BundlePush>(&delivery.message))
        handlePush(delivery.from, *push, now);
    else if (const auto* part = std::get_if<model::BundlePart>(&delivery.message))
        handlePart(delivery.from, *part, now);
    else if (const auto* current = std::get_if<model::BundleCurrent>(&delivery.message))
        handleCurrent(delivery.from, *current, now);
    else if (const auto* pull = std::get_if<model::BundlePull>(&delivery.message))
        answerPull(delivery.from, *pull, now);
}

void BundleHolder::handlePush(const HostId& from, const model::BundlePush& push, Timestamp now)
{
    if (inForce_ && push.position < inForce_->position)
        return count(model::Counter::StaleMessages);
    if (isNewer(push.position))
        install(push.position, push.version, push.content, now);
    noteAnswer(from, push.pull, push.position, push.age, now);
}

/// Only the next part is ever asked for, and only once the one before is here: what waits on a narrow link for this
/// host is one part, however large the state is, however often it changes and however slow the link. Whole states sent
/// for each pull filled links of 4 Mbit/s for over 20 s and delayed what else went to the host as long.
void BundleHolder::handlePart(const HostId& from, const model::BundlePart& part, Timestamp now)
{
    const LogPosition held = inForce_ ? inForce_->position : LogPosition {};
    const bool isAlone = part.base == LogPosition {};
    if (part.position <= held || (!isAlone && part.base != held)) {
        count(model::Counter::StaleMessages);
        (void)takePullTime(from, part.pull, part.age);
        return;
    }
    if (part.offset == 0 && part.bytes.size() == part.totalSize) {
        BundleTransfer whole;
        if (whole.take(part, false))
            finishTransfer(whole, from, part, now);
        return;
    }
    const bool isRestart = part.pull != 0 && part.pull == partPull_;
    const bool isTaken = transfer_.take(part, isRestart);
    if (isTaken && transfer_.isComplete())
        return finishTransfer(transfer_, from, part, now);
    (void)takePullTime(from, part.pull, part.age);
    if (isTaken)
        askForPart(from, now);
}

void BundleHolder::finishTransfer(
    BundleTransfer& transfer, const HostId& from, const model::BundlePart& last, Timestamp now)
{
    std::optional<std::string> content
        = transfer.finish(inForce_ ? std::string_view(*inForce_->content) : std::string_view());
    nextPullAt_ = now; // A newer state may have come into force meanwhile.
    wantsWhole_ = !content.has_value();
    if (!content)
        return count(model::Counter::BundlesRefused);
    if (isNewer(last.position))
        install(last.position, last.version, *std::move(content), now);
    noteAnswer(from, last.pull, last.position, last.age, now);
}

void BundleHolder::askForPart(const HostId& source, Timestamp now)
{
    partSource_ = source;
    partDueAt_ = now + options_.partTimeout;
    partPull_ = notePull(source, now);
    outgoing_.push_back({.to = source,
        .message = model::BundlePull {.have = inForce_ ? inForce_->position : LogPosition {},
            .isStarting = !isReady_,
            .pull = partPull_,
            .partOf = transfer_.position(),
            .partBase = transfer_.base(),
            .offset = transfer_.offset(),
            .wantsWhole = wantsWhole_}});
}

void BundleHolder::continueTransfer(Timestamp now)
{
    if (now < partDueAt_)
        return;
    avoidedUntil_[partSource_] = now + AvoidedPulls * options_.pullPeriod;
    const HostId source = chooseSource(now);
    if (!source.isEmpty())
        askForPart(source, now);
}

void BundleHolder::handleCurrent(const HostId& from, const model::BundleCurrent& current, Timestamp now)
{
    if (transfer_.isUnderWay() && current.pull == partPull_)
        partDueAt_ = now; // It doesn't hold what is being fetched.
    noteAnswer(from, current.pull, current.position, current.age, now);
}

void BundleHolder::install(LogPosition position, BundleVersion version, std::string content, Timestamp now)
{
    inForce_ = InForce {
        .position = position, .version = version, .content = std::make_shared<const std::string>(std::move(content))};
    hasNews_ = true;
    count(model::Counter::BundlesInstalled);
    const bool isFetchable = transfer_.position() > position && transfer_.base() == LogPosition {};
    if (!isFetchable)
        transfer_.reset();
    if (options_.isSource)
        parts_.setInForce(*inForce_);
    for (const HostId& receiver : receivers_)
        outgoing_.push_back({.to = receiver, .message = parts_.firstAfterLast({.age = age(now)})});
}

std::optional<Timestamp> BundleHolder::takePullTime(const HostId& from, uint64_t number, Duration answerAge)
{
    const auto pull = std::ranges::find(pulls_, number, &Pull::number);
    if (pull == pulls_.end() || pull->source != from)
        return std::nullopt;
    const Timestamp sentAt = pull->sentAt;
    pulls_.erase(pull);
    answeredAt_ = std::max(answeredAt_.value_or(sentAt), sentAt);
    if (answerAge != Duration::max())
        provenAnswerAt_ = std::max(provenAnswerAt_.value_or(sentAt - answerAge), sentAt - answerAge);
    return sentAt;
}

void BundleHolder::noteAnswer(
    const HostId& from, uint64_t number, LogPosition position, Duration answerAge, Timestamp now)
{
    const std::optional<Timestamp> askedAt = takePullTime(from, number, answerAge);
    if (!askedAt)
        return;
    avoidedUntil_.erase(from);
    if (answerAge >= options_.staleAfter)
        avoidedUntil_[from] = now + AvoidedPulls * options_.pullPeriod;
    // An answer about an older position tells nothing of the one held.
    if (!inForce_ || position != inForce_->position)
        return;
    hasPeerState_ = true;
    if (answerAge != Duration::max())
        confirm(*askedAt - answerAge, now);
    becomeReady(now);
}

void BundleHolder::confirm(Timestamp provenAt, Timestamp now)
{
    confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, provenAt) : provenAt;
    becomeReady(now);
}

void BundleHolder::becomeReady(Timestamp now)
{
    if (isReady_ || !inForce_)
        return;
    const bool isConfirmed = age(now) < options_.staleAfter;
    const bool mayTakePeerState = hasPeerState_ && now - *startedAt_ >= options_.peerStateAfter;
    isReady_ = isConfirmed || mayTakePeerState;
}

void BundleHolder::answerPull(const HostId& from, const model::BundlePull& pull, Timestamp now)
{
    if (!options_.isSource)
        return;
    // A starting host knows nothing that another may rely on, but that the pull has come.
    if (!isReady_) {
        outgoing_.push_back({.to = from, .message = model::BundleCurrent {.age = Duration::max(), .pull = pull.pull}});
        return;
    }
    const BundleParts::Answer answer {.pull = pull.pull, .age = age(now)};
    std::optional<model::Message> part;
    if (pull.offset > 0)
        part = parts_.next(pull, answer);
    if (part)
        outgoing_.push_back({.to = from, .message = *std::move(part)});
    else if (inForce_->position > pull.have)
        outgoing_.push_back(
            {.to = from, .message = parts_.first(pull.wantsWhole ? LogPosition {} : pull.have, answer)});
    else
        outgoing_.push_back({.to = from,
            .message = model::BundleCurrent {.position = inForce_->position, .age = age(now), .pull = pull.pull}});
}

void BundleHolder::setControlView(const std::optional<ControlView>& view, Timestamp now)
{
    begin(now);
    if (!view || view->content.empty())
        return;
    if (isNewer(view->position))
        install(view->position, view->version, std::string(view->content), now);
    if (view->position == inForce_->position && view->proofAge != Duration::max())
        confirm(now - view->proofAge, now);
}

void BundleHolder::setPeers(std::span<const HostId> sources, std::span<const HostId> receivers, Timestamp now)
{
    begin(now);
    sources_.assign(sources.begin(), sources.end());
    receivers_.assign(receivers.begin(), receivers.end());
    std::erase(sources_, options_.self);
    std::erase(receivers_, options_.self);
}

/// After all links fell silent the first new one brings the newest state at once, not with the next pull (half a
/// second).
void BundleHolder::noteLinkUp(const HostId& source, Timestamp now)
{
    avoidedUntil_.erase(source);
    std::erase_if(pulls_, [&](const Pull& pull) { return pull.source == source; });
    if (isReady_ && !transfer_.isUnderWay() && age(now) > options_.pullPeriod)
        sendPull(source, now);
}

void BundleHolder::tick(Timestamp now)
{
    begin(now);
    becomeReady(now);
    if (transfer_.isUnderWay())
        return continueTransfer(now);
    const bool isUnanswered = isReady_ && !pulls_.empty() && !pulls_.back().isOverdue
        && now - pulls_.back().sentAt >= options_.unansweredAfter;
    if (nextPullAt_ && now < *nextPullAt_ && !isUnanswered)
        return;
    nextPullAt_ = now + (isReady_ ? options_.pullPeriod : options_.startPullPeriod);
    if (isReady_)
        avoidSilentSources(now);
    if (const HostId source = chooseSource(now); !source.isEmpty())
        sendPull(source, now);
}

/// Their answers may still come, and then tell what they told late.
void BundleHolder::avoidSilentSources(Timestamp now)
{
    for (Pull& pull : pulls_) {
        if (!std::exchange(pull.isOverdue, true))
            avoidedUntil_[pull.source] = now + AvoidedPulls * options_.pullPeriod;
    }
}

void BundleHolder::sendPull(const HostId& source, Timestamp now)
{
    outgoing_.push_back({.to = source,
        .message = model::BundlePull {.have = inForce_ ? inForce_->position : LogPosition {},
            .isStarting = !isReady_,
            .pull = notePull(source, now),
            .wantsWhole = wantsWhole_}});
}

uint64_t BundleHolder::notePull(const HostId& source, Timestamp now)
{
    if (pulls_.size() >= MaximumPulls)
        pulls_.erase(pulls_.begin());
    pulls_.push_back({.number = ++lastPull_, .source = source, .sentAt = now});
    count(model::Counter::BundlePulls);
    return lastPull_;
}

HostId BundleHolder::chooseSource(Timestamp now)
{
    if (sources_.empty())
        return {};
    std::erase_if(avoidedUntil_, [&](const auto& item) { return item.second <= now; });
    if (isReady_) {
        for (const HostId& source : sources_) {
            if (!avoidedUntil_.contains(source))
                return source;
        }
    }
    return sources_[nextSource_++ % sources_.size()];
}

std::vector<model::Outgoing> BundleHolder::takeOutgoing() { return std::exchange(outgoing_, {}); }

std::optional<IBundleHolder::InForce> BundleHolder::takeInstalled()
{
    if (!std::exchange(hasNews_, false))
        return std::nullopt;
    return inForce_;
}

Duration BundleHolder::ageOf(const std::optional<Timestamp>& at, Timestamp now)
{
    return at ? std::max(now - *at, Duration {}) : Duration::max();
}

Duration BundleHolder::age(Timestamp now) const { return ageOf(confirmedAt_, now); }

bool BundleHolder::isCutOff(Timestamp now) const { return age(now) >= options_.cutOffAfter; }

} // namespace saltvane::control
