/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/hostmessages.h"
#include "net/internal/socketaddress.h"
#include "net/internal/uniquefd.h"

#include <cerrno>
#include <cstdio>
#include <fstream>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <vector>

namespace saltvane::net::tests {

/// A non-blocking socket that a test drives byte by byte.
class RawSocket {
public:
    RawSocket() = default;
    explicit RawSocket(int fd)
        : fd_(fd)
    {
    }

    [[nodiscard]] static RawSocket connectedTo(const model::Address& address)
    {
        const auto target = SocketAddress::from(address);
        RawSocket made(::socket(target->family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        (void)::connect(made.fd_.get(), target->get(), target->length());
        return made;
    }

    [[nodiscard]] bool isOpen() const { return fd_.isOpen(); }
    void close() { fd_.reset(); }
    void closeWithReset()
    {
        const linger reset {.l_onoff = 1, .l_linger = 0};
        ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        fd_.reset();
    }

    /// Queues bytes, which pump() sends as far as the socket accepts them.
    void send(std::string_view bytes)
    {
        unsent_.append(bytes);
        pump();
    }
    /// Sends and receives as much as possible without blocking.
    void pump()
    {
        sendSome();
        if (isReading)
            receiveSome();
    }
    [[nodiscard]] bool hasReceived(std::string_view text)
    {
        pump();
        return received.find(text) != std::string::npos;
    }
    [[nodiscard]] bool isPeerDisconnected()
    {
        pump();
        return peerClosed || peerReset;
    }
    [[nodiscard]] size_t unsent() const { return unsent_.size(); }

    std::string received;
    bool isReading = true;
    bool peerClosed = false;
    bool peerReset = false;

private:
    void sendSome()
    {
        while (!unsent_.empty()) {
            const ssize_t count = ::send(fd_.get(), unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
            if (count <= 0)
                return;
            unsent_.erase(0, static_cast<size_t>(count));
        }
    }
    void receiveSome()
    {
        char buffer[64 * 1024];
        while (!peerClosed && !peerReset) {
            const ssize_t count = ::recv(fd_.get(), buffer, sizeof(buffer), 0);
            if (count > 0) {
                received.append(buffer, static_cast<size_t>(count));
                continue;
            }
            peerClosed = count == 0;
            peerReset = count < 0 && (errno == ECONNRESET || errno == EPIPE || errno == ECONNREFUSED);
            return;
        }
    }

    UniqueFd fd_;
    std::string unsent_;
};

/// Accepts connections as RawSockets.
class RawListener {
public:
    RawListener()
        : fd_(std::move(listenOn({.ip = "127.0.0.1", .port = 0}).value()))
        , address_(boundAddressOf(fd_.get()))
    {
    }
    /// With an accept queue of `backlog` connections.
    explicit RawListener(int backlog)
        : RawListener()
    {
        ::listen(fd_.get(), backlog);
    }

    [[nodiscard]] const model::Address& address() const { return address_; }
    [[nodiscard]] bool accept(RawSocket& into)
    {
        const int fd = ::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return false;
        into = RawSocket(fd);
        ++accepted;
        return true;
    }
    void close() { fd_.reset(); }

    int accepted = 0;

private:
    UniqueFd fd_;
    model::Address address_;
};

/// Local ports of this machine's connections to `port` that are in state SYN_SENT.
inline std::vector<int> portsConnectingTo(uint16_t port)
{
    constexpr unsigned int SynSent = 2;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::vector<int> ports;
    while (std::getline(table, line)) {
        unsigned int localPort = 0;
        unsigned int remotePort = 0;
        unsigned int state = 0;
        const int fields = std::sscanf(line.c_str(), " %*u: %*x:%x %*x:%x %x", &localPort, &remotePort, &state);
        if (fields == 3 && remotePort == port && state == SynSent)
            ports.push_back(static_cast<int>(localPort));
    }
    return ports;
}

} // namespace saltvane::net::tests
