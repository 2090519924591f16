/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "gateway/internal/requesthasher.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace saltvane::gateway {

/// Header with which a gateway hands a request to another one. Not forwarded to targets.
inline constexpr std::string_view ForwardedHeader = "Saltvane-Forwarded";

/// What the sending gateway states about a request that it hands to another one.
struct ForwardedInfo {
    uint32_t attempts = 0; ///< Targets that may still be tried.
    Duration elapsed {}; ///< Since the request arrived at the sending gateway; whole milliseconds.
    auto operator<=>(const ForwardedInfo&) const = default;
};

/// Writes and checks the header. It is authenticated with the key that the hosts share, since the receiving gateway
/// trusts the sender's client account, and never forwards the request again.
class ForwardedHeaderCodec {
public:
    /// The parts of a request that the header is bound to.
    struct Request {
        std::string_view id;
        std::string_view clientAccount;
        std::string_view method;
        std::string_view host;
        std::string_view path;
    };
    explicit ForwardedHeaderCodec(std::string_view linkKey);

    [[nodiscard]] std::string encode(const ForwardedInfo& info, const Request& request) const;
    /// No value if the header was not written by a host of this deployment for this request.
    [[nodiscard]] std::optional<ForwardedInfo> decode(std::string_view value, const Request& request) const;

private:
    /// The authentication code of the header's text, in hexadecimal.
    [[nodiscard]] std::string codeOf(std::string_view text, const Request& request) const;

    DigestKey key_;
};

} // namespace saltvane::gateway
