/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/snapshotreceiver.h"

#include <utility>

namespace saltvane::control {

namespace {
constexpr uint64_t MaxSnapshotBytes = uint64_t {1} << 30;
/// Limit of chunks after a missing one, beyond which they are dropped; the sender's window is smaller.
constexpr size_t MaxChunksAhead = 8;
} // namespace

SnapshotReceiver::SnapshotReceiver(ReplicaContext& context)
    : context_(context)
{
}

void SnapshotReceiver::reply(const model::SnapshotChunk& chunk, uint64_t received)
{
    context_.send(context_.leaderHost,
        model::SnapshotReply {.term = context_.hardState.term,
            .replica = context_.self,
            .lastIndex = chunk.lastIndex,
            .received = received});
}

bool SnapshotReceiver::isSameTransfer(const model::SnapshotChunk& chunk) const
{
    return partial_.index == chunk.lastIndex && partial_.term == chunk.lastTerm && partial_.checksum == chunk.checksum
        && partialSize_ == chunk.totalSize;
}

void SnapshotReceiver::handle(const model::SnapshotChunk& chunk)
{
    if (chunk.lastIndex <= context_.commit)
        return reply(chunk, chunk.totalSize);
    if (isInstalling() || chunk.totalSize > MaxSnapshotBytes)
        return;
    if (!isSameTransfer(chunk)) {
        forgetPartial();
        partial_ = {.index = chunk.lastIndex, .term = chunk.lastTerm, .checksum = chunk.checksum, .bytes = {}};
        partialSize_ = chunk.totalSize;
    }
    gather(chunk);
    if (partial_.bytes.size() < partialSize_)
        return reply(chunk, partial_.bytes.size());
    if (checksumOf(partial_.bytes) != partial_.checksum || !context_.machine.configurationIn(partial_.bytes)) {
        forgetPartial();
        return reply(chunk, 0);
    }
    storeComplete();
}

void SnapshotReceiver::gather(const model::SnapshotChunk& chunk)
{
    const uint64_t received = partial_.bytes.size();
    if (chunk.offset < received || chunk.offset > partialSize_ || chunk.bytes.size() > partialSize_ - chunk.offset)
        return;
    if (chunk.offset > received) {
        if (earlyChunks_.size() < MaxChunksAhead)
            earlyChunks_.emplace(chunk.offset, chunk.bytes);
        return;
    }
    partial_.bytes += chunk.bytes;
    while (!earlyChunks_.empty() && earlyChunks_.begin()->first <= partial_.bytes.size()) {
        const auto next = earlyChunks_.extract(earlyChunks_.begin());
        if (next.key() == partial_.bytes.size())
            partial_.bytes += next.mapped();
    }
}

void SnapshotReceiver::forgetPartial()
{
    partial_ = {};
    partialSize_ = 0;
    earlyChunks_.clear();
}

void SnapshotReceiver::storeComplete()
{
    installing_ = std::make_shared<Snapshot>(std::exchange(partial_, {}));
    forgetPartial();
    const std::optional<LogTerm> own = context_.log.termAt(installing_->index);
    if (own && own != installing_->term)
        context_.truncateFrom(installing_->index);
    installSequence_ = context_.storage.putSnapshot(installing_->bytes, installing_->index, installing_->term);
}

std::shared_ptr<const Snapshot> SnapshotReceiver::popInstalled()
{
    if (!isInstalling() || installSequence_ > context_.storage.completed())
        return nullptr;
    return std::exchange(installing_, nullptr);
}

} // namespace saltvane::control
