/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/internal/diskcalls.h"

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <limits>

namespace saltvane::net::tests {

/// Writes to real files up to a chosen byte or call, then fails once or permanently. Simulates a crash of the process,
/// not of the machine: syncs are only counted.
class FaultyDisk final : public IDiskCalls {
public:
    [[nodiscard]] ssize_t write(int fd, const void* bytes, size_t size, off_t offset) override
    {
        if (fails())
            return -1;
        const size_t taken = static_cast<size_t>(std::min<uint64_t>(size, bytesLeft));
        if (taken == 0 && size > 0) {
            errno = error;
            hasCrashed = hasCrashed || crashesWhenFull;
            return -1;
        }
        bytesLeft -= taken;
        bytesWritten += taken;
        return real_.write(fd, bytes, taken, offset);
    }
    [[nodiscard]] int syncData(int fd) override { return fails() || fd < 0 ? -1 : 0; }
    [[nodiscard]] int truncate(int fd, off_t size) override { return fails() ? -1 : real_.truncate(fd, size); }
    [[nodiscard]] int rename(const std::string& from, const std::string& to) override
    {
        return fails() ? -1 : real_.rename(from, to);
    }
    [[nodiscard]] int remove(const std::string& path) override { return fails() ? -1 : real_.remove(path); }
    [[nodiscard]] int syncFolder(const std::string& path) override { return fails() || path.empty() ? -1 : 0; }

    static constexpr uint64_t Unlimited = std::numeric_limits<uint64_t>::max();
    uint64_t bytesLeft = Unlimited; ///< Until the disk is full.
    bool crashesWhenFull = false; ///< Simulates a crash of the process at that byte.
    uint64_t failingCall = Unlimited; ///< Counts from 0.
    uint64_t failingCalls = 1; ///< Consecutive failures.
    int error = ENOSPC;
    bool hasCrashed = false;
    uint64_t calls = 0;
    uint64_t bytesWritten = 0;

private:
    [[nodiscard]] bool fails()
    {
        const uint64_t call = calls++;
        const bool isChosen = call >= failingCall && call - failingCall < failingCalls;
        errno = error;
        return hasCrashed || isChosen;
    }
    DiskCalls real_;
};

} // namespace saltvane::net::tests
