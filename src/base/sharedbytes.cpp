/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "base/sharedbytes.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace saltvane {

SharedBytes::Block::Block(size_t capacity, BlockMemoryRef memory)
    : data_(std::make_unique_for_overwrite<char[]>(capacity))
    , capacity_(capacity)
    , memory_(std::move(memory))
{
    if (memory_)
        memory_->bytes += capacity_;
}

SharedBytes::Block::~Block()
{
    if (memory_)
        memory_->bytes -= capacity_;
}

size_t SharedBytes::Block::append(std::string_view bytes)
{
    const size_t count = std::min(bytes.size(), capacity_ - size_);
    std::memcpy(data_.get() + size_, bytes.data(), count);
    size_ += count;
    return count;
}

void SharedBytes::appendCopy(std::string_view text)
{
    if (text.empty())
        return;
    addBlock(text.size(), nullptr);
    append(text);
}

void SharedBytes::addBlock(size_t capacity, BlockMemoryRef memory)
{
    blocks_.emplace_back(new Block(capacity, std::move(memory)));
    spare_ += capacity;
}

void SharedBytes::append(std::string_view bytes)
{
    while (!bytes.empty() && filling_ < blocks_.size()) {
        const size_t count = blocks_[filling_]->append(bytes);
        bytes.remove_prefix(count);
        size_ += count;
        spare_ -= count;
        if (!bytes.empty())
            ++filling_;
    }
}

std::string SharedBytes::text() const
{
    std::string all;
    all.reserve(size_);
    for (const auto& block : blocks_)
        all += block->view();
    return all;
}

} // namespace saltvane
