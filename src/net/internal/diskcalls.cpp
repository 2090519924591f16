/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/diskcalls.h"

#include "net/internal/uniquefd.h"

#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace saltvane::net {

ssize_t DiskCalls::write(int fd, const void* bytes, size_t size, off_t offset)
{
    return ::pwrite(fd, bytes, size, offset);
}

int DiskCalls::syncData(int fd) { return ::fdatasync(fd); }

int DiskCalls::truncate(int fd, off_t size) { return ::ftruncate(fd, size); }

int DiskCalls::rename(const std::string& from, const std::string& to) { return ::rename(from.c_str(), to.c_str()); }

int DiskCalls::remove(const std::string& path) { return ::unlink(path.c_str()); }

int DiskCalls::syncFolder(const std::string& path)
{
    const UniqueFd folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    return folder.isOpen() ? ::fsync(folder.get()) : -1;
}

} // namespace saltvane::net
