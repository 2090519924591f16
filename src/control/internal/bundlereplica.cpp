/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/bundlereplica.h"

#include <algorithm>
#include <utility>

namespace saltvane::control {

namespace {

constexpr size_t MaxPendingPulls = 64;
/// Number of pulls for which a source that did not answer, or whose proof is too old, is avoided.
constexpr int AvoidancePulls = 10;

} // namespace

BundleReplica::BundleReplica(const BundleReplicaOptions& options)
    : options_(options)
{
}

void BundleReplica::count(model::Counter counter) const
{
    if (options_.counters)
        options_.counters->add(counter);
}

void BundleReplica::begin(Timestamp now)
{
    if (!startedAt_)
        startedAt_ = now;
}

void BundleReplica::handle(const model::Delivery& delivery, Timestamp now)
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

void BundleReplica::handlePush(const HostId& from, const model::BundlePush& push, Timestamp now)
{
    if (inForce_ && push.position < inForce_->position)
        return count(model::Counter::StaleMessages);
    if (isNewer(push.position))
        install(push.position, push.version, push.content, now);
    handleAnswer(from, push.pull, push.position, push.age, now);
}

/// Requests each part only after the previous one has arrived, so that at most one part is queued on a slow link to
/// this host, whatever the size of the state and the rate of changes. Sending complete states for each pull filled
/// links of 4 Mbit/s for over 20 s and delayed all other messages to the host by as much.
void BundleReplica::handlePart(const HostId& from, const model::BundlePart& part, Timestamp now)
{
    const LogPosition ownPosition = inForce_ ? inForce_->position : LogPosition {};
    const bool isSelfContained = part.base == LogPosition {};
    if (part.position <= ownPosition || (!isSelfContained && part.base != ownPosition)) {
        count(model::Counter::StaleMessages);
        (void)popPullTime(from, part.pull, part.age);
        return;
    }
    if (part.offset == 0 && part.bytes.size() == part.totalSize) {
        BundleTransfer singlePart;
        if (singlePart.addPart(part, false))
            finishTransfer(singlePart, from, part, now);
        return;
    }
    const bool isRestart = part.pull != 0 && part.pull == partPull_;
    const bool isAccepted = transfer_.addPart(part, isRestart);
    if (isAccepted && transfer_.isComplete())
        return finishTransfer(transfer_, from, part, now);
    (void)popPullTime(from, part.pull, part.age);
    if (isAccepted)
        requestPart(from, now);
}

void BundleReplica::finishTransfer(
    BundleTransfer& transfer, const HostId& from, const model::BundlePart& last, Timestamp now)
{
    std::optional<std::string> content
        = transfer.finish(inForce_ ? std::string_view(*inForce_->content) : std::string_view());
    nextPullAt_ = now; // A newer state may have come into force meanwhile.
    needsFullState_ = !content.has_value();
    if (!content)
        return count(model::Counter::BundlesRefused);
    if (isNewer(last.position))
        install(last.position, last.version, *std::move(content), now);
    handleAnswer(from, last.pull, last.position, last.age, now);
}

void BundleReplica::requestPart(const HostId& source, Timestamp now)
{
    partSource_ = source;
    partTimeoutAt_ = now + options_.partTimeout;
    partPull_ = recordPull(source, now);
    outgoing_.push_back({.to = source,
        .message = model::BundlePull {.have = inForce_ ? inForce_->position : LogPosition {},
            .isStarting = !isReady_,
            .pull = partPull_,
            .partOf = transfer_.position(),
            .partBase = transfer_.base(),
            .offset = transfer_.offset(),
            .wantsWhole = needsFullState_}});
}

void BundleReplica::continueTransfer(Timestamp now)
{
    if (now < partTimeoutAt_)
        return;
    avoidedUntil_[partSource_] = now + AvoidancePulls * options_.pullInterval;
    const HostId source = chooseSource(now);
    if (!source.isEmpty())
        requestPart(source, now);
}

void BundleReplica::handleCurrent(const HostId& from, const model::BundleCurrent& current, Timestamp now)
{
    if (transfer_.isInProgress() && current.pull == partPull_)
        partTimeoutAt_ = now; // The source no longer has the state of this transfer.
    handleAnswer(from, current.pull, current.position, current.age, now);
}

void BundleReplica::install(LogPosition position, BundleVersion version, std::string content, Timestamp now)
{
    inForce_ = InForce {
        .position = position, .version = version, .content = std::make_shared<const std::string>(std::move(content))};
    hasNewState_ = true;
    count(model::Counter::BundlesInstalled);
    const bool isFetchable = transfer_.position() > position && transfer_.base() == LogPosition {};
    if (!isFetchable)
        transfer_.reset();
    if (options_.isSource)
        parts_.setInForce(*inForce_);
    for (const HostId& receiver : receivers_)
        outgoing_.push_back({.to = receiver, .message = parts_.firstMessageAfterPrevious({.age = age(now)})});
}

std::optional<Timestamp> BundleReplica::popPullTime(const HostId& from, uint64_t number, Duration answerAge)
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

void BundleReplica::handleAnswer(
    const HostId& from, uint64_t number, LogPosition position, Duration answerAge, Timestamp now)
{
    const std::optional<Timestamp> requestedAt = popPullTime(from, number, answerAge);
    if (!requestedAt)
        return;
    avoidedUntil_.erase(from);
    if (answerAge >= options_.maxProofAge)
        avoidedUntil_[from] = now + AvoidancePulls * options_.pullInterval;
    // An answer for an older position says nothing about the state in force here.
    if (!inForce_ || position != inForce_->position)
        return;
    hasPeerState_ = true;
    if (answerAge != Duration::max())
        confirm(*requestedAt - answerAge, now);
    becomeReady(now);
}

void BundleReplica::confirm(Timestamp provenAt, Timestamp now)
{
    confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, provenAt) : provenAt;
    becomeReady(now);
}

