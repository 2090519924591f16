/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/snapshottransfer.h"

#include <algorithm>
#include <utility>

namespace saltvane::control {

namespace {
constexpr uint64_t WindowChunks = 4;
} // namespace

SnapshotTransfer::SnapshotTransfer(std::shared_ptr<const Snapshot> snapshot, uint32_t chunkSize)
    : snapshot_(std::move(snapshot))
    , chunkSize_(std::max<uint32_t>(chunkSize, 1))
{
}

model::SnapshotChunk SnapshotTransfer::chunkAt(uint64_t offset) const
{
    return {.lastIndex = snapshot_->index,
        .lastTerm = snapshot_->term,
        .offset = offset,
        .totalSize = snapshot_->bytes.size(),
        .checksum = snapshot_->checksum,
        .bytes = snapshot_->bytes.substr(offset, chunkSize_)};
}

std::optional<model::SnapshotChunk> SnapshotTransfer::nextChunk(Timestamp now)
{
    if (std::exchange(isResendDue_, false))
        return chunkAt(confirmed_);
    const uint64_t total = snapshot_->bytes.size();
    if (sent_ >= total || sent_ >= confirmed_ + WindowChunks * chunkSize_)
        return std::nullopt;
    if (sent_ == confirmed_)
        activeAt_ = now;
    model::SnapshotChunk chunk = chunkAt(sent_);
    sent_ += chunk.bytes.size();
    return chunk;
}

bool SnapshotTransfer::acknowledge(const model::SnapshotReply& reply, Timestamp now)
{
    if (reply.received >= snapshot_->bytes.size())
        return true;
    reported_ = reply.received;
    if (reply.received > confirmed_) {
        confirmed_ = reply.received;
        sent_ = std::max(sent_, confirmed_);
        activeAt_ = now;
    } else if (reply.received == confirmed_ && sent_ > confirmed_ && resent_ != confirmed_) {
        resent_ = confirmed_;
        isResendDue_ = true;
    }
    return false;
}

void SnapshotTransfer::expire(Duration timeout, Timestamp now)
{
    if (sent_ == confirmed_ || now - activeAt_ < timeout)
        return;
    confirmed_ = std::min(confirmed_, reported_);
    sent_ = confirmed_;
    resent_.reset();
    isResendDue_ = false;
    activeAt_ = now;
}

} // namespace saltvane::control
