/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/controlmessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace saltvane::control {

/// A state that is being fetched part by part. It is finished before a newer one is begun: where changes come faster
/// than a slow link carries one of them, the host would never hold any.
class BundleTransfer {
public:
    [[nodiscard]] bool isUnderWay() const { return totalSize_ != 0; }
    [[nodiscard]] const LogPosition& position() const { return position_; }
    [[nodiscard]] const LogPosition& base() const { return base_; }
    [[nodiscard]] uint64_t offset() const { return bytes_.size(); } ///< Of the part wanted next.

    /// False: not the part wanted next. `isRestart`: the source was asked for a further part; where it holds what is
    /// under way no more, or compressed otherwise, it begins with what it holds.
    [[nodiscard]] bool take(const model::BundlePart& part, bool isRestart);
    [[nodiscard]] bool isComplete() const { return isUnderWay() && bytes_.size() == totalSize_; }
    /// The state, from the parts and the state they were compressed against; none where these don't fit together. Ends
    /// the transfer.
    [[nodiscard]] std::optional<std::string> finish(std::string_view base);
    void reset();

private:
    LogPosition position_;
    LogPosition base_;
    uint64_t totalSize_ = 0; ///< 0: none is under way.
    uint64_t checksum_ = 0;
    std::string bytes_;
};

} // namespace saltvane::control
