/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/targetconnections.h"

#include <array>
#include <linux/sockios.h>
#include <poll.h>
#include <string_view>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace saltvane::net {

namespace {

/// A connection is left this long before its target closes it. Covers the way of a response from the target, whose time
/// starts earlier than the one here, the way of the request to it, and delays of both hosts.
constexpr Duration CloseMargin = 500ms;

/// Bytes that were written to the socket and that the peer has not acknowledged.
int unacknowledgedBytes(int fd)
{
    int bytes = 0;
    return ::ioctl(fd, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

/// Whether the bytes that wait begin with the status line of a 408: with it, a target closes a connection on which it
/// has waited for a request (RFC 9110, section 15.5.9). The end of the stream may arrive later.
bool isIdleTimeoutPending(int fd)
{
    constexpr std::string_view Version = "HTTP/1.";
    constexpr std::string_view Status = " 408";
    constexpr size_t StatusOffset = 8; // After "HTTP/1.1".
    std::array<char, StatusOffset + Status.size() + 1> bytes {}; // With the character that ends the status.
    if (::recv(fd, bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT) != static_cast<ssize_t>(bytes.size()))
        return false;
    const std::string_view text(bytes.data(), bytes.size());
    return text.starts_with(Version) && text.substr(StatusOffset).starts_with(Status)
        && (text.back() == ' ' || text.back() == '\r');
}

} // namespace

void setResetOnClose(int fd)
{
    const linger reset {.l_onoff = 1, .l_linger = 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

void TargetConnections::add(const Key& key, int fd)
{
    connections_.insert_or_assign(key, Connection {.fd = fd});
    keys_.insert_or_assign(fd, key);
}

TargetConnections::Input TargetConnections::pendingInput(const Key& key) const
{
    const auto found = connections_.find(key);
    if (found == connections_.end())
        return Input::None;
    pollfd socket {.fd = found->second.fd, .events = POLLIN | POLLRDHUP, .revents = 0};
    const int ready = ::poll(&socket, 1, 0);
    if (ready == 0)
        return Input::None;
    if (ready < 0 || socket.revents != POLLIN)
        return Input::End;
    return isIdleTimeoutPending(found->second.fd) ? Input::End : Input::Bytes;
}

void TargetConnections::recordResponse(const Key& key, std::optional<Duration> keptTime, Timestamp now)
{
    const auto found = connections_.find(key);
    if (found == connections_.end())
        return;
    found->second.usableUntil.reset();
    if (keptTime)
        found->second.usableUntil = now + *keptTime - CloseMargin;
}

bool TargetConnections::isExpiring(const Key& key, Timestamp now) const
{
    const auto found = connections_.find(key);
    return found != connections_.end() && found->second.usableUntil && now >= *found->second.usableUntil;
}

uint32_t TargetConnections::recordRequest(const Key& key)
{
    const auto found = connections_.find(key);
    return found == connections_.end() ? 0 : found->second.requests++;
}

int TargetConnections::close(int fd)
{
    if (const auto found = keys_.find(fd); found != keys_.end()) {
        connections_.erase(found->second);
        keys_.erase(found);
    }
    if (unacknowledgedBytes(fd) > 0) {
        // The kernel would go on sending them after a normal close, and the request would reach its target late.
        setResetOnClose(fd);
        if (counters_ != nullptr)
            counters_->add(model::Counter::UnacknowledgedCloses);
    }
    return ::close(fd);
}

} // namespace saltvane::net
