/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/ownerdownload.h"

#include <algorithm>
#include <utility>

namespace saltvane::requests {

namespace {

constexpr uint64_t MaxFrameBodyBytes = 64 * 1024;
/// Limit of bytes not acknowledged by the entry host: one window sent and one window buffered here.
constexpr uint64_t MaxUnacknowledgedBytes = 2 * InitialBodyWindow;

} // namespace

bool OwnerDownload::append(std::string bytes)
{
    received_ += bytes.size();
    if (length_ && received_ > *length_)
        return false;
    if (received_ > MaxUnacknowledgedBytes + acknowledged_)
        return false;
    if (!bytes.empty())
        waiting_.push_back(std::move(bytes));
    return true;
}

bool OwnerDownload::finish()
{
    if (length_ && received_ != *length_)
        return false;
    isFinished_ = true;
    return true;
}

bool OwnerDownload::acknowledge(uint64_t bytes)
{
    if (bytes > sent_ - acknowledged_)
        return false;
    acknowledged_ += bytes;
    return true;
}

std::optional<model::ForwardBody> OwnerDownload::nextFrame(CorrelationId correlation)
{
    model::ForwardBody frame {.correlation = correlation, .direction = model::Direction::ToClient, .offset = sent_};
    const bool isEndAlone = waiting_.empty() && isFinished_ && !isFullySent();
    if (isEndAlone) {
        frame.isLast = isLastSent_ = true;
        return frame;
    }
    if (waiting_.empty() || isWindowClosed())
        return std::nullopt;
    std::string& front = waiting_.front();
    const uint64_t allowed = std::min(MaxFrameBodyBytes, InitialBodyWindow + acknowledged_ - sent_);
    const size_t count = std::min<uint64_t>(front.size() - frontOffset_, allowed);
    const size_t pieceSize = front.size();
    frame.bytes = count == pieceSize ? std::move(front) : front.substr(frontOffset_, count);
    frontOffset_ += count;
    sent_ += count;
    if (frontOffset_ == pieceSize) {
        waiting_.pop_front();
        frontOffset_ = 0;
    }
    frame.isLast = isLastSent_ = isLastFrame(sent_);
    return frame;
}

bool OwnerDownload::isLastFrame(uint64_t end) const
{
    return length_ ? end == *length_ : isFinished_ && waiting_.empty();
}

bool OwnerDownload::isFullySent() const { return isFinished_ && waiting_.empty() && (isLastSent_ || length_ == 0); }

} // namespace saltvane::requests
