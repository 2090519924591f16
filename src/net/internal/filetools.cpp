/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/filetools.h"

#include "net/internal/socketaddress.h"
#include "net/internal/uniquefd.h"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace saltvane::net {

namespace {
constexpr size_t ReadBlockBytes = 1024 * 1024;
constexpr mode_t OwnerOnly = 0600;
} // namespace

Result<Success, IoError> writeAll(
    IDiskCalls& disk, int fd, std::string_view bytes, off_t offset, const std::string& path)
{
    while (!bytes.empty()) {
        const ssize_t count = disk.write(fd, bytes.data(), bytes.size(), offset);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return lastError(path, "write");
        if (count == 0)
            return IoError {.location = path, .message = "write: no bytes were written", .code = ENOSPC};
        bytes.remove_prefix(static_cast<size_t>(count));
        offset += count;
    }
    return Success {};
}

Result<std::string, IoError> readFile(const std::string& path)
{
    const UniqueFd fd(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!fd.isOpen())
        return lastError(path, "open");
    std::string bytes;
    while (true) {
        const size_t start = bytes.size();
        bytes.resize(start + ReadBlockBytes);
        const ssize_t count = ::read(fd.get(), bytes.data() + start, ReadBlockBytes);
        if (count < 0 && errno != EINTR)
            return lastError(path, "read");
        bytes.resize(start + (count > 0 ? static_cast<size_t>(count) : 0));
        if (count == 0)
            return bytes;
    }
}

Result<Success, IoError> replaceFile(
    IDiskCalls& disk, const std::string& folder, const std::string& name, std::string_view bytes)
{
    const std::string path = folder + "/" + name;
    const std::string unfinished = path + std::string(UnfinishedSuffix);
    const UniqueFd fd(::open(unfinished.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, OwnerOnly));
    if (!fd.isOpen())
        return lastError(unfinished, "open");
    if (auto written = writeAll(disk, fd.get(), bytes, 0, unfinished); !written) {
        (void)disk.remove(unfinished); // Frees the space on a full disk.
        return written;
    }
    if (disk.syncData(fd.get()) != 0)
        return lastError(unfinished, "fdatasync");
    if (disk.rename(unfinished, path) != 0)
        return lastError(path, "rename");
    if (disk.syncFolder(folder) != 0)
        return lastError(folder, "fsync");
    return Success {};
}

} // namespace saltvane::net