void BundleReplica::becomeReady(Timestamp now)
{
    if (isReady_ || !inForce_)
        return;
    const bool isConfirmed = age(now) < options_.maxProofAge;
    const bool mayAcceptPeerState = hasPeerState_ && now - *startedAt_ >= options_.peerStateDelay;
    isReady_ = isConfirmed || mayAcceptPeerState;
}

void BundleReplica::answerPull(const HostId& from, const model::BundlePull& pull, Timestamp now)
{
    if (!options_.isSource)
        return;
    // A starting host cannot vouch for its state; it only confirms that the pull has arrived.
    if (!isReady_) {
        outgoing_.push_back({.to = from, .message = model::BundleCurrent {.age = Duration::max(), .pull = pull.pull}});
        return;
    }
    const BundleParts::Answer answer {.pull = pull.pull, .age = age(now)};
    std::optional<model::Message> part;
    if (pull.offset > 0)
        part = parts_.nextMessage(pull, answer);
    if (part)
        outgoing_.push_back({.to = from, .message = *std::move(part)});
    else if (inForce_->position > pull.have)
        outgoing_.push_back(
            {.to = from, .message = parts_.firstMessage(pull.wantsWhole ? LogPosition {} : pull.have, answer)});
    else
        outgoing_.push_back({.to = from,
            .message = model::BundleCurrent {.position = inForce_->position, .age = age(now), .pull = pull.pull}});
}

void BundleReplica::setControlView(const std::optional<ControlView>& view, Timestamp now)
{
    begin(now);
    if (!view || view->content.empty())
        return;
    if (isNewer(view->position))
        install(view->position, view->version, std::string(view->content), now);
    if (view->position == inForce_->position && view->proofAge != Duration::max())
        confirm(now - view->proofAge, now);
}

void BundleReplica::setPeers(std::span<const HostId> sources, std::span<const HostId> receivers, Timestamp now)
{
    begin(now);
    sources_.assign(sources.begin(), sources.end());
    receivers_.assign(receivers.begin(), receivers.end());
    std::erase(sources_, options_.self);
    std::erase(receivers_, options_.self);
}

/// After an outage of all links, the first new one is used at once instead of at the next pull (half a second later).
void BundleReplica::onLinkUp(const HostId& source, Timestamp now)
{
    avoidedUntil_.erase(source);
    std::erase_if(pulls_, [&](const Pull& pull) { return pull.source == source; });
    if (isReady_ && !transfer_.isInProgress() && age(now) > options_.pullInterval)
        sendPull(source, now);
}

void BundleReplica::tick(Timestamp now)
{
    begin(now);
    becomeReady(now);
    if (transfer_.isInProgress())
        return continueTransfer(now);
    const bool isUnanswered = isReady_ && !pulls_.empty() && !pulls_.back().isOverdue
        && now - pulls_.back().sentAt >= options_.answerTimeout;
    if (nextPullAt_ && now < *nextPullAt_ && !isUnanswered)
        return;
    nextPullAt_ = now + (isReady_ ? options_.pullInterval : options_.startPullInterval);
    if (isReady_)
        avoidUnresponsiveSources(now);
    if (const HostId source = chooseSource(now); !source.isEmpty())
        sendPull(source, now);
}

/// The pulls stay pending: late answers to them still count.
void BundleReplica::avoidUnresponsiveSources(Timestamp now)
{
    for (Pull& pull : pulls_) {
        if (!std::exchange(pull.isOverdue, true))
            avoidedUntil_[pull.source] = now + AvoidancePulls * options_.pullInterval;
    }
}

void BundleReplica::sendPull(const HostId& source, Timestamp now)
{
    outgoing_.push_back({.to = source,
        .message = model::BundlePull {.have = inForce_ ? inForce_->position : LogPosition {},
            .isStarting = !isReady_,
            .pull = recordPull(source, now),
            .wantsWhole = needsFullState_}});
}

uint64_t BundleReplica::recordPull(const HostId& source, Timestamp now)
{
    if (pulls_.size() >= MaxPendingPulls)
        pulls_.erase(pulls_.begin());
    pulls_.push_back({.number = ++lastPull_, .source = source, .sentAt = now});
    count(model::Counter::BundlePulls);
    return lastPull_;
}

HostId BundleReplica::chooseSource(Timestamp now)
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

std::vector<model::OutgoingMessage> BundleReplica::drainOutgoing() { return std::exchange(outgoing_, {}); }

std::optional<IBundleReplica::InForce> BundleReplica::popInstalled()
{
    if (!std::exchange(hasNewState_, false))
        return std::nullopt;
    return inForce_;
}

Duration BundleReplica::ageOf(const std::optional<Timestamp>& at, Timestamp now)
{
    return at ? std::max(now - *at, Duration {}) : Duration::max();
}

Duration BundleReplica::age(Timestamp now) const { return ageOf(confirmedAt_, now); }

bool BundleReplica::isCutOff(Timestamp now) const { return age(now) >= options_.cutOffTimeout; }

} // namespace saltvane::control
