/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace saltvane {

/// Bytes of memory that the blocks which were allocated with it use.
struct BlockMemory : boost::intrusive_ref_counter<BlockMemory, boost::thread_unsafe_counter> {
    uint64_t bytes = 0;
};
using BlockMemoryRef = boost::intrusive_ptr<BlockMemory>;

/// Bytes in reference-counted blocks. Copies share the blocks, which are freed with the last copy that holds them.
class SharedBytes {
public:
    SharedBytes() = default;
    /// Copies the text into a block. Implicit, as for a string.
    template <std::convertible_to<std::string_view> Text> SharedBytes(const Text& text) { appendCopy(text); }

    [[nodiscard]] uint64_t size() const { return size_; }
    [[nodiscard]] bool empty() const { return size_ == 0; }
    /// Bytes that append() takes without another block.
    [[nodiscard]] size_t spare() const { return spare_; }
    /// Adds a block that is empty. No other copy may exist, nor for append().
    void addBlock(size_t capacity, BlockMemoryRef memory);
    /// Fills the blocks in order; at most spare() bytes.
    void append(std::string_view bytes);

    [[nodiscard]] size_t blockCount() const { return blocks_.size(); }
    [[nodiscard]] std::string_view block(size_t index) const { return blocks_[index]->view(); }
    /// Releases this copy's hold on a block, whose bytes must not be used any more.
    void releaseBlock(size_t index) { blocks_[index].reset(); }
    /// All bytes in one string.
    [[nodiscard]] std::string text() const;
    [[nodiscard]] bool operator==(std::string_view other) const { return text() == other; }

private:
    class Block : public boost::intrusive_ref_counter<Block, boost::thread_unsafe_counter> {
    public:
        Block(size_t capacity, BlockMemoryRef memory);
        ~Block();
        Block(const Block&) = delete;
        Block& operator=(const Block&) = delete;

        [[nodiscard]] std::string_view view() const { return {data_.get(), size_}; }
        /// Returns the number of bytes that fitted.
        [[nodiscard]] size_t append(std::string_view bytes);

    private:
        std::unique_ptr<char[]> data_; ///< Not initialised, so that the system provides its memory as it is filled.
        size_t capacity_;
        size_t size_ = 0;
        BlockMemoryRef memory_;
    };

    void appendCopy(std::string_view text);

    std::vector<boost::intrusive_ptr<Block>> blocks_;
    size_t filling_ = 0; ///< Index of the block that append() fills.
    size_t spare_ = 0;
    uint64_t size_ = 0;
};

} // namespace saltvane
