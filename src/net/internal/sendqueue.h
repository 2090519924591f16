/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <algorithm>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

namespace saltvane::net {

/// Queue of bytes to send, in blocks that are freed as soon as they are sent: its memory is proportional to the queued
/// bytes, both when it is full and while it drains.
class SendQueue {
public:
    [[nodiscard]] bool isEmpty() const { return blocks_.empty(); }
    [[nodiscard]] size_t bytes() const { return bytes_; }
    /// Bytes allocated by its blocks.
    [[nodiscard]] size_t memory() const { return memory_; }

    void append(std::string_view bytes)
    {
        if (bytes.empty())
            return;
        const bool isFitting = !blocks_.empty() && blocks_.back().capacity() - blocks_.back().size() >= bytes.size();
        if (!isFitting)
            addBlock(bytes.size());
        blocks_.back().append(bytes);
        bytes_ += bytes.size();
    }
    /// The first queued bytes; empty if the queue is empty.
    [[nodiscard]] std::string_view front() const
    {
        return blocks_.empty() ? std::string_view() : std::string_view(blocks_.front()).substr(sent_);
    }
    /// Removes the first `count` bytes of front().
    void consume(size_t count)
    {
        sent_ += count;
        bytes_ -= count;
        if (sent_ < blocks_.front().size())
            return;
        sent_ = 0;
        memory_ -= blocks_.front().capacity();
        blocks_.pop_front();
    }

private:
    /// Small messages share a block.
    static constexpr size_t MinBlockBytes = 2 * 1024;
    static constexpr size_t TypicalBlockBytes = 16 * 1024;

    void addBlock(size_t minBytes)
    {
        std::string block;
        block.reserve(std::max(minBytes, blocks_.empty() ? MinBlockBytes : TypicalBlockBytes));
        memory_ += block.capacity();
        blocks_.push_back(std::move(block));
    }

    std::deque<std::string> blocks_;
    size_t sent_ = 0; ///< Bytes of the first block.
    size_t bytes_ = 0;
    size_t memory_ = 0;
};

} // namespace saltvane::net
