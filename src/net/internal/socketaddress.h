/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/result.h"
#include "model/hostmessages.h"
#include "net/internal/uniquefd.h"

#include <optional>
#include <string>
#include <sys/socket.h>

namespace saltvane::net {

/// An IP address and port as a sockaddr.
class SocketAddress {
public:
    /// No value: `address` is not a numeric IP address.
    [[nodiscard]] static std::optional<SocketAddress> from(const model::Address& address);
    [[nodiscard]] static SocketAddress from(const sockaddr* address, socklen_t length);

    [[nodiscard]] const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage_); }
    [[nodiscard]] socklen_t length() const { return length_; }
    [[nodiscard]] int family() const { return storage_.ss_family; }
    [[nodiscard]] model::Address address() const;

private:
    sockaddr_storage storage_ {};
    socklen_t length_ = 0;
};

/// "127.0.0.1:80", "[::1]:80".
[[nodiscard]] std::string describe(const model::Address& address);

/// The error of the last system call.
[[nodiscard]] IoError lastError(std::string location, const std::string& call);

/// A non-blocking listening socket; port 0 selects a free port.
[[nodiscard]] Result<UniqueFd, IoError> listenOn(const model::Address& address);
/// The address `fd` is bound to.
[[nodiscard]] model::Address boundAddressOf(int fd);

} // namespace saltvane::net
