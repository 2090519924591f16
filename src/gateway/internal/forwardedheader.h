/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "base/timetypes.h"
#include "gateway/internal/clientkeydigest.h"
#include "gateway/internal/requesthasher.h"
#include "gateway/internal/requestjudgement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace saltvane::gateway {

/// Header with which a gateway hands a request to another one. Not forwarded to targets.
inline constexpr std::string_view ForwardedHeader = "Saltvane-Forwarded";

/// Header of a forwarded request and of its response: by which plan the gateway that sends it has judged the request. A
/// header of its own, since earlier versions read the other one as a whole.
inline constexpr std::string_view ForwardedPlanHeader = "Saltvane-Forwarded-Plan";

/// By which plan a gateway has judged a forwarded request.
struct ForwardedPlan {
    LogIndex planIndex; ///< Log index at which the plan came into force; a higher one is newer.
    RequestJudgement judgement; ///< What that plan says of the request.
    std::optional<ClientKeyDigest> key; ///< Of the key that the caller presented, if it was exactly one.
    auto operator<=>(const ForwardedPlan&) const = default;
};

/// What the sending gateway states about a request that it hands to another one.
struct ForwardedInfo {
    uint32_t attempts = 0; ///< Targets that may still be tried.
    Duration elapsed {}; ///< Since the request arrived at the sending gateway; whole milliseconds.
    auto operator<=>(const ForwardedInfo&) const = default;
};

/// Writes and checks the headers. They are authenticated with the key that the hosts share, since the receiving gateway
/// judges by them whose request it is, and never forwards the request again.
class ForwardedHeaderCodec {
public:
    /// The parts of a request that the headers are bound to.
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
    /// The same for the plan. In a response, only the request's id is bound to it.
    [[nodiscard]] std::string encodePlan(const ForwardedPlan& plan, const Request& request) const;
    [[nodiscard]] std::optional<ForwardedPlan> decodePlan(std::string_view value, const Request& request) const;

private:
    /// The authentication code of the header's text, in hexadecimal.
    [[nodiscard]] std::string codeOf(std::string_view text, const Request& request) const;
    /// The text before its code; no value if the code is not that of the text.
    [[nodiscard]] std::optional<std::string_view> verifiedText(
        std::string_view value, std::string_view label, const Request& request) const;

    DigestKey key_;
};

} // namespace saltvane::gateway
