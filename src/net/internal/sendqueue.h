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

/// Bytes that wait to be sent, in blocks that are given back as they are sent: what it takes of memory goes with what
/// waits, at its fullest as well as while it empties.
class SendQueue {
public:
    [[nodiscard]] bool isEmpty() const { return blocks_.empty(); }
    [[nodiscard]] size_t bytes() const { return bytes_; }
    /// That its blocks take.
    [[nodiscard]] size_t memory() const { return memory_; }

    void append(std::string_view bytes)
    {
        const bool hasRoom = !blocks_.empty() && blocks_.back().capacity() - blocks_.back().size() >= bytes.size();
        if (!hasRoom)
            addBlock(bytes.size());
        blocks_.back().append(bytes);
        bytes_ += bytes.size();
    }
    /// The first bytes that wait; empty where none do.
    [[nodiscard]] std::string_view front() const
    {
        return blocks_.empty() ? std::string_view() : std::string_view(blocks_.front()).substr(sent_);
    }
    /// Some of front() are sent.
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
    static constexpr size_t LeastBlock = 2 * 1024;
    static constexpr size_t UsualBlock = 16 * 1024;

    void addBlock(size_t least)
    {
        std::string block;
        block.reserve(std::max(least, blocks_.empty() ? LeastBlock : UsualBlock));
        memory_ += block.capacity();
        blocks_.push_back(std::move(block));
    }

    std::deque<std::string> blocks_;
    size_t sent_ = 0; ///< Of the first block.
    size_t bytes_ = 0;
    size_t memory_ = 0;
};

} // namespace saltvane::net
