/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "model/suspectmessages.h"

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace saltvane::membership {

/// Requests during which targets failed, as observed by this host or reported by others. Updates between hosts can be
/// merged in any order and any number of times, so that all hosts reach the same verdict without coordination.
///
/// A request is blamed when so many consecutive runs ended with a failure of their target, and none with an answer,
/// that chance would explain it for at most one request in a thousand. docs/design/0013-fatal-requests.md
class SuspectTable {
public:
    struct Limits {
        size_t entries = 4096; ///< 0.3 to 1 MB when full.
    };
    explicit SuspectTable(Limits limits);
    ~SuspectTable();
    SuspectTable(const SuspectTable&) = delete;
    SuspectTable& operator=(const SuspectTable&) = delete;

    /// A request may fail on up to three targets before it is refused; fewer failures never blame it.
    static constexpr size_t MinFailures = 3;
    /// The newest failures are kept for each request: as many as blame it whatever their weight.
    static constexpr size_t MaxFailures = 8;
    /// How long an entry is kept after its last failure or after a caller last sent the request.
    static constexpr Duration RetentionTime = 1h;

    /// A run of the request during which its target failed.
    struct TargetFailure {
        uint64_t target = 0;
        Timestamp sentAt;
        Timestamp failedAt;
        double usualShare = 0; ///< Fraction of all runs that ended with a target failure at that time.
    };
    /// Returns false if the failure was known already or the table is full.
    bool recordFailure(const model::RequestDigest& digest, const TargetFailure& failure, Timestamp now);
    /// A run was answered: discards all failures of the request. Returns false if there were none.
    bool recordAnswer(const model::RequestDigest& digest, Timestamp now);
    /// Merges another host's update. Returns false if it contained nothing new.
    bool merge(const model::SuspectRequest& update, Timestamp now);

    /// Number of runs with a target failure, each sent after the one before had failed.
    [[nodiscard]] size_t consecutiveFailures(const model::RequestDigest& digest) const;
    /// Time of the first failure on record; nullopt if there is none.
    [[nodiscard]] std::optional<Timestamp> firstFailureAt(const model::RequestDigest& digest) const;
    [[nodiscard]] bool isBlamed(const model::RequestDigest& digest) const;
    /// Time until a blamed request may be tried again. If no trial is left, the time until the entry expires unless
    /// callers send the request again.
    [[nodiscard]] Duration timeToTrial(const model::RequestDigest& digest, Timestamp now) const;
    /// Records that a blamed request is let through for one trial.
    void recordTrial(const model::RequestDigest& digest, Timestamp now);
    /// Records that a caller sent a blamed request. Returns true if other hosts should be told that it is still in use.
    bool recordCallerRequest(const model::RequestDigest& digest, Timestamp now);

    [[nodiscard]] std::optional<model::SuspectRequest> updateFor(
        const model::RequestDigest& digest, Timestamp now) const;
    [[nodiscard]] std::vector<model::SuspectRequest> blamed(Timestamp now) const;
    /// Requests with consecutive failures that are not blamed yet: at most `limit`, the latest ones first.
    [[nodiscard]] std::vector<model::SuspectRequest> unconfirmed(size_t limit, Timestamp now) const;
    [[nodiscard]] size_t size() const { return entries_.size(); }
    [[nodiscard]] size_t blamedCount() const;
    /// Returns the requests cleared since the last call because other requests were blamed for their failures. The
    /// other hosts are to be told of them.
    [[nodiscard]] std::vector<model::RequestDigest> drainCleared() { return std::exchange(cleared_, {}); }
    /// Incremented with each new verdict and each one withdrawn.
    [[nodiscard]] uint64_t verdictChanges() const { return verdictChanges_; }
    void expire(Timestamp now);

private:
    using Hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
    struct Entry {
        model::RequestDigest digest;
        uint64_t epoch = 0;
        bool isBlamed = false;
        uint32_t trials = 0;
        Timestamp backoffSince; ///< Time of the verdict or of the last trial.
        Timestamp lastRequestedAt; ///< Time of the last request by a caller or of the last target failure.
        Timestamp useReportedAt; ///< When other hosts were last told that the request is still in use.
        std::vector<TargetFailure> failures;
        Hook hook;
    };
    using Entries = boost::intrusive::list<Entry, boost::intrusive::member_hook<Entry, Hook, &Entry::hook>,
        boost::intrusive::constant_time_size<false>>;

    [[nodiscard]] Entry* find(const model::RequestDigest& digest);
    [[nodiscard]] const Entry* find(const model::RequestDigest& digest) const;
    /// Returns null if the table is full of requests still in use.
    Entry* add(const model::RequestDigest& digest, Timestamp now);
    /// Evicts one entry: the oldest with a single failure or, if there is none, the oldest of the others. Returns false
    /// if that one is still in use, since requests in use are never evicted for new ones.
    [[nodiscard]] bool evictOne(Timestamp now);
    void remove(Entry& entry);
    void touch(Entry& entry, Timestamp at);
    [[nodiscard]] Entries& listOf(const Entry& entry);
    bool addFailure(Entry& entry, const TargetFailure& failure);
    void evaluate(Entry& entry, Timestamp now);
    void blame(Entry& entry, Timestamp backoffSince);
    /// Attributes the failures of a blamed request to it, so that they no longer count against other requests.
    void attributeFailures(const Entry& entry);
    /// True if another request is blamed for this failure.
    [[nodiscard]] bool isAttributedToOther(const Entry& entry, const TargetFailure& failure) const;
    void clearWronglyBlamed();
    void eraseAttributions(const Entry& entry);
    void startEpoch(Entry& entry, uint64_t epoch);
    [[nodiscard]] size_t consecutiveFailures(const Entry& entry) const;
    [[nodiscard]] static model::SuspectRequest updateFor(const Entry& entry, Timestamp now);

    Limits limits_;
    std::unordered_map<model::RequestDigest, Entry> entries_;
    /// By target: the request blamed for its failure. At most MaxFailures entries for each request.
    std::unordered_map<uint64_t, model::RequestDigest> blamedRequestByTarget_;
    std::vector<model::RequestDigest> cleared_;
    uint64_t verdictChanges_ = 0;
    // Declared after entries_, so that the lists are destroyed first. In order of the last update, oldest first.
    Entries singleFailures_; ///< Entries with at most one failure.
    Entries repeatedFailures_; ///< Entries with more failures, or blamed.
};

} // namespace saltvane::membership
