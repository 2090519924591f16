/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/socketaddress.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>

namespace saltvane::net {

namespace {

constexpr int ListenBacklog = 1024;

const sockaddr_in& asV4(const sockaddr_storage& storage) { return reinterpret_cast<const sockaddr_in&>(storage); }
const sockaddr_in6& asV6(const sockaddr_storage& storage) { return reinterpret_cast<const sockaddr_in6&>(storage); }

} // namespace

std::optional<SocketAddress> SocketAddress::from(const model::Address& address)
{
    SocketAddress result;
    auto& v4 = reinterpret_cast<sockaddr_in&>(result.storage_);
    if (inet_pton(AF_INET, address.ip.c_str(), &v4.sin_addr) == 1) {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(address.port);
        result.length_ = sizeof(sockaddr_in);
        return result;
    }
    auto& v6 = reinterpret_cast<sockaddr_in6&>(result.storage_);
    if (inet_pton(AF_INET6, address.ip.c_str(), &v6.sin6_addr) != 1)
        return std::nullopt;
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(address.port);
    result.length_ = sizeof(sockaddr_in6);
    return result;
}

SocketAddress SocketAddress::from(const sockaddr* address, socklen_t length)
{
    SocketAddress result;
    result.length_ = std::min<socklen_t>(length, sizeof(sockaddr_storage));
    std::memcpy(&result.storage_, address, result.length_);
    return result;
}

model::Address SocketAddress::address() const
{
    std::array<char, INET6_ADDRSTRLEN> text {};
    if (family() == AF_INET) {
        inet_ntop(AF_INET, &asV4(storage_).sin_addr, text.data(), text.size());
        return {.ip = text.data(), .port = ntohs(asV4(storage_).sin_port)};
    }
    if (family() != AF_INET6)
        return {};
    inet_ntop(AF_INET6, &asV6(storage_).sin6_addr, text.data(), text.size());
    return {.ip = text.data(), .port = ntohs(asV6(storage_).sin6_port)};
}

std::string describe(const model::Address& address)
{
    const bool isV6 = address.ip.find(':') != std::string::npos;
    const std::string ip = isV6 ? "[" + address.ip + "]" : address.ip;
    return ip + ":" + std::to_string(address.port);
}

IoError lastError(std::string location, const std::string& call)
{
    const int code = errno;
    return {.location = std::move(location), .message = call + ": " + std::strerror(code), .code = code};
}

Result<UniqueFd, IoError> listenOn(const model::Address& address)
{
    const auto socketAddress = SocketAddress::from(address);
    if (!socketAddress)
        return IoError {.location = describe(address), .message = "not an IP address", .code = EINVAL};
    UniqueFd fd(::socket(socketAddress->family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd.isOpen())
        return lastError(describe(address), "socket");
    const int on = 1;
    ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(fd.get(), socketAddress->get(), socketAddress->length()) != 0)
        return lastError(describe(address), "bind");
    if (::listen(fd.get(), ListenBacklog) != 0)
        return lastError(describe(address), "listen");
    return fd;
}

model::Address boundAddressOf(int fd)
{
    sockaddr_storage storage {};
    socklen_t length = sizeof(storage);
    if (::getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &length) != 0)
        return {};
    return SocketAddress::from(reinterpret_cast<sockaddr*>(&storage), length).address();
}

} // namespace saltvane::net
