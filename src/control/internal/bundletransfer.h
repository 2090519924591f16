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

/// Receiver's side of a state sent in parts. A transfer is completed before a newer one starts: otherwise a host on a
/// link that is slower than the rate of changes would never complete any.
class BundleTransfer {
public:
    [[nodiscard]] bool isInProgress() const { return totalSize_ != 0; }
    [[nodiscard]] const LogPosition& position() const { return position_; }
    [[nodiscard]] const LogPosition& base() const { return base_; }
    [[nodiscard]] uint64_t offset() const { return bytes_.size(); } ///< Of the next expected part.

    /// False if it is not the next expected part. `isRestart`: the part answers a request for a further part; a source
    /// that no longer has the state of this transfer, or only with another base, starts over with its own state.
    [[nodiscard]] bool addPart(const model::BundlePart& part, bool isRestart);
    [[nodiscard]] bool isComplete() const { return isInProgress() && bytes_.size() == totalSize_; }
    /// Decompresses the received parts with `base` and ends the transfer. No value if the checksum or base do not
    /// match.
    [[nodiscard]] std::optional<std::string> finish(std::string_view base);
    void reset();

private:
    LogPosition position_;
    LogPosition base_;
    uint64_t totalSize_ = 0; ///< 0: no transfer in progress.
    uint64_t checksum_ = 0;
    std::string bytes_;
};

} // namespace saltvane::control
