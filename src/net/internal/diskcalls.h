/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <cstddef>
#include <string>
#include <sys/types.h>

namespace saltvane::net {

/// The system calls that change files, as an interface so that tests can simulate a full or failing disk. Results and
/// errno are those of the system calls.
class IDiskCalls {
public:
    virtual ~IDiskCalls() = default;
    [[nodiscard]] virtual ssize_t write(int fd, const void* bytes, size_t size, off_t offset) = 0;
    [[nodiscard]] virtual int syncData(int fd) = 0;
    [[nodiscard]] virtual int truncate(int fd, off_t size) = 0;
    [[nodiscard]] virtual int rename(const std::string& from, const std::string& to) = 0;
    [[nodiscard]] virtual int remove(const std::string& path) = 0;
    [[nodiscard]] virtual int syncFolder(const std::string& path) = 0;
};

class DiskCalls final : public IDiskCalls {
public:
    [[nodiscard]] ssize_t write(int fd, const void* bytes, size_t size, off_t offset) override;
    [[nodiscard]] int syncData(int fd) override;
    [[nodiscard]] int truncate(int fd, off_t size) override;
    [[nodiscard]] int rename(const std::string& from, const std::string& to) override;
    [[nodiscard]] int remove(const std::string& path) override;
    [[nodiscard]] int syncFolder(const std::string& path) override;
};

} // namespace saltvane::net
