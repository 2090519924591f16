/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <cstdint>

namespace saltvane::rollout {

/// Sequential comparison of the rate of bad answers of a new version with the usual rate. May be evaluated at any
/// moment. Two log-likelihood ratios of "worse by MinExcess" against "as usual" are accumulated:
/// - from the start, for "as good as usual" (Wald, Sequential Tests of Statistical Hypotheses, 1945): a version that is
///   worse passes with a probability of at most MissRate;
/// - since its last minimum, for "worse" (Page, Continuous Inspection Schemes, Biometrika 1954), so that a version that
///   turns bad later is recognized as fast as one that is bad at once. A version as good as usual is taken for worse
///   once in more than 1 / FalseAlarmRate answers.
class BadAnswerTest {
public:
    static constexpr double MinExcess = 0.15;
    static constexpr double MissRate = 0.01;
    static constexpr double FalseAlarmRate = 0.0001;
    /// Fewer may come from one target that is in trouble for another reason.
    static constexpr uint64_t MinBadAnswers = 6;

    /// Adds answers of the new version; `usualRate`: fraction of bad answers at other versions.
    void add(uint64_t answers, uint64_t badAnswers, double usualRate);

    [[nodiscard]] bool isWorse() const;
    [[nodiscard]] bool isAsGood() const;
    /// The accumulated evidence for "worse".
    [[nodiscard]] double evidence() const { return recentRatio_; }

private:
    double totalRatio_ = 0;
    double recentRatio_ = 0;
    uint64_t recentBadAnswers_ = 0; ///< Since the last minimum.
};

} // namespace saltvane::rollout
