/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <poll.h>
#include <sys/ioctl.h>

namespace saltvane::net {

/// Bytes that have arrived and were not read; 0 if the system doesn't report it.
[[nodiscard]] inline int unreadBytes(int fd)
{
    int bytes = 0;
    return ::ioctl(fd, FIONREAD, &bytes) == 0 ? bytes : 0;
}

/// Whether the socket has bytes or the end of the stream to read or, if it listens, connections to accept.
[[nodiscard]] inline bool isReadable(int fd)
{
    pollfd socket {.fd = fd, .events = POLLIN, .revents = 0};
    return ::poll(&socket, 1, 0) > 0 && (socket.revents & POLLIN) != 0;
}

} // namespace saltvane::net
