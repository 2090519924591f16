/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/ibundlereplica.h"
#include "control/internal/bundleparts.h"
#include "control/internal/bundletransfer.h"

#include <map>
#include <optional>
#include <vector>

namespace saltvane::control {

/// Only an answer to an own pull confirms the state as current. A push that was not requested may have been delayed, so
/// it can install a newer state but proves nothing.
class BundleReplica final : public IBundleReplica {
public:
    explicit BundleReplica(const BundleReplicaOptions& options);

    void handle(const model::Delivery& delivery, Timestamp now) override;
    void setControlView(const std::optional<ControlView>& view, Timestamp now) override;
    void setPeers(std::span<const HostId> sources, std::span<const HostId> receivers, Timestamp now) override;
    void onLinkUp(const HostId& source, Timestamp now) override;
    void tick(Timestamp now) override;
    [[nodiscard]] std::vector<model::OutgoingMessage> drainOutgoing() override;
    [[nodiscard]] std::optional<InForce> popInstalled() override;
    [[nodiscard]] bool isReady() const override { return isReady_; }
    [[nodiscard]] Duration age(Timestamp now) const override;
    [[nodiscard]] bool isCutOff(Timestamp now) const override;
    [[nodiscard]] Duration answerAge(Timestamp now) const override { return ageOf(answeredAt_, now); }
    [[nodiscard]] Duration provenAnswerAge(Timestamp now) const override { return ageOf(provenAnswerAt_, now); }
    [[nodiscard]] bool isFetching() const override { return transfer_.isInProgress(); }

private:
    struct Pull {
        uint64_t number = 0;
        HostId source;
        Timestamp sentAt;
        bool isOverdue = false; ///< Its source is being avoided because of it.
    };

    void begin(Timestamp now);
    void handlePush(const HostId& from, const model::BundlePush& push, Timestamp now);
    void handlePart(const HostId& from, const model::BundlePart& part, Timestamp now);
    void finishTransfer(BundleTransfer& transfer, const HostId& from, const model::BundlePart& last, Timestamp now);
    void requestPart(const HostId& source, Timestamp now);
    void continueTransfer(Timestamp now);
    void handleCurrent(const HostId& from, const model::BundleCurrent& current, Timestamp now);
    void answerPull(const HostId& from, const model::BundlePull& pull, Timestamp now);
    [[nodiscard]] bool isNewer(LogPosition position) const { return !inForce_ || position > inForce_->position; }
    void install(LogPosition position, BundleVersion version, std::string content, Timestamp now);
    void confirm(Timestamp provenAt, Timestamp now);
    [[nodiscard]] static Duration ageOf(const std::optional<Timestamp>& at, Timestamp now);
    /// Removes the answered pull and returns the time at which it was sent; no value for an unknown pull.
    [[nodiscard]] std::optional<Timestamp> popPullTime(const HostId& from, uint64_t number, Duration answerAge);
    void handleAnswer(const HostId& from, uint64_t number, LogPosition position, Duration answerAge, Timestamp now);
    void becomeReady(Timestamp now);
    void avoidUnresponsiveSources(Timestamp now);
    void sendPull(const HostId& source, Timestamp now);
    [[nodiscard]] uint64_t recordPull(const HostId& source, Timestamp now);
    [[nodiscard]] HostId chooseSource(Timestamp now);
    void count(model::Counter counter) const;

    const BundleReplicaOptions options_;
    std::optional<Timestamp> startedAt_;
    std::optional<InForce> inForce_;
    bool hasNewState_ = false;
    bool isReady_ = false;
    bool hasPeerState_ = false;
    std::optional<Timestamp> confirmedAt_;
    std::optional<Timestamp> answeredAt_; ///< Send time of the newest answered pull.
    std::optional<Timestamp> provenAnswerAt_; ///< As answeredAt_, minus the age of the answer's proof.
    std::vector<HostId> sources_;
    std::vector<HostId> receivers_;
    std::map<HostId, Timestamp> avoidedUntil_;
    size_t nextSource_ = 0;
    std::optional<Timestamp> nextPullAt_;
    uint64_t lastPull_ = 0;
    std::vector<Pull> pulls_; ///< Pending, oldest first.
    BundleParts parts_; ///< Empty if this host is no source.
    BundleTransfer transfer_;
    HostId partSource_; ///< Host from which the next part was last requested.
    uint64_t partPull_ = 0; ///< Number of the pull that requested it.
    Timestamp partTimeoutAt_ {};
    bool needsFullState_ = false; ///< The latest transfer could not be decompressed with the state in force.
    std::vector<model::OutgoingMessage> outgoing_;
};

} // namespace saltvane::control
