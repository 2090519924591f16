/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <unistd.h>
#include <utility>

namespace saltvane::net {

/// Owns one file descriptor.
class UniqueFd {
public:
    UniqueFd() = default;
    explicit UniqueFd(int fd)
        : fd_(fd)
    {
    }
    ~UniqueFd() { reset(); }
    UniqueFd(UniqueFd&& other) noexcept
        : fd_(other.release())
    {
    }
    UniqueFd& operator=(UniqueFd&& other) noexcept
    {
        reset(other.release());
        return *this;
    }
    UniqueFd(const UniqueFd&) = delete;
    UniqueFd& operator=(const UniqueFd&) = delete;

    [[nodiscard]] int get() const { return fd_; }
    [[nodiscard]] bool isOpen() const { return fd_ >= 0; }
    [[nodiscard]] int release() { return std::exchange(fd_, -1); }
    void reset(int fd = -1)
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = fd;
    }

private:
    int fd_ = -1;
};

} // namespace saltvane::net
